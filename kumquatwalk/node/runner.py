"""Runs admitted calls at the target on this VM."""

import dataclasses
import time
from collections.abc import Callable

from kumquatwalk import codes
from kumquatwalk.admission.gate import AdmissionGate
from kumquatwalk.admission.sample import RunSample
from kumquatwalk.exception import LinkError
from kumquatwalk.gateway.target import TargetAnswer
from kumquatwalk.gateway.target import TargetClient
from kumquatwalk.link.call import Call
from kumquatwalk.link.reply import Reply
from kumquatwalk.node.crash_watch import CrashWatch
from kumquatwalk.node.refusal import INTERNAL_ERROR
from kumquatwalk.node.refusal import fail_unknown
from kumquatwalk.node.refusal import refuse
from kumquatwalk.node.run import Run
from kumquatwalk.node.runs import RunTable
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import CrashVerdict

__all__ = ["RunResult", "Runner"]

_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """End of a run.

    Attributes:
        reply: What to reply, without levels, tokens and times.
        tokens: Retry tokens left.
        elapsed_s: Time at the target.
    """

    reply: Reply
    tokens: int
    elapsed_s: float


class Runner:
    """Sends admitted calls to the target and reports their ends.

    Args:
        runs: Runs in progress, where the target's own calls find them.
        admission: Admission, told of each end.
        crash_watch: Told of each start, end and crash.
    """

    def __init__(
        self,
        runs: RunTable,
        admission: AdmissionGate,
        crash_watch: CrashWatch,
    ):
        self._runs = runs
        self._admission = admission
        self._crash_watch = crash_watch
        self._service = ""
        self._target: TargetClient | None = None
        self._on_absent: Callable[[], None] = lambda: None

    def watch_absence(self, on_absent: Callable[[], None]) -> None:
        """Call a function whenever the target cannot be reached."""
        self._on_absent = on_absent

    def attach(self, service: str, target: TargetClient | None) -> None:
        """Take the target that announced itself; None when it is gone."""
        self._service = service
        self._target = target

    def serves(self, service: str) -> bool:
        """Return whether the target of this VM serves the service."""
        return self._target is not None and service == self._service

    def run(
        self,
        call: Call,
        fingerprint: bytes,
        verdict: CrashVerdict,
        deadline: float,
    ) -> RunResult:
        """Run an admitted call and release its place.

        Args:
            call: The call.
            fingerprint: Fingerprint of the request.
            verdict: What is known of its crashes.
            deadline: Monotonic time by which it must have ended.

        Returns:
            The reply and what the run used.
        """
        run = Run(call, deadline)
        started = time.monotonic()
        reply = INTERNAL_ERROR
        self._runs.add(run)
        self._crash_watch.begin(run.run_id, fingerprint, verdict)
        try:
            reply = self._send(run, deadline - started)
        finally:
            self._runs.remove(run)
            ended = time.monotonic()
            has_answer = reply.outcome in (Outcome.DONE, Outcome.FAILED)
            self._crash_watch.end(run.run_id, has_answer, ended)
            own_time_s = ended - started - run.measure_children(ended)
            is_shed = reply.code == codes.TARGET_SHED
            sample = RunSample(own_time_s, reply.outcome, is_shed)
            self._admission.release(call.attempt_id, sample, ended)
        return RunResult(reply, run.tokens.left, ended - started)

    def _send(self, run: Run, timeout_s: float) -> Reply:
        target = self._target
        if target is None:
            return refuse(codes.TARGET_ABSENT)
        if timeout_s <= 0:
            return refuse(codes.DEADLINE_EXCEEDED)
        call = run.call
        try:
            answer = target.send(
                call.method,
                call.url,
                _make_headers(run, timeout_s),
                call.body,
                timeout_s,
            )
        except TimeoutError:
            return fail_unknown(codes.DEADLINE_EXCEEDED)
        except LinkError as error:
            if not error.sent:
                self._on_absent()
                return refuse(codes.TARGET_ABSENT)
            return self._judge_break(run, target)
        return _judge(answer)

    def _judge_break(self, run: Run, target: TargetClient) -> Reply:
        reply = fail_unknown(codes.TARGET_CRASHED)
        if target.probe():
            return reply
        mark = self._crash_watch.note_crash(run.run_id, time.monotonic())
        self._on_absent()
        return dataclasses.replace(reply, crash_mark=mark)


def _make_headers(run: Run, timeout_s: float) -> bytes:
    return run.call.headers + (
        b"Kumquat-Context: %b\r\nKumquat-Request-Id: %b\r\n"
        b"Kumquat-Timeout-Ms: %d\r\n"
        % (
            run.run_id.encode("ascii"),
            run.call.request_id.hex().encode("ascii"),
            max(int(timeout_s * 1000), 1),
        )
    )


def _judge(answer: TargetAnswer) -> Reply:
    if answer.is_not_run:
        return refuse(codes.TARGET_SHED)
    is_failed = answer.status >= _SERVER_ERROR
    return Reply(
        outcome=Outcome.FAILED if is_failed else Outcome.DONE,
        code=codes.TARGET_FAILED if is_failed else "",
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )
