"""Caller side of a node: routes requests, bounds their attempts and time."""

import asyncio
import dataclasses
import random
import secrets

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.front_admission import FrontAdmission
from kumquatwalk.daemon.peers import Peers
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
from kumquatwalk.platform.request_headers import make_retry_after
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
# Delay that a refusal names when nothing is known, in seconds, and the range
# of the factor by which delays are spread.
RETRY_AFTER_DEFAULT_S = 0.4
RETRY_AFTER_SPREAD = (0.75, 1.5)
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


@dataclasses.dataclass(slots=True)
class _Request:
    """A request in progress."""

    http: HttpRequest
    caller: CallerRequest
    route: Route
    service: str
    deadline: float
    is_returning: bool
    tried: set[str] = dataclasses.field(default_factory=set)
    arrivals: int = 0
    may_have_run: bool = False
    failed: Reply | None = None


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
            return self._refuse_early(caller, codes.CONFIG_ABSENT)
        url = request.url.decode("latin-1")
        route = config.find_route(caller.host, url)
        if route is None:
            log_event("route_unknown", host=caller.host, url=url[:80])
            return _make_error(404, codes.ENTRY_UNKNOWN)
        if not caller.attempt_id:
            return _make_error(400, codes.ATTEMPT_ID_MISSING)
        return await self._serve_route(request, caller, route)

    async def _serve_route(
        self, http: HttpRequest, caller: CallerRequest, route: Route
    ) -> HttpResponse:
        timeout_s = route.timeout_s
        if caller.timeout_s is not None:
            timeout_s = min(timeout_s, caller.timeout_s)
        self._meter.note_arrival(route.name)
        request = _Request(
            http,
            caller,
            route,
            self._splitter.choose(route),
            http.received_at + timeout_s,
            self._is_returning(route, caller.timeout_s),
        )
        if not self._front.passes(route, request.is_returning, read_now()):
            return self._refuse(caller, codes.OVERLOADED, 0.0)
        try:
            async with asyncio.timeout(request.deadline - read_now()):
                return await self._make_attempts(request)
        except TimeoutError:
            return self._answer_late(request)

    def _is_returning(self, route: Route, timeout_s: float | None) -> bool:
        if timeout_s is None:
            return False
        longest_s = self._longest_timeout_s.get(route.name, 0.0)
        if timeout_s > longest_s:
            self._longest_timeout_s[route.name] = longest_s = timeout_s
        return timeout_s < RETURNING_SHARE * longest_s

    async def _make_attempts(self, request: _Request) -> HttpResponse:
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

    def _choose(self, request: _Request) -> TargetView | None:
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

    async def _send(self, view: TargetView, request: _Request) -> Reply:
        call = self._make_call(request)
        if view is self._own_view:
            return await self._target_side.serve(call)
        link = self._peers.find(view.node_id)
        if link is None:
            return Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
        if not call.is_idempotent:
            # Until the gate says otherwise, the call may run there.
            request.may_have_run = True
        reply = await link.call(call)
        if not call.is_idempotent:
            request.may_have_run = reply.outcome is not Outcome.NOT_RUN
        return reply

    def _make_call(self, request: _Request) -> Call:
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

    def _get_start_by(self, request: _Request) -> float:
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
        request: _Request,
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

    def _give_up(self, request: _Request, reply: Reply | None) -> HttpResponse:
        if reply is None or reply.outcome is Outcome.NOT_RUN:
            # A refusal elsewhere does not undo the run that failed before.
            reply = request.failed or reply
        if reply is not None and reply.outcome is Outcome.DONE:
            size = len(request.http.body) + len(reply.body)
            self._sizes.note(request.route.name, size)
            return HttpResponse(reply.status, reply.headers, reply.body)
        code = reply.code if reply is not None else codes.TARGET_ABSENT
        if reply is not None and reply.outcome is Outcome.UNKNOWN:
            return self._answer_unknown(request, code)
        delay_s = reply.retry_after_s if reply is not None else 0.0
        return self._refuse(request.caller, code, delay_s)

    def _refuse_early(self, caller: CallerRequest, code: str) -> HttpResponse:
        return self._refuse(caller, code, 0.0)

    def _refuse(
        self, caller: CallerRequest, code: str, delay_s: float
    ) -> HttpResponse:
        delay_s = max(delay_s, RETRY_AFTER_DEFAULT_S)
        delay_s *= self._rng.uniform(*RETRY_AFTER_SPREAD)
        log_event(
            "request_refused",
            attempt=caller.attempt_id.decode("latin-1"),
            code=code,
            retry_after_s=delay_s,
        )
        return _make_error(503, code, make_retry_after(delay_s))

    def _answer_unknown(self, request: _Request, code: str) -> HttpResponse:
        log_event(
            "request_outcome_unknown",
            attempt=request.caller.attempt_id.decode("latin-1"),
            route=request.route.name,
            code=code,
        )
        return _make_error(502, code)

    def _answer_late(self, request: _Request) -> HttpResponse:
        log_event(
            "request_timed_out",
            attempt=request.caller.attempt_id.decode("latin-1"),
            route=request.route.name,
            tried=",".join(request.tried),
        )
        return _make_error(504, codes.DEADLINE_EXCEEDED)


def _make_error(status: int, code: str, *headers) -> HttpResponse:
    body = f'{{"error":"{code}"}}\n'.encode()
    content_type = (b"Content-Type", b"application/json")
    return HttpResponse(status, (content_type, *headers), body)
