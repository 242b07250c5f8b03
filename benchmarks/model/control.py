"""Overload controls to compare: none, static limits and kumquatwalk."""

import asyncio
import itertools
import random

from benchmarks.model.fleet import ModelTarget
from benchmarks.model.fleet import RefusedError
from benchmarks.model.shape import ModelRoute
from benchmarks.model.shape import Shape
from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import TargetLimiter
from kumquatwalk.config.route import Route
from kumquatwalk.config.route import ServiceShare
from kumquatwalk.daemon.ingress_admission import IngressAdmission
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.sampled_views import WeightedView
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import choose_target
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["CONTROLS", "Kumquatwalk", "NoControl", "StaticLimits"]

# Interval at which a node publishes the status of its target, as in the daemon.
STATUS_INTERVAL_S = 0.5
# Length of the windows over which traffic is measured and reported, as in the
# daemon.
WINDOW_S = 1.0
# Interval at which queued calls are checked for expiry.
EXPIRY_INTERVAL_S = 0.05
# Maximum time in the queue as a share of a request's latency objective, for a
# first attempt, a retry and a nested call; the values of the daemon.
QUEUE_TIME_SHARE = 0.35
QUEUE_TIME_SHARE_RETRY = 0.7
QUEUE_TIME_SHARE_NESTED = 0.3


class NoControl:
    """Sends each call to a random target, without admission control.

    Args:
        shape: The fleet.
        targets: All targets of the fleet.
        rng: Random source that picks the targets.
    """

    def __init__(
        self, shape: Shape, targets: list[ModelTarget], rng: random.Random
    ):
        del shape
        self._targets = targets
        self._rng = rng

    async def start(self) -> None:
        """Start background tasks; this control has none."""

    async def close(self) -> None:
        """Stop background tasks; this control has none."""

    async def call(self, route, node, deadline, is_retry, is_internal, run_at):
        """Run a call at a random target of the route's service.

        Args:
            route: Route of the call.
            node: Index of the node that sends the call.
            deadline: Virtual time by which the call must end, in seconds.
            is_retry: Whether the call is a retry of a caller.
            is_internal: Whether a target makes the call, not a caller.
            run_at: Coroutine function that runs the call at a target.

        Raises:
            RefusedError: The call was refused and did not run.
        """
        del node, deadline, is_retry, is_internal
        candidates = [
            t for t in self._targets if t.service.name == route.service
        ]
        await run_at(self._rng.choice(candidates))


class StaticLimits(NoControl):
    """Picks the less loaded of two random targets, each with a fixed limit.

    The limit is the number of the target's slots.
    """

    def __init__(self, shape, targets, rng):
        super().__init__(shape, targets, rng)
        self._running = {id(t): 0 for t in targets}

    async def call(self, route, node, deadline, is_retry, is_internal, run_at):
        """Run a call unless its target is at its limit; see ``NoControl``."""
        candidates = [
            t for t in self._targets if t.service.name == route.service
        ]
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        target = min(pair, key=lambda t: self._running[id(t)])
        if self._running[id(target)] >= target.service.slots:
            raise RefusedError("limit")
        self._running[id(target)] += 1
        try:
            await run_at(target)
        finally:
            self._running[id(target)] -= 1


