"""Serves requests whose host and path name a route."""

import random

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.caller_side import CallerSide
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.node_reply import refuse
from kumquatwalk.daemon.parent_finder import ParentFinder
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.platform.answers import encode_reply
from kumquatwalk.platform.request_headers import decode_caller_request

__all__ = ["RouteHandler"]


class RouteHandler:
    """Answers callers on the VM, and its target, as the platform asks.

    Args:
        configs: The fleet configuration.
        caller_side: Serves the requests.
        parents: Finds the run that a call belongs to.
    """

    def __init__(
        self,
        configs: ConfigHolder,
        caller_side: CallerSide,
        parents: ParentFinder,
    ):
        self._configs = configs
        self._caller_side = caller_side
        self._parents = parents
        self._rng = random.Random()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request.

        Args:
            request: The request.
        """
        caller = decode_caller_request(request)
        reply = await self._serve(request, caller)
        return encode_reply(reply, caller.attempt_id)

    async def _serve(
        self, request: HttpRequest, caller: CallerRequest
    ) -> Reply:
        config = self._configs.config
        if config is None:
            return refuse(caller, codes.CONFIG_ABSENT, 0.0, self._rng)
        url = request.url.decode("latin-1")
        route = config.find_route(caller.host, url)
        if route is None:
            log_event("route_unknown", host=caller.host, url=url[:80])
            return Reply(Outcome.NOT_RUN, codes.ENTRY_UNKNOWN)
        if not caller.attempt_id:
            return Reply(Outcome.NOT_RUN, codes.ATTEMPT_ID_MISSING)
        deadline = None
        if caller.timeout_s is not None:
            deadline = request.received_at + caller.timeout_s
        chain = self._parents.find(route, deadline, read_now())
        return await self._caller_side.serve(request, caller, route, chain)
