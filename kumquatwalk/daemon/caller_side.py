"""Caller side of a node: routes requests, bounds their attempts and time."""

import asyncio
import random
import secrets

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.front_admission import FrontAdmission
from kumquatwalk.daemon.node_answer import answer_late
from kumquatwalk.daemon.node_answer import answer_unknown
from kumquatwalk.daemon.node_answer import make_error
from kumquatwalk.daemon.node_answer import refuse
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.pending_request import PendingRequest
from kumquatwalk.daemon.retry_spender import RetrySpender
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.platform.request_headers import CallerRequest
from kumquatwalk.platform.request_headers import decode_caller_request
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.route_sizes import RouteSizes
from kumquatwalk.routing.split import TrafficSplitter
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import choose_target

__all__ = ["CallerSide"]

# Gates that one request asks at most. A gate's refusal is no arrival at a
# target, and costs a round trip.
GATES_MAX = 3
# Time after which a target that failed is avoided by this node, in seconds.
BACKOFF_S = 0.3
# Share of failed runs above which a target is no help to a request that has
# failed elsewhere. When all targets fail, what they call is at fault, and a
# repeat would only multiply the calls below.
FAILURE_SHARE_MAX = 0.15
# Share of its time limit for which a request of a caller waits for a place;
# then it is refused while it still can come back in time. And the same for
# one that has come back, which is not refused twice while there is time.
PATIENCE = 0.35
PATIENCE_RETURNING = 0.7
# The same for a call of a target, whose run makes several, one after another.
PATIENCE_INNER = 0.3
# Share of the first attempt's deadline below which a request is taken for one
# that comes back.
RETURNING_SHARE = 0.95
_KEY_BITS = 63


