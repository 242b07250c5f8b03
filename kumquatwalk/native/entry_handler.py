"""HTTP handler for outside callers of the native interface."""

from kumquatwalk import codes
from kumquatwalk.admission.stop import RETRY_DELAY_MAX_S
from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.caller_side import CallerSide
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.exception import RequestError
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.idempotency.ticket_issuer import TicketIssuer
from kumquatwalk.mesh.message import Reply
from kumquatwalk.native import names
from kumquatwalk.native.caller_response import encode_json
from kumquatwalk.native.caller_response import encode_reply
from kumquatwalk.native.at_most_once import AtMostOnceRequests
from kumquatwalk.native.requests import decode_caller_request
from kumquatwalk.native.requests import find_route
from kumquatwalk.outcome import Outcome
from kumquatwalk.retry.call_tokens import CallTokens
from kumquatwalk.retry.tokens import TokenPool

__all__ = ["EntryHandler", "RootRequests"]


class RootRequests:
    """Runs requests as the roots of new call chains.

    Priority class, retry tokens and request identifier are set by the node;
    nothing that the caller sends changes them.

    Args:
        caller_side: Sends the calls.
    """

    def __init__(self, caller_side: CallerSide):
        self._caller_side = caller_side

    async def run(
        self, request: HttpRequest, route: Route, deadline: float
    ) -> Reply:
        """Run a request and return its reply.

        Args:
            request: The request.
            route: Route of the request.
            deadline: Deadline of the request, in seconds; once it has passed,
                the request is not run.
        """
        if deadline <= read_now():
            return Reply(Outcome.NOT_RUN, codes.DEADLINE_EXCEEDED)
        chain = ChainContext(
            depth=0,
            rank=route.rank,
            deadline=deadline,
            tokens=CallTokens(TokenPool(route.attempts_max - 1)),
            is_protected=not route.is_idempotent,
        )
        caller = decode_caller_request(request.headers)
        return await self._caller_side.serve(request, caller, route, chain)


class EntryHandler:
    """Handles the HTTP requests of outside callers.

    Args:
        configs: Holder of the fleet configuration.
        roots: Runs requests for idempotent entries.
        at_most_once: Serves requests for entries that are not idempotent.
        issuer: Issues tickets.
    """

    def __init__(
        self,
        configs: ConfigHolder,
        roots: RootRequests,
        at_most_once: AtMostOnceRequests,
        issuer: TicketIssuer,
    ):
        self._configs = configs
        self._roots = roots
        self._at_most_once = at_most_once
        self._issuer = issuer

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Issue a ticket or serve a call of an entry, as the path says."""
        is_post = request.method == b"POST"
        if is_post and request.url == names.PATH_TICKET.encode():
            return encode_json({"ticket": self._issuer.issue(read_now())})
        return encode_reply(await self._serve(request))

    def refuse(self, request: HttpRequest) -> HttpResponse:
        """Return the refusal of a request that came after the stop.

        Args:
            request: The request; it is not passed on.
        """
        del request
        return encode_reply(
            Reply(
                Outcome.NOT_RUN,
                codes.NODE_STOPPING,
                retry_after_s=RETRY_DELAY_MAX_S,
            )
        )

    async def _serve(self, request: HttpRequest) -> Reply:
        if request.find_header(names.HEADER_CONTEXT) is not None:
            # Nested calls are accepted only by the local listener.
            return Reply(Outcome.NOT_RUN, codes.CONTEXT_UNKNOWN)
        config = self._configs.config
        if config is None:
            return Reply(Outcome.NOT_RUN, codes.CONFIG_ABSENT)
        route = find_route(config, request.url)
        if route is None:
            return Reply(Outcome.NOT_RUN, codes.ENTRY_UNKNOWN)
        try:
            caller = decode_caller_request(request.headers)
        except RequestError as error:
            return Reply(Outcome.NOT_RUN, error.code)
        timeout_s = route.timeout_s
        if caller.timeout_s is not None:
            timeout_s = min(timeout_s, caller.timeout_s)
        deadline = request.received_at + timeout_s
        if route.is_idempotent:
            return await self._roots.run(request, route, deadline)
        return await self._at_most_once.serve(request, route, deadline)
