"""Nested calls, which the target on this VM makes in the course of a run."""

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.caller_side import CallerSide
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.exception import RequestError
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.idempotency.begin_result import RunNow
from kumquatwalk.mesh.message import Reply
from kumquatwalk.native import names
from kumquatwalk.native.repeats import answer_repeat
from kumquatwalk.native.requests import decode_caller_request
from kumquatwalk.native.requests import digest_request
from kumquatwalk.native.requests import find_route
from kumquatwalk.outcome import Outcome
from kumquatwalk.retry.call_tokens import CallTokens
from kumquatwalk.targets.run import Run
from kumquatwalk.targets.run import RunTable

__all__ = ["NestedCalls"]

# Max depth of a call chain; the deepest one expected has 18 calls.
DEPTH_MAX = 32


class NestedCalls:
    """Serves the nested calls of runs in progress.

    A call identifies its run by the context header. Priority class, deadline,
    request identifier and retry tokens are taken from the node's record of the
    run, not from the call. An entry that is not idempotent is called only if
    the root of the chain runs at most once.

    Args:
        configs: Holder of the fleet configuration.
        runs: Runs in progress at the target.
        caller_side: Sends the calls.
    """

    def __init__(
        self, configs: ConfigHolder, runs: RunTable, caller_side: CallerSide
    ):
        self._configs = configs
        self._runs = runs
        self._caller_side = caller_side

    async def serve(self, request: HttpRequest) -> Reply:
        """Serve one call and return its reply.

        Args:
            request: Call with the context header of its run.
        """
        context = request.find_header(names.HEADER_CONTEXT) or b""
        run = self._runs.find(context.decode("latin-1"))
        if run is None:
            return Reply(Outcome.NOT_RUN, codes.CONTEXT_UNKNOWN)
        config = self._configs.config
        route = config and find_route(config, request.url)
        if route is None:
            return Reply(Outcome.NOT_RUN, codes.ENTRY_UNKNOWN)
        if run.call.depth >= DEPTH_MAX:
            return Reply(Outcome.NOT_RUN, codes.TOO_DEEP)
        if not route.is_idempotent and not run.call.is_protected:
            return Reply(Outcome.NOT_RUN, codes.UNPROTECTED)
        if route.is_idempotent:
            return await self._call(request, route, run)
        return await self._call_once(request, route, run)

    async def _call(
        self, request: HttpRequest, route: Route, run: Run
    ) -> Reply:
        call = run.call
        try:
            caller = decode_caller_request(request.headers, call.attempt_id)
        except RequestError as error:
            return Reply(Outcome.NOT_RUN, error.code)
        chain = ChainContext(
            depth=call.depth + 1,
            rank=call.rank,
            deadline=call.deadline,
            tokens=CallTokens(run.tokens),
            is_protected=call.is_protected,
        )
        return await self._caller_side.serve(request, caller, route, chain)

    async def _call_once(
        self, request: HttpRequest, route: Route, run: Run
    ) -> Reply:
        """Make a call that is not idempotent at most once within its run.

        A repeat by the target receives the answer of the first call. Calls are
        repeats if their idempotency keys are equal or, without a key, if their
        method, URL and body are.
        """
        fingerprint = digest_request(request.method, request.url, request.body)
        key = request.find_header(names.HEADER_IDEMPOTENCY_KEY) or fingerprint
        record_key = f"{route.name} {key.hex()}"
        now = read_now()
        result = run.non_idempotent_calls.begin(
            record_key, fingerprint, None, now
        )
        if not isinstance(result, RunNow):
            return await answer_repeat(result, run.call.deadline, now)
        reply = Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)
        try:
            reply = await self._call(request, route, run)
        finally:
            run.non_idempotent_calls.finish(
                record_key, reply, reply.outcome, read_now(), result.claim_id
            )
        return reply
