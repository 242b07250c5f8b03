"""Gate side: the only way to the target on this VM."""

import time

from kumquatwalk import codes
from kumquatwalk.admission.call import AdmissionCall
from kumquatwalk.admission.gate import AdmissionGate
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.idempotency import begin_result
from kumquatwalk.idempotency.attempt_table import AttemptTable
from kumquatwalk.link.call import Call
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.session import read_clock_us
from kumquatwalk.node.copies import answer_copy
from kumquatwalk.node.crash_watch import CrashWatch
from kumquatwalk.node.meters import NodeMeters
from kumquatwalk.node.refusal import INTERNAL_ERROR
from kumquatwalk.node.refusal import refuse
from kumquatwalk.node.runner import Runner
from kumquatwalk.node.runner import RunResult
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import CrashVerdict
from kumquatwalk.quarantine import make_fingerprint
from kumquatwalk.routing.levels import EntryLevels

__all__ = ["GateSide"]

_US = 1_000_000
_CLOCK_ERROR_MAX_US = 1_000_000


class GateSide:
    """Takes calls for the target, each at most once, and admits them.

    Args:
        replica: The node's catalogue.
        admission: Admission at the target.
        runner: Runs admitted calls at the target.
        attempts: Attempts taken so far.
        crash_watch: Requests that crashed targets.
        levels: Admission levels of entries called from here.
        meters: Metrics of the node.
    """

    def __init__(
        self,
        replica: CatalogueReplica,
        admission: AdmissionGate,
        runner: Runner,
        attempts: AttemptTable[Reply],
        crash_watch: CrashWatch,
        levels: EntryLevels,
        meters: NodeMeters,
    ):
        self._replica = replica
        self._admission = admission
        self._runner = runner
        self._attempts = attempts
        self._crash_watch = crash_watch
        self._levels = levels
        self._meters = meters

    def handle(self, call: Call) -> Reply:
        """Serve one attempt; blocks until there is a reply.

        Args:
            call: The attempt, from a link or from this node's entry side.

        Returns:
            The reply. ``NOT_RUN`` also holds for all copies of the attempt.
        """
        now = time.monotonic()
        age_us = read_clock_us() - call.sent_at_us
        if age_us < -_CLOCK_ERROR_MAX_US:
            return refuse(codes.LINK_FAILED, call.tokens)
        age_s = max(age_us, 0) / _US
        deadline = now - age_s + call.remaining_us / _US
        result = self._attempts.begin(
            call.attempt_id, call.idempotent, age_s, now
        )
        if isinstance(result, begin_result.RunNow):
            return self._take(call, deadline, now)
        return answer_copy(result, deadline, now)

    def _take(self, call: Call, deadline: float, now: float) -> Reply:
        reply = INTERNAL_ERROR
        try:
            reply = self._admit(call, deadline, now)
        finally:
            ended = time.monotonic()
            self._meters.note_gate(reply, ended - now)
            if reply.outcome is Outcome.NOT_RUN:
                self._attempts.refuse(call.attempt_id, reply, ended)
            else:
                self._attempts.finish(call.attempt_id, reply, ended)
        return reply

    def _admit(self, call: Call, deadline: float, now: float) -> Reply:
        entry = self._replica.current().entries.get(call.entry)
        if entry is None:
            return refuse(codes.ENTRY_UNKNOWN, call.tokens)
        if not self._runner.serves(entry.service):
            return refuse(codes.TARGET_ABSENT, call.tokens)
        fingerprint = make_fingerprint(
            call.entry, call.method, call.url, call.body
        )
        if call.crash_marks:
            self._crash_watch.take_marks(call.crash_marks, fingerprint, now)
        crash_verdict = self._crash_watch.judge(fingerprint, now)
        if crash_verdict is CrashVerdict.QUARANTINED:
            return refuse(codes.QUARANTINED, call.tokens)
        verdict = self._admission.acquire(
            AdmissionCall(
                call_id=call.attempt_id,
                entry=entry,
                priority=call.priority,
                depth=call.depth,
                deadline=deadline,
                is_suspect=crash_verdict is CrashVerdict.SUSPECT,
            ),
            now,
        )
        if verdict.is_admitted:
            result = self._runner.run(
                call, fingerprint, crash_verdict, deadline
            )
        else:
            result = RunResult(refuse(verdict.code), call.tokens, 0.0)
        return self._complete(result, entry, verdict.waited_s)

    def _complete(
        self, result: RunResult, entry: Entry, waited_s: float
    ) -> Reply:
        now = time.monotonic()
        level = self._admission.level(now)
        reply = result.reply
        return Reply(
            outcome=reply.outcome,
            code=reply.code,
            status=reply.status,
            headers=reply.headers,
            body=reply.body,
            tokens=result.tokens,
            gate_level=level,
            entry_level=self._levels.combine(level, entry.calls, now),
            queue_us=int(waited_s * _US),
            run_us=int(result.elapsed_s * _US),
            crash_mark=reply.crash_mark,
        )
