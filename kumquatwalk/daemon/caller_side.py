"""Caller side of a node: routes requests, bounds their attempts and time."""

import asyncio
import random
import secrets

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.daemon.front_admission import FrontAdmission
from kumquatwalk.daemon.meters import DaemonMeters
from kumquatwalk.daemon.node_reply import fail_late
from kumquatwalk.daemon.node_reply import fail_unknown
from kumquatwalk.daemon.node_reply import refuse
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.pending_request import PendingRequest
from kumquatwalk.daemon.retry_spender import RetrySpender
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
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
# Time for which a link that broke is awaited when no other target is left, in
# seconds: a node that is there is linked again in 0.1 s.
RELINK_S = 0.4
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
        meters: Metrics of the daemon.
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
        meters: DaemonMeters,
    ):
        self._settings = settings
        self._target_side = target_side
        self._own_view = own_view
        self._peers = peers
        self._meter = meter
        self._graph = graph
        self._front = front
        self._retries = retries
        self._meters = meters
        self._splitter = TrafficSplitter()
        self._sizes = RouteSizes()
        self._rng = random.Random()
        self._longest_timeout_s: dict[str, float] = {}

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

    async def serve(
        self,
        http: HttpRequest,
        caller: CallerRequest,
        route: Route,
        chain: ChainContext | None = None,
    ) -> Reply:
        """Serve one request.

        Args:
            http: The request.
            caller: What its headers say.
            route: Its route.
            chain: What it has from its chain; None where that is not known.

        Returns:
            The target's answer, or why there is none.
        """
        began_at = read_now()
        try:
            reply = await self._serve(http, caller, route, chain)
        finally:
            if chain is not None and chain.tokens is not None:
                chain.tokens.close()
        self._meters.note_request(route.name, reply, read_now() - began_at)
        return reply

    async def _serve(
        self,
        http: HttpRequest,
        caller: CallerRequest,
        route: Route,
        chain: ChainContext | None,
    ) -> Reply:
        timeout_s = route.timeout_s
        if caller.timeout_s is not None:
            timeout_s = min(timeout_s, caller.timeout_s)
        deadline = http.received_at + timeout_s
        parent_route = "" if chain is None else chain.parent_route
        self._meter.note_arrival(route.name, parent_route)
        request = PendingRequest(
            http,
            caller,
            route,
            self._splitter.choose(route),
            deadline if chain is None else min(deadline, chain.deadline),
            self._is_returning(route, caller.timeout_s),
            chain,
        )
        is_inner = chain is not None and chain.depth > 0
        if not is_inner and not self._front.passes(
            route, request.is_returning, read_now()
        ):
            return refuse(caller, codes.OVERLOADED, 0.0, self._rng)
        try:
            async with asyncio.timeout(request.deadline - read_now()):
                return await self._make_attempts(request)
        except TimeoutError:
            return fail_late(request)

    def _is_returning(self, route: Route, timeout_s: float | None) -> bool:
        if timeout_s is None:
            return False
        longest_s = self._longest_timeout_s.get(route.name, 0.0)
        if timeout_s > longest_s:
            self._longest_timeout_s[route.name] = longest_s = timeout_s
        return timeout_s < RETURNING_SHARE * longest_s

    async def _make_attempts(self, request: PendingRequest) -> Reply:
        self._retries.note_first(request.service, read_now())
        while True:
            view = await self._choose_or_wait(request)
            if view is None:
                return self._give_up(request)
            reply = await self._send(view, request)
            self._note_attempt(request, view, reply)
            if self._is_final(request, reply, view):
                return self._give_up(request)
            if request.arrivals and not await self._prepare_repeat(
                request, reply, view
            ):
                return self._give_up(request)

    def _note_attempt(
        self, request: PendingRequest, view: TargetView, reply: Reply
    ) -> None:
        request.tried.add(view.node_id)
        request.crash_marks += reply.crash_mark
        tokens = request.tokens
        if reply.outcome is Outcome.NOT_RUN:
            request.arrivals += reply.shed_by_target
            request.refused = reply
            if tokens is not None:
                tokens.note_unsent()
            return
        request.arrivals += 1
        # The last run's answer is the one that counts, also a good one.
        request.last_run = reply
        if tokens is not None:
            tokens.note_reply(reply.tokens)

    async def _choose_or_wait(
        self, request: PendingRequest
    ) -> TargetView | None:
        view = self._choose(request)
        if view is None and not request.tried:
            # After a freeze or a cut all links may be down for a moment.
            if await self._peers.wait_until_linked(request.service, RELINK_S):
                view = self._choose(request)
        return view

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
        request.asked = view.node_id
        if view is self._own_view:
            return await self._target_side.serve(call)
        link = self._peers.find(view.node_id)
        if link is None:
            return Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
        return await link.call(call)

    def _make_call(self, request: PendingRequest) -> Call:
        route = request.route
        chain = request.chain
        tokens = request.tokens
        return Call(
            key=0 if route.is_idempotent else secrets.randbits(_KEY_BITS),
            attempt_id=request.caller.attempt_id,
            route=route.name,
            service=request.service,
            caller_service=self._settings.service,
            is_idempotent=route.is_idempotent,
            is_returning=request.is_returning,
            rank=request.rank,
            deadline=request.deadline,
            start_by=self._get_start_by(request),
            method=request.http.method,
            url=request.http.url,
            headers=request.caller.headers,
            body=request.http.body,
            depth=0 if chain is None else chain.depth,
            tokens=0 if tokens is None else tokens.send(),
            is_protected=chain is not None and chain.is_protected,
            crash_marks=request.crash_marks,
        )

    def _get_start_by(self, request: PendingRequest) -> float:
        route = request.route
        limit_s = min(route.objective_s, route.timeout_s)
        if request.rank == 0:
            return request.deadline
        if self._graph.is_inner(route.name):
            share = PATIENCE_INNER
        elif not self._graph.is_outer(route.name):
            return request.deadline
        else:
            share = PATIENCE_RETURNING if request.is_returning else PATIENCE
        return min(request.deadline, request.http.received_at + share * limit_s)

    def _is_final(
        self, request: PendingRequest, reply: Reply, view: TargetView
    ) -> bool:
        """Return whether a reply rules out any further attempt."""
        route = request.route
        if reply.outcome is Outcome.DONE:
            if reply.status < 500 or not route.repeats_failures:
                return True
        if reply.outcome is Outcome.UNKNOWN or reply.shed_by_target:
            view.backoff_until = read_now() + BACKOFF_S
        if reply.outcome is not Outcome.NOT_RUN and not route.is_idempotent:
            return True
        if reply.code == codes.QUARANTINED:
            return True
        if len(request.tried) >= GATES_MAX:
            return True
        return request.arrivals >= route.attempts_max

    async def _prepare_repeat(
        self, request: PendingRequest, reply: Reply, view: TargetView
    ) -> bool:
        """Return whether a request that reached a target is sent again."""
        other = self._choose(request)
        if other is None and reply.code == codes.LINK_FAILED:
            # No other target: the same one is as good once it is linked again.
            link = self._peers.find(view.node_id)
            if link is None or not await link.wait_until_usable(RELINK_S):
                return False
            request.tried.discard(view.node_id)
            other = view
        if other is None or other.status.failure_share > FAILURE_SHARE_MAX:
            return False
        return self._spend_on_repeat(request, read_now())

    def _spend_on_repeat(self, request: PendingRequest, now: float) -> bool:
        tokens = request.tokens
        if tokens is not None and not tokens.available:
            return False
        if not self._retries.take(request.service, request.route.name, now):
            return False
        self._meters.note_repeat()
        log_event(
            "request_sent_again",
            attempt=request.caller.attempt_id.decode("latin-1"),
            route=request.route.name,
            tried=",".join(request.tried),
        )
        return tokens is None or tokens.spend()

    def _give_up(self, request: PendingRequest) -> Reply:
        # A refusal elsewhere does not undo the run that failed before.
        reply = request.last_run or request.refused
        if reply is None:
            return refuse(request.caller, codes.TARGET_ABSENT, 0.0, self._rng)
        if reply.outcome is Outcome.NOT_RUN:
            return refuse(
                request.caller, reply.code, reply.retry_after_s, self._rng
            )
        if reply.outcome is Outcome.UNKNOWN:
            return fail_unknown(request, reply.code)
        size = len(request.http.body) + len(reply.body)
        self._sizes.note(request.route.name, size)
        return reply
