"""Targets and callers of a simulated fleet, in virtual time."""

import asyncio
import dataclasses
import random

from benchmarks.model.pattern import RUN_LENGTH_S
from benchmarks.model.pattern import Pattern
from benchmarks.model.shape import ModelRoute
from benchmarks.model.shape import ModelService
from benchmarks.model.shape import Shape

__all__ = ["ModelFleet", "ModelTarget", "RefusedError", "RequestRecord"]

# Round-trip time between two nodes, in seconds.
ROUND_TRIP_S = 0.001
# Pause of a caller before it retries, in seconds; it is shorter in a retry
# storm.
RETRY_PAUSE_S = 0.5
RETRY_STORM_PAUSE_S = 0.02


class RefusedError(Exception):
    """Raised when a call is refused, by a control or by the target itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """Outcome of a caller's request, all its attempts included.

    Attributes:
        route: Route of the request.
        started_at: Virtual time of the first attempt, in seconds.
        ended_at: Virtual time at which the last attempt ended, in seconds.
        outcome: ``served`` within the latency objective, ``late`` when served
            after it, else ``refused`` or ``failed`` as the last attempt was.
    """

    route: ModelRoute
    started_at: float
    ended_at: float
    outcome: str


class ModelTarget:
    """Target with a limited number of slots and a queue of its own.

    Args:
        service: Service that the target runs.
        number: Index of the target within its service.
        pattern: Load pattern, which may slow the target or make it refuse.
        is_bottleneck: Whether the service is the bottleneck. The pattern's
            faults affect the targets of this service only.
        rng: Random source of run times and refusals.

    Attributes:
        service: Service that the target runs.
        number: Index of the target within its service.
        busy_s: Time for which slots were in use so far, summed over the slots,
            in seconds.
    """

    def __init__(
        self,
        service: ModelService,
        number: int,
        pattern: Pattern,
        is_bottleneck: bool,
        rng: random.Random,
    ):
        self._is_bottleneck = is_bottleneck
        self.service = service
        self.number = number
        self.busy_s = 0.0
        self._pattern = pattern
        self._rng = rng
        self._slots = asyncio.Semaphore(service.slots)
        self._in_flight = 0

    async def run(self, route: ModelRoute, make_calls) -> None:
        """Run a call at the target.

        Args:
            route: Route of the call.
            make_calls: Coroutine function that makes the nested calls of the
                run, which hold its slot.

        Raises:
            RefusedError: Slots and queue are full, or the load pattern makes
                the target refuse the call.
        """
        now = asyncio.get_running_loop().time()
        if self._sheds(now):
            raise RefusedError("target_shed")
        self._in_flight += 1
        try:
            async with self._slots:
                started_at = asyncio.get_running_loop().time()
                try:
                    await asyncio.sleep(self._draw_run_time(route, started_at))
                    await make_calls()
                finally:
                    ended_at = asyncio.get_running_loop().time()
                    self.busy_s += ended_at - started_at
        finally:
            self._in_flight -= 1

    def _sheds(self, now: float) -> bool:
        capacity = self.service.slots + self.service.queue
        if self._in_flight >= capacity:
            return True
        probability = 0.0
        if self._is_bottleneck:
            probability = self._pattern.shed_probability(self.number, now)
        return self._rng.random() < probability

    def _draw_run_time(self, route: ModelRoute, now: float) -> float:
        work_s = self._rng.gammavariate(4.0, route.work_s / 4.0)
        work_s /= self.service.speeds[self.number]
        if self._is_bottleneck:
            work_s *= self._pattern.run_time_factor(self.number, now)
        return work_s


class ModelFleet:
    """Fleet under a load pattern and an overload control.

    Args:
        shape: Services and routes of the fleet.
        pattern: Load pattern.
        make_control: Factory of the control; it takes the shape, the targets
            and a random source.
        seed: Seed of arrivals, run times and the control's choices.

    Attributes:
        targets: All targets.
        records: Outcomes of the callers' requests that have ended.
    """

    def __init__(self, shape: Shape, pattern: Pattern, make_control, seed: int):
        self._shape = shape
        self._pattern = pattern
        self._rng = random.Random(seed)
        self.targets = [
            ModelTarget(
                service,
                n,
                pattern,
                service is shape.services[-1],
                random.Random(seed + 7 * n),
            )
            for service in shape.services
            for n in range(len(service.speeds))
        ]
        self._control = make_control(
            shape, self.targets, random.Random(seed + 1)
        )
        self.records: list[RequestRecord] = []
        self._tasks: set[asyncio.Task] = set()

    async def run_pattern(self) -> None:
        """Run the whole load pattern until the last request has ended."""
        await self._control.start()
        external_routes = [r for r in self._shape.routes if r.per_s]
        callers = [
            asyncio.create_task(self._generate_requests(r))
            for r in external_routes
        ]
        await asyncio.gather(*callers)
        await asyncio.gather(*self._tasks)
        await self._control.close()

    async def _generate_requests(self, route: ModelRoute) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(self._rng.random())
        while loop.time() < RUN_LENGTH_S:
            rate = route.per_s * self._pattern.rate_factor(loop.time())
            await asyncio.sleep(rng.expovariate(rate))
            node = rng.randrange(len(self.targets))
            task = asyncio.create_task(self._request(route, node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request(self, route: ModelRoute, node: int) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + route.deadline_s
        outcome = "failed"
        retries = self._pattern.retries(started_at)
        for attempt in range(1 + retries):
            outcome = await self._attempt(route, node, deadline, attempt > 0)
            pause_s = RETRY_STORM_PAUSE_S if retries > 1 else RETRY_PAUSE_S
            if outcome == "served" or loop.time() + pause_s > deadline:
                break
            await asyncio.sleep(pause_s)
        ended_at = loop.time()
        if outcome == "served" and ended_at - started_at > route.objective_s:
            outcome = "late"
        self.records.append(RequestRecord(route, started_at, ended_at, outcome))

    async def _attempt(
        self, route: ModelRoute, node: int, deadline: float, is_retry: bool
    ) -> str:
        try:
            await self._call(route, node, deadline, is_retry, is_internal=False)
        except RefusedError:
            return "refused"
        except TimeoutError:
            return "failed"
        return "served"

    async def _call(
        self,
        route: ModelRoute,
        node: int,
        deadline: float,
        is_retry: bool,
        is_internal: bool,
    ) -> None:
        async with asyncio.timeout_at(deadline):
            await asyncio.sleep(ROUND_TRIP_S)

            async def run_at(target: ModelTarget) -> None:
                async def make_calls() -> None:
                    await self._make_calls(route, target, deadline)

                await target.run(route, make_calls)

            await self._control.call(
                route, node, deadline, is_retry, is_internal, run_at
            )

    async def _make_calls(
        self, route: ModelRoute, target: ModelTarget, deadline: float
    ) -> None:
        loop = asyncio.get_running_loop()
        node = self.targets.index(target)
        for name, call_count in route.calls:
            called = self._shape.find_route(name)
            for _ in range(call_count):
                nested_deadline = min(deadline, loop.time() + called.deadline_s)
                try:
                    await self._call(called, node, nested_deadline, False, True)
                except RefusedError as error:
                    # A run fails with its nested call; the work is wasted.
                    raise TimeoutError from error
