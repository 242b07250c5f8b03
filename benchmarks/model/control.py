"""Controls to be compared: none, static limits, and kumquatwalk's own."""

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
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import choose_target
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["CONTROLS", "Kumquatwalk", "NoControl", "StaticLimits"]

# Intervals of the daemon's news, and of looks at waiting calls, in seconds.
STATUS_INTERVAL_S = 0.5
WINDOW_S = 1.0
EXPIRY_INTERVAL_S = 0.05
# Share of its objective for which a request waits for a place, as the daemon's.
PATIENCE = 0.35
PATIENCE_RETURNING = 0.7
PATIENCE_INNER = 0.3


class NoControl:
    """Any target, whatever its load."""

    def __init__(
        self, shape: Shape, targets: list[ModelTarget], rng: random.Random
    ):
        del shape
        self._targets = targets
        self._rng = rng

    async def start(self) -> None:
        """Begin."""

    async def close(self) -> None:
        """End."""

    async def call(self, route, node, deadline, returns, is_internal, run_at):
        """Run a call at a target chosen at random."""
        del node, deadline, returns, is_internal
        same = [t for t in self._targets if t.service.name == route.service]
        await run_at(self._rng.choice(same))


class StaticLimits(NoControl):
    """The less loaded of two targets, and a fixed limit for each."""

    def __init__(self, shape, targets, rng):
        super().__init__(shape, targets, rng)
        self._running = {id(t): 0 for t in targets}

    async def call(self, route, node, deadline, returns, is_internal, run_at):
        """Run a call within the limit of its target, or refuse it."""
        same = [t for t in self._targets if t.service.name == route.service]
        pair = self._rng.sample(same, min(2, len(same)))
        target = min(pair, key=lambda t: self._running[id(t)])
        if self._running[id(target)] >= target.service.slots:
            raise RefusedError("limit")
        self._running[id(target)] += 1
        try:
            await run_at(target)
        finally:
            self._running[id(target)] -= 1


class Kumquatwalk:
    """The project's deciding parts, as the daemon puts them together.

    Every node is modelled by one set of views, which are as old as the
    daemon's news.
    """

    def __init__(
        self, shape: Shape, targets: list[ModelTarget], rng: random.Random
    ):
        self._shape = shape
        self._targets = targets
        self._rng = rng
        self._keys = itertools.count(1)
        self._gates = [TargetLimiter() for _ in targets]
        self._waiters: dict[int, asyncio.Future] = {}
        self._views = [
            TargetView(str(n), "a", t.service.name, is_reachable=True)
            for n, t in enumerate(targets)
        ]
        self._meters = [TrafficMeter() for _ in targets]
        self._graph = CallGraph()
        self._front = IngressAdmission(self, self._graph, rng)
        self._routes = {r.name: _make_route(r) for r in shape.routes}
        self._tasks: list[asyncio.Task] = []
        for gate, target in zip(self._gates, targets):
            gate.open(target.service.slots)

    async def start(self) -> None:
        """Begin to tell and to look."""
        self._tell_status()
        self._tasks = [
            asyncio.create_task(self._repeat(interval_s, function))
            for interval_s, function in (
                (STATUS_INTERVAL_S, self._tell_status),
                (WINDOW_S, self._tell_traffic),
                (EXPIRY_INTERVAL_S, self._expire),
            )
        ]

    async def close(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()

    def list_all_views(self) -> list[TargetView]:
        """Return what is known of all targets, for the front."""
        return self._views

    async def call(self, route, node, deadline, returns, is_internal, run_at):
        """Run a call at the target with the lowest expected cost, or refuse."""
        now = asyncio.get_running_loop().time()
        self._meters[node].record_arrival(route.name)
        if not is_internal and not self._front.admits(
            self._routes[route.name], returns, now
        ):
            raise RefusedError("front")
        tried: set[str] = set()
        for _ in range(2):
            view = self._choose(route, tried, is_internal)
            if view is None:
                break
            tried.add(view.node_id)
            try:
                await self._run_through_gate(
                    int(view.node_id),
                    route,
                    deadline,
                    returns,
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

    async def _run_through_gate(
        self, number, route, deadline, returns, is_internal, run_at
    ) -> None:
        loop = asyncio.get_running_loop()
        gate, view = self._gates[number], self._views[number]
        key = next(self._keys)
        start_by = deadline
        if route.rank or is_internal:
            patience = PATIENCE_RETURNING if returns else PATIENCE
            if is_internal:
                patience = PATIENCE_INNER
            start_by = min(deadline, loop.time() + patience * route.objective_s)
        call = AdmissionRequest(
            key, route.name, route.rank, returns, deadline, start_by
        )
        view.in_flight += 1
        try:
            await self._wait_for_place(gate, call)
            await self._run(gate, number, call, route, run_at)
        finally:
            view.in_flight -= 1
            view.running, view.queued = gate.running, gate.queued
            view.in_flight_reported = view.in_flight

    async def _run(self, gate, number, call, route, run_at) -> None:
        loop = asyncio.get_running_loop()
        self._meters[number].record_run(route.name)
        began_at = loop.time()
        run_s = None
        try:
            await run_at(self._targets[number])
            run_s = loop.time() - began_at
        except RefusedError:
            gate.note_shed(loop.time())
            raise
        finally:
            self._settle(*gate.finish(call.key, run_s, loop.time()))

    async def _wait_for_place(
        self, gate: TargetLimiter, call: AdmissionRequest
    ) -> None:
        loop = asyncio.get_running_loop()
        runs, refused = gate.submit(call, loop.time())
        self._settle([], [r for r in refused if r.key != call.key])
        if any(r.key == call.key for r in refused):
            raise RefusedError("gate")
        if runs:
            return
        self._waiters[call.key] = loop.create_future()
        try:
            if not await self._waiters[call.key]:
                raise RefusedError("gate")
        except asyncio.CancelledError:
            if not gate.cancel(call.key):
                self._settle(*gate.finish(call.key, None, loop.time()))
            raise
        finally:
            del self._waiters[call.key]

    def _settle(self, started, refused) -> None:
        for key in started:
            self._wake(key, True)
        for refusal in refused:
            self._wake(refusal.key, False)

    def _wake(self, key: int, is_admitted: bool) -> None:
        future = self._waiters.get(key)
        if future is not None and not future.done():
            future.set_result(is_admitted)

    async def _repeat(self, interval_s: float, function) -> None:
        while True:
            await asyncio.sleep(interval_s)
            function()

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for gate in self._gates:
            self._settle([], gate.expire(now))

    def _tell_status(self) -> None:
        now = asyncio.get_running_loop().time()
        for gate, view in zip(self._gates, self._views):
            status = TargetStatus(
                TargetState.READY,
                limit=gate.limit,
                running=gate.running,
                queued=gate.queued,
                route_times=gate.run_times.list_means(8),
            )
            view.update_status(status, now)

    def _tell_traffic(self) -> None:
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
