"""Simulation of targets of unlike speed on machines that slow down at times.

Calls look alike, but their work differs. The decisions are the product's own.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from benchmarks.fleet_model.design import DESIGNS
from benchmarks.fleet_model.fleet import ModelNode
from benchmarks.fleet_model.fleet import RUN_S
from benchmarks.fleet_model.fleet import SERVICES
from benchmarks.fleet_model.fleet import SLOTS
from benchmarks.fleet_model.fleet import make_nodes
from kumquatwalk.admission.run_times import RunTimes
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing.run_forecast import RunForecast
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import choose_target
from kumquatwalk.routing.work_left import WorkLeft
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["REPORTS", "Noise", "UnlikeResult", "UnlikeSimulation"]

SPEED_RANGE = (0.55, 1.6)
OBJECTIVE_S = 1.0
CALL_KB = 0.5
# Spread of the work of a call: sigma of a lognormal distribution of mean 1, and
# the part of calls that take five times as long.
WORK_SIGMA = 0.5
TAIL_PART = 0.01
TAIL_FACTOR = 5.0
# Time of a message between two nodes, in seconds.
LINK_S = 0.001
STATUS_INTERVAL_S = 1.0
# Time before which nothing is counted, in seconds: run times are learnt.
WARM_UP_S = 4.0
# Length of the windows in which the busiest target is compared, in seconds.
WINDOW_S = 1.0
# What a target reports: "calls" is the count of calls only, as before; the next
# two add one part each, "work" adds both.
REPORTS = ("calls", "rest", "slowness", "work")


@dataclasses.dataclass(frozen=True, slots=True)
class Noise:
    """Slowing down of machines by other workloads.

    Attributes:
        factor: Factor on the time of work in a slow interval.
        part: Part of the intervals that are slow.
        interval_s: Length of an interval, in seconds.
    """

    factor: float = 2.5
    part: float = 0.15
    interval_s: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class UnlikeResult:
    """Figures of one run.

    Attributes:
        calls: Calls that were counted.
        p50_ms: Median time of a call, in milliseconds.
        p99_ms: 99th percentile of it, in milliseconds.
        late_percent: Part of the calls that took longer than the objective.
        spread: Highest load of a target over the mean of its service. The load
            is the arrivals over the speed.
        spread_window: The same in windows of a second, mean over them.
        far_percent: Part of the calls that left their zone.
    """

    calls: int
    p50_ms: float
    p99_ms: float
    late_percent: float
    spread: float
    spread_window: float
    far_percent: float


class _Target:
    """Target with its machine, and what its node learns of it."""

    def __init__(self, node: ModelNode, report: str, noise: Noise, seed: int):
        self.node = node
        self.report = report
        self.waiting: list = []
        self.running = 0
        self.times = RunTimes()
        self.left = WorkLeft()
        self.forecast = RunForecast()
        self._noise = noise
        self._seed = seed
        # Intervals of machines begin at different times.
        self._phase_s = random.Random(seed).random() * noise.interval_s
        self._factors: dict[int, float] = {}

    def find_slowness(self, now: float) -> float:
        """Return how slow the machine is now."""
        index = int((now + self._phase_s) / self._noise.interval_s)
        factor = self._factors.get(index)
        if factor is None:
            rng = random.Random(self._seed * 1_000_003 + index)
            is_slow = rng.random() < self._noise.part
            factor = self._noise.factor if is_slow else 1.0
            self._factors[index] = factor
        return factor

    def compute_end(self, now: float, work_s: float) -> float:
        """Return when work that starts now ends."""
        left_s = work_s / self.node.speed
        interval_s = self._noise.interval_s
        while True:
            index = int((now + self._phase_s) / interval_s + 1e-9)
            end = (index + 1) * interval_s - self._phase_s
            slowness = self.find_slowness(now + 1e-9)
            if now + left_s * slowness <= end:
                return now + left_s * slowness
            left_s -= (end - now) / slowness
            now = end

    def measure(self, now: float) -> tuple[float, float]:
        """Return the work left and the slowness that are reported."""
        if self.report == "calls":
            return 0.0, 0.0
        slowness = self.left.slowness
        relative = slowness.estimate(now) / slowness.usual
        work_s = self.left.measure(now)
        if self.report == "rest":
            return work_s / relative, 1.0
        if self.report == "slowness":
            mean_s = self.forecast.estimate("call").mean_s * slowness.usual
            calls = self.running + len(self.waiting)
            return calls * mean_s * relative, relative
        return work_s, relative

    def make_status(self, now: float) -> TargetStatus:
        """Return the status that the node sends to others."""
        work_left_s, slowness = self.measure(now)
        times = self.times.list_means(8)
        if slowness:
            usual = self.left.slowness.usual
            means = self.forecast.list_means(8)
            times = tuple((r, usual * s) for r, s in means) or times
        return TargetStatus(
            TargetState.READY,
            limit=SLOTS,
            running=self.running,
            queued=len(self.waiting),
            route_times=times,
            work_left_s=work_left_s,
            slowness=slowness,
        )


class UnlikeSimulation:
    """Plays calls at random times from all nodes to all services.

    Args:
        count: Number of nodes.
        report: What targets report, one of ``REPORTS``.
        calls_per_s: Calls of each node, per second.
        seed: Seed of all random choices.
        noise: Slowing down of the machines.

    Attributes:
        nodes: The nodes by identifier.
        targets: Their targets by the same identifiers.
        runs: Runs that have ended: target, its slowness as estimated at the
            start, and time, in seconds.
    """

    def __init__(
        self,
        count: int,
        report: str,
        calls_per_s: float,
        seed: int,
        noise: Noise = Noise(),
    ):
        self._calls_per_s = calls_per_s
        # Arrivals and work are the same whatever is reported.
        self._load = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self.nodes = make_nodes(count, DESIGNS["subset"], self._rng)
        self.targets = {}
        for n, (name, node) in enumerate(self.nodes.items()):
            node.speed = self._rng.uniform(*SPEED_RANGE)
            self.targets[name] = _Target(node, report, noise, 7919 * seed + n)
        self._events: list = []
        self._order = itertools.count()
        self._now = 0.0
        self._times: list[float] = []
        self.runs: list[tuple[str, float, float]] = []
        self._far = 0
        self._arrivals: dict[int, collections.Counter] = {}
        for node in self.nodes.values():
            self._schedule(
                self._load.expovariate(calls_per_s), self._call, node
            )
            phase_s = self._rng.random() * STATUS_INTERVAL_S
            self._schedule(phase_s, self._publish, node)

    def play(self, until_s: float) -> UnlikeResult:
        """Play events until a virtual time and return the figures.

        Args:
            until_s: End, in seconds.
        """
        while self._events and self._events[0][0] <= until_s:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        times = sorted(self._times)
        count = len(times)
        late = sum(t > OBJECTIVE_S for t in times)
        windows = list(self._arrivals.values())
        total = sum(windows, collections.Counter())
        return UnlikeResult(
            calls=count,
            p50_ms=1000.0 * times[count // 2],
            p99_ms=1000.0 * times[int(0.99 * count)],
            late_percent=100.0 * late / count,
            spread=self._measure_spread(total),
            spread_window=sum(map(self._measure_spread, windows))
            / len(windows),
            far_percent=100.0 * self._far / count,
        )

    def _measure_spread(self, arrivals: collections.Counter) -> float:
        by_service = collections.defaultdict(list)
        for name, node in self.nodes.items():
            load = arrivals[name] / node.speed
            by_service[node.entry.service].append(load)
        return max(
            max(loads) / (sum(loads) / len(loads))
            for loads in by_service.values()
            if sum(loads)
        )

    def _schedule(self, delay_s: float, function, *arguments) -> None:
        event = (self._now + delay_s, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def _publish(self, node: ModelNode) -> None:
        status = self.targets[node.entry.node_id].make_status(self._now)
        for view in node.observers:
            view.update_status(status, self._now)
        self._schedule(STATUS_INTERVAL_S, self._publish, node)

    def _call(self, node: ModelNode) -> None:
        delay_s = self._load.expovariate(self._calls_per_s)
        self._schedule(delay_s, self._call, node)
        work = self._load.lognormvariate(-0.5 * WORK_SIGMA**2, WORK_SIGMA)
        if self._load.random() < TAIL_PART:
            work *= TAIL_FACTOR
        service = self._load.choice(SERVICES)
        context = ChoiceContext(
            node.zone, "call", OBJECTIVE_S, CALL_KB, frozenset(), self._now
        )
        views = node.views.get(service, [])
        view = choose_target(views, context, self._rng)
        if view is None:
            return
        view.in_flight += 1
        if self._now > WARM_UP_S:
            self._far += view.availability_zone != node.zone
            window = int(self._now / WINDOW_S)
            arrivals = self._arrivals.setdefault(window, collections.Counter())
            arrivals[view.node_id] += 1
        call = (next(self._order), self._now, view, work * RUN_S)
        self._schedule(LINK_S, self._arrive, self.targets[view.node_id], call)

    def _arrive(self, target: _Target, call) -> None:
        target.left.enter(call[0], target.forecast.estimate("call").mean_s)
        target.waiting.append(call)
        self._start_runs(target)

    def _start_runs(self, target: _Target) -> None:
        while target.waiting and target.running < SLOTS:
            call = target.waiting.pop(0)
            target.running += 1
            target.left.start(call[0], self._now)
            end = target.compute_end(self._now, call[3])
            start = self._now, target.left.slowness.estimate(self._now)
            self._schedule(end - self._now, self._end_run, target, call, start)

    def _end_run(self, target: _Target, call, start) -> None:
        key, sent_at, view, _ = call
        began_at, slowness = start
        now = self._now
        if began_at > WARM_UP_S:
            self.runs.append((view.node_id, slowness, now - began_at))
        target.running -= 1
        target.times.record("call", now - began_at)
        target.left.slowness.observe(target.find_slowness(now), now)
        run_s = target.left.end(key, True, now)
        if run_s is not None:
            target.forecast.record("call", run_s, now)
        self._start_runs(target)
        load = (target.running, len(target.waiting), *target.measure(now))
        self._schedule(LINK_S, self._receive, view, load, sent_at)

    def _receive(self, view: TargetView, load, sent_at: float) -> None:
        view.running, view.queued, work_left_s, slowness = load
        view.update_work(work_left_s, slowness, self._now)
        view.in_flight -= 1
        view.in_flight_reported = view.in_flight
        if sent_at > WARM_UP_S:
            self._times.append(self._now - sent_at)
