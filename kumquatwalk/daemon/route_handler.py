"""HTTP handler that routes requests of callers by host and path."""

import math
import random

from kumquatwalk import codes
from kumquatwalk.admission.stop import RETRY_DELAY_MAX_S
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.caller_side import CallerSide
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.node_reply import make_refusal
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.platform.caller_response import encode_reply
from kumquatwalk.platform.credentials import identify_team
from kumquatwalk.platform.request_headers import decode_caller_request

__all__ = ["RouteHandler"]


class RouteHandler:
    """Handles requests of callers and of the target in the platform's format.

    Args:
        configs: Fleet configuration in force.
        caller_side: Caller side of the node, which serves the requests.
    """

    def __init__(self, configs: ConfigHolder, caller_side: CallerSide):
        self._configs = configs
        self._caller_side = caller_side
        self._rng = random.Random()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request.

        Args:
            request: Request of a caller or of the target.

        Returns:
            The target's answer, or a refusal or failure with its code. A
            request without a known route or an attempt identifier, one
            without the key of a team where it needs one, and any request
            before the first configuration, is refused.
        """
        caller = decode_caller_request(request)
        reply = await self._serve(request, caller)
        return encode_reply(reply, caller.attempt_id)

    def refuse(self, request: HttpRequest) -> HttpResponse:
        """Return the refusal of a request that came after the stop.

        Args:
            request: The request; it is not passed on.
        """
        caller = decode_caller_request(request)
        reply = make_refusal(
            caller, codes.NODE_STOPPING, RETRY_DELAY_MAX_S, self._rng, route=""
        )
        return encode_reply(reply, caller.attempt_id)

    def estimate_answer(self, request: HttpRequest) -> float:
        """Return the largest size expected of an answer, in bytes.

        Args:
            request: Request of a caller.

        Returns:
            The size; infinite if it is not known.
        """
        config = self._configs.config
        if config is None:
            return math.inf
        caller = decode_caller_request(request)
        route = config.find_route(caller.host, request.url.decode("latin-1"))
        if route is None:
            return 0.0
        return self._caller_side.estimate_answer(route)

    async def _serve(
        self, request: HttpRequest, caller: CallerRequest
    ) -> Reply:
        config = self._configs.config
        if config is None:
            return make_refusal(
                caller, codes.CONFIG_ABSENT, 0.0, self._rng, route=""
            )
        url = request.url.decode("latin-1")
        route = config.find_route(caller.host, url)
        if route is None:
            log_event("route_unknown", host=caller.host, url=url[:80])
            return Reply(Outcome.NOT_RUN, codes.ENTRY_UNKNOWN)
        if not caller.attempt_id:
            return Reply(Outcome.NOT_RUN, codes.ATTEMPT_ID_MISSING)
        if config.teams is not None:
            caller = identify_team(request, caller, config.teams)
            if caller.team is None and not route.is_public:
                log_event("api_key_refused", route=route.name)
                return Reply(Outcome.NOT_RUN, codes.API_KEY_INVALID)
        return await self._caller_side.serve(request, caller, route)