class CallerSide:
    """Serves the requests of callers on this VM, and of its target.

    Args:
        settings: Settings of the daemon.
        target_side: Target side of this node.
        own_view: What this node knows of its own target.
        peers: Links to other nodes.
        meter: Counts the requests from this VM.
        graph: Which routes call which.
        front: Refuses what services deep in the chain cannot carry.
        retries: Bounds what is sent again.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        target_side: TargetSide,
        own_view: TargetView,
        peers: Peers,
        meter: TrafficMeter,
        graph: CallGraph,
        front: FrontAdmission,
        retries: RetrySpender,
    ):
        self._settings = settings
        self._target_side = target_side
        self._own_view = own_view
        self._peers = peers
        self._meter = meter
        self._graph = graph
        self._front = front
        self._retries = retries
        self._splitter = TrafficSplitter()
        self._sizes = RouteSizes()
        self._rng = random.Random()
        self._longest_timeout_s: dict[str, float] = {}
        self.config: FleetConfig | None = None

    def set_bounds(self, bounds: FleetBounds) -> None:
        """Take changed bounds.

        Args:
            bounds: The new bounds.
        """
        self._retries.set_bounds(bounds)

    def forget_failures(self) -> None:
        """Use all targets again that were avoided after a failure."""
        for view in self._peers.list_all_views():
            view.backoff_until = 0.0

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Serve one request.

        Args:
            request: The request.

        Returns:
            The target's answer, or one of this node's own.
        """
        caller = decode_caller_request(request)
        config = self.config
        if config is None:
            return refuse(caller, codes.CONFIG_ABSENT, 0.0, self._rng)
        url = request.url.decode("latin-1")
        route = config.find_route(caller.host, url)
        if route is None:
            log_event("route_unknown", host=caller.host, url=url[:80])
            return make_error(404, codes.ENTRY_UNKNOWN)
        if not caller.attempt_id:
            return make_error(400, codes.ATTEMPT_ID_MISSING)
        return await self._serve_route(request, caller, route)

    async def _serve_route(
        self, http: HttpRequest, caller: CallerRequest, route: Route
    ) -> HttpResponse:
        timeout_s = route.timeout_s
        if caller.timeout_s is not None:
            timeout_s = min(timeout_s, caller.timeout_s)
        self._meter.note_arrival(route.name)
        request = PendingRequest(
            http,
            caller,
            route,
            self._splitter.choose(route),
            http.received_at + timeout_s,
            self._is_returning(route, caller.timeout_s),
        )
        if not self._front.passes(route, request.is_returning, read_now()):
            return refuse(caller, codes.OVERLOADED, 0.0, self._rng)
        try:
            async with asyncio.timeout(request.deadline - read_now()):
                return await self._make_attempts(request)
        except TimeoutError:
            return answer_late(request)

    def _is_returning(self, route: Route, timeout_s: float | None) -> bool:
        if timeout_s is None:
            return False
        longest_s = self._longest_timeout_s.get(route.name, 0.0)
        if timeout_s > longest_s:
            self._longest_timeout_s[route.name] = longest_s = timeout_s
        return timeout_s < RETURNING_SHARE * longest_s

    async def _make_attempts(self, request: PendingRequest) -> HttpResponse:
        self._retries.note_first(request.service, read_now())
        while True:
            view = self._choose(request)
            if view is None:
                return self._give_up(request, None)
            reply = await self._send(view, request)
            request.tried.add(view.node_id)
            if reply.outcome is Outcome.NOT_RUN:
                request.arrivals += reply.shed_by_target
            else:
                request.arrivals += 1
                request.failed = reply
            if not self._should_retry(request, reply, view):
                return self._give_up(request, reply)

    def _choose(self, request: PendingRequest) -> TargetView | None:
        if request.service == self._own_view.service:
            self._refresh_own_view()
        route = request.route
        context = ChoiceContext(
            availability_zone=self._settings.availability_zone,
            route=route.name,
            limit_s=min(route.objective_s, route.timeout_s),
            size_kb=self._sizes.estimate(route.name),
            excluded=frozenset(request.tried),
            now=read_now(),
            is_inner=self._graph.is_inner(route.name),
        )
        views = self._peers.list_views(request.service)
        return choose_target(views, context, self._rng)

    def _refresh_own_view(self) -> None:
        view = self._own_view
        view.running, view.queued = self._target_side.get_load()
        view.in_flight_told = view.in_flight
        view.heard_at = read_now()

    async def _send(self, view: TargetView, request: PendingRequest) -> Reply:
        call = self._make_call(request)
        if view is self._own_view:
            return await self._target_side.serve(call)
        link = self._peers.find(view.node_id)
        if link is None:
            return Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
        return await link.call(call)

    def _make_call(self, request: PendingRequest) -> Call:
        route = request.route
        return Call(
            key=secrets.randbits(_KEY_BITS),
            attempt_id=request.caller.attempt_id,
            route=route.name,
            service=request.service,
            caller_service=self._settings.service,
            is_idempotent=route.is_idempotent,
            is_returning=request.is_returning,
            rank=route.rank,
            deadline=request.deadline,
            start_by=self._get_start_by(request),
            method=request.http.method,
            url=request.http.url,
            headers=request.caller.headers,
            body=request.http.body,
        )

    def _get_start_by(self, request: PendingRequest) -> float:
        route = request.route
        limit_s = min(route.objective_s, route.timeout_s)
        if self._graph.is_inner(route.name):
            share = PATIENCE_INNER
        elif route.rank == 0 or not self._graph.is_outer(route.name):
            return request.deadline
        else:
            share = PATIENCE_RETURNING if request.is_returning else PATIENCE
        return min(request.deadline, request.http.received_at + share * limit_s)

    def _should_retry(
        self,
        request: PendingRequest,
        reply: Reply,
        view: TargetView,
    ) -> bool:
        if reply.outcome is Outcome.DONE and reply.status < 500:
            return False
        now = read_now()
        if reply.outcome is Outcome.UNKNOWN or reply.shed_by_target:
            view.backoff_until = now + BACKOFF_S
        if reply.outcome is not Outcome.NOT_RUN:
            if not request.route.is_idempotent:
                return False
        if len(request.tried) >= GATES_MAX:
            return False
        if not request.arrivals:
            return True
        if request.arrivals >= request.route.attempts_max:
            return False
        other = self._choose(request)
        if other is None or other.status.failure_share > FAILURE_SHARE_MAX:
            return False
        return self._retries.take(request.service, request.route.name, now)

    def _give_up(
        self, request: PendingRequest, reply: Reply | None
    ) -> HttpResponse:
        if reply is None or reply.outcome is Outcome.NOT_RUN:
            # A refusal elsewhere does not undo the run that failed before.
            reply = request.failed or reply
        if reply is None:
            return refuse(request.caller, codes.TARGET_ABSENT, 0.0, self._rng)
        if reply.outcome is Outcome.NOT_RUN:
            return refuse(
                request.caller, reply.code, reply.retry_after_s, self._rng
            )
        if reply.outcome is Outcome.UNKNOWN:
            return answer_unknown(request, reply.code)
        size = len(request.http.body) + len(reply.body)
        self._sizes.note(request.route.name, size)
        return HttpResponse(reply.status, reply.headers, reply.body)