class Kumquatwalk:
    """Admission control and target choice of kumquatwalk.

    Wires the components as the daemon does. All nodes share one set of views of
    the targets, which is updated at the daemon's publishing intervals.

    Args:
        shape: The fleet.
        targets: All targets of the fleet.
        rng: Random source of target choice and ingress admission.
    """

    def __init__(
        self, shape: Shape, targets: list[ModelTarget], rng: random.Random
    ):
        self._shape = shape
        self._targets = targets
        self._rng = rng
        self._keys = itertools.count(1)
        self._limiters = [TargetLimiter() for _ in targets]
        self._waiters: dict[int, asyncio.Future] = {}
        self._views = [
            TargetView(str(n), "a", t.service.name, is_reachable=True)
            for n, t in enumerate(targets)
        ]
        self._meters = [TrafficMeter() for _ in targets]
        self._graph = CallGraph()
        self._ingress = IngressAdmission(self, self._graph, rng)
        self._routes = {r.name: _make_route(r) for r in shape.routes}
        self._tasks: list[asyncio.Task] = []
        for limiter, target in zip(self._limiters, targets):
            limiter.open(target.service.slots)

    async def start(self) -> None:
        """Start to publish status and traffic and to expire queued calls."""
        self._publish_status()
        self._tasks = [
            asyncio.create_task(self._repeat(interval_s, function))
            for interval_s, function in (
                (STATUS_INTERVAL_S, self._publish_status),
                (WINDOW_S, self._publish_traffic),
                (EXPIRY_INTERVAL_S, self._expire),
            )
        ]

    async def close(self) -> None:
        """Stop the background tasks."""
        for task in self._tasks:
            task.cancel()

    def list_all_views(self) -> list[TargetView]:
        """Return the views of all targets, for ingress admission."""
        return self._views

    def list_weighted_views(self) -> list[WeightedView]:
        """Return the views of all targets, each of which stands for itself."""
        return [WeightedView(view, 1.0) for view in self._views]

    async def call(self, route, node, deadline, is_retry, is_internal, run_at):
        """Run a call at the target with the lowest expected cost.

        A call that one target refuses is tried once at another target.

        Args:
            route: Route of the call.
            node: Index of the node that sends the call.
            deadline: Virtual time by which the call must end, in seconds.
            is_retry: Whether the call is a retry of a caller.
            is_internal: Whether a target makes the call, not a caller.
            run_at: Coroutine function that runs the call at a target.

        Raises:
            RefusedError: Ingress admission or both targets refused the call.
        """
        now = asyncio.get_running_loop().time()
        self._meters[node].record_arrival(route.name)
        if not is_internal and not self._ingress.admits(
            self._routes[route.name], is_retry, now
        ):
            raise RefusedError("front")
        tried: set[str] = set()
        for _ in range(2):
            view = self._choose(route, tried, is_internal)
            if view is None:
                break
            tried.add(view.node_id)
            try:
                await self._queue_and_run(
                    int(view.node_id),
                    route,
                    deadline,
                    is_retry,
                    is_internal,
                    run_at,
                )
                return
            except RefusedError:
                continue
        raise RefusedError("gate")

    def _choose(
        self, route: ModelRoute, tried: set[str], is_internal: bool
    ) -> TargetView | None:
        context = ChoiceContext(
            "a",
            route.name,
            route.objective_s,
            1.0,
            frozenset(tried),
            asyncio.get_running_loop().time(),
            is_internal,
        )
        views = [v for v in self._views if v.service == route.service]
        return choose_target(views, context, self._rng)

    async def _queue_and_run(
        self, number, route, deadline, is_retry, is_internal, run_at
    ) -> None:
        loop = asyncio.get_running_loop()
        limiter, view = self._limiters[number], self._views[number]
        key = next(self._keys)
        start_by = deadline
        if route.rank or is_internal:
            queue_time_share = (
                QUEUE_TIME_SHARE_RETRY if is_retry else QUEUE_TIME_SHARE
            )
            if is_internal:
                queue_time_share = QUEUE_TIME_SHARE_NESTED
            start_by = min(
                deadline, loop.time() + queue_time_share * route.objective_s
            )
        call = AdmissionRequest(
            key, route.name, route.rank, is_retry, deadline, start_by
        )
        view.in_flight += 1
        try:
            await self._wait_for_admission(limiter, call)
            await self._run(limiter, number, call, route, run_at)
        finally:
            view.in_flight -= 1
            view.running, view.queued = limiter.running, limiter.queued
            view.in_flight_reported = view.in_flight

    async def _run(self, limiter, number, call, route, run_at) -> None:
        loop = asyncio.get_running_loop()
        self._meters[number].record_run(route.name)
        started_at = loop.time()
        run_s = None
        try:
            await run_at(self._targets[number])
            run_s = loop.time() - started_at
            self._meters[number].record_run_end(is_failed=False)
        except RefusedError:
            limiter.record_shed(loop.time())
            raise
        except (TimeoutError, asyncio.CancelledError):
            self._meters[number].record_run_end(is_failed=True)
            raise
        finally:
            self._notify_waiters(*limiter.finish(call.key, run_s, loop.time()))

    async def _wait_for_admission(
        self, limiter: TargetLimiter, call: AdmissionRequest
    ) -> None:
        loop = asyncio.get_running_loop()
        is_admitted, refused = limiter.submit(call, loop.time())
        self._notify_waiters([], [r for r in refused if r.key != call.key])
        if any(r.key == call.key for r in refused):
            raise RefusedError("gate")
        if is_admitted:
            return
        self._waiters[call.key] = loop.create_future()
        try:
            if not await self._waiters[call.key]:
                raise RefusedError("gate")
        except asyncio.CancelledError:
            if not limiter.cancel(call.key):
                self._notify_waiters(
                    *limiter.finish(call.key, None, loop.time())
                )
            raise
        finally:
            del self._waiters[call.key]

    def _notify_waiters(self, started, refused) -> None:
        for key in started:
            self._resolve_waiter(key, True)
        for refusal in refused:
            self._resolve_waiter(refusal.key, False)

    def _resolve_waiter(self, key: int, is_admitted: bool) -> None:
        future = self._waiters.get(key)
        if future is not None and not future.done():
            future.set_result(is_admitted)

    async def _repeat(self, interval_s: float, function) -> None:
        while True:
            await asyncio.sleep(interval_s)
            function()

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for limiter in self._limiters:
            self._notify_waiters([], limiter.expire(now))

    def _publish_status(self) -> None:
        now = asyncio.get_running_loop().time()
        for limiter, view in zip(self._limiters, self._views):
            status = TargetStatus(
                TargetState.READY,
                limit=limiter.limit,
                running=limiter.running,
                queued=limiter.queued,
                route_times=limiter.run_times.list_means(8),
            )
            view.update_status(status, now)

    def _publish_traffic(self) -> None:
        now = asyncio.get_running_loop().time()
        for number, (meter, view) in enumerate(zip(self._meters, self._views)):
            report = meter.close_window(self._graph, WINDOW_S)
            self._graph.add_report(str(number), view.service, report, now)


def _make_route(route: ModelRoute) -> Route:
    return Route(
        route.name,
        "",
        "/",
        (ServiceShare(route.service, 1.0),),
        True,
        2,
        route.deadline_s,
        route.objective_s,
        route.rank,
    )


CONTROLS = {
    "none": NoControl,
    "static": StaticLimits,
    "kumquatwalk": Kumquatwalk,
}
