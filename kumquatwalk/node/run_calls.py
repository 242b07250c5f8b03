"""Calls that the target on this VM makes on behalf of a run."""

import time

from kumquatwalk import codes
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.gateway.headers import list_forwarded
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.idempotency.begin_result import RunNow
from kumquatwalk.link.reply import Reply
from kumquatwalk.node.copies import answer_copy
from kumquatwalk.node.entry import EntrySide
from kumquatwalk.node.intent import CallIntent
from kumquatwalk.node.refusal import INTERNAL_ERROR
from kumquatwalk.node.refusal import refuse
from kumquatwalk.node.requests import digest_request
from kumquatwalk.node.requests import find_entry
from kumquatwalk.node.requests import read_timeout_s
from kumquatwalk.node.run import Run
from kumquatwalk.node.runs import RunTable
from kumquatwalk.retry.share import CallTokens

__all__ = ["RunCalls"]

_CONTEXT_HEADER = b"Kumquat-Context"
_KEY_HEADER = b"Idempotency-Key"
_DEPTH_MAX = 32


class RunCalls:
    """Serves the calls of runs in progress.

    A call names its run by the context header. Class, deadline, request id
    and tokens come from the node's record of the run, not from the call.

    Args:
        replica: The node's catalogue.
        runs: Runs in progress.
        entry_side: Makes the calls.
    """

    def __init__(
        self,
        replica: CatalogueReplica,
        runs: RunTable,
        entry_side: EntrySide,
    ):
        self._replica = replica
        self._runs = runs
        self._entry_side = entry_side

    def serve(self, request: HttpRequest) -> Reply:
        """Return the reply to one call; blocks until there is one."""
        context = request.headers.get(_CONTEXT_HEADER, b"")
        run = self._runs.find(context.decode("latin-1"))
        if run is None:
            return refuse(codes.CONTEXT_UNKNOWN)
        now = time.monotonic()
        run.begin_child(now)
        try:
            return self._serve(request, run, now)
        finally:
            run.end_child(time.monotonic())

    def _serve(self, request: HttpRequest, run: Run, now: float) -> Reply:
        entry = find_entry(self._replica, request.path)
        if entry is None:
            return refuse(codes.ENTRY_UNKNOWN)
        if run.call.depth >= _DEPTH_MAX:
            return refuse("too_deep")
        if not entry.idempotent and not run.call.protected:
            return refuse("unprotected")
        time_s = read_timeout_s(request, run.deadline - now)
        if time_s is None:
            return refuse("request_malformed")
        intent = CallIntent(
            entry=entry,
            method=request.method,
            url=request.url,
            headers=list_forwarded(request.headers),
            body=request.body,
            request_id=run.call.request_id,
            priority=run.call.priority,
            depth=run.call.depth + 1,
            deadline=now + time_s,
            tokens=CallTokens(run.tokens),
            protected=run.call.protected,
        )
        if entry.idempotent:
            return self._entry_side.make_call(intent)
        return self._call_once(request, run, intent)

    def _call_once(
        self, request: HttpRequest, run: Run, intent: CallIntent
    ) -> Reply:
        """Make a call that is not idempotent, once for its run.

        A repeat by the target gets the answer of the first call: one with the
        same key, or without a key one with the same URL and body.
        """
        fingerprint = digest_request(request)
        key = request.headers.get(_KEY_HEADER, fingerprint).hex()
        name = f"{intent.entry.name} {key}"
        now = time.monotonic()
        result = run.once.begin(name, fingerprint, None, now)
        if not isinstance(result, RunNow):
            intent.tokens.close()
            return answer_copy(result, intent.deadline, now)
        reply = INTERNAL_ERROR
        try:
            reply = self._entry_side.make_call(intent)
        finally:
            ended = time.monotonic()
            run.once.finish(name, reply, reply.outcome, ended, result.claim_id)
        return reply
