"""Targets and callers of a modelled fleet, in virtual time."""

import asyncio
import dataclasses
import random

from benchmarks.model.pattern import LENGTH_S
from benchmarks.model.pattern import Pattern
from benchmarks.model.shape import ModelRoute
from benchmarks.model.shape import ModelService
from benchmarks.model.shape import Shape

__all__ = ["ModelFleet", "ModelTarget", "RefusedError", "RequestEnd"]

# Time to another node and back, in seconds.
TRIP_S = 0.001
# Pause of a caller before it sends a refused request again, in seconds, and the
# shorter one of a caller in a retry storm.
PAUSE_S = 0.5
STORM_PAUSE_S = 0.02


class RefusedError(Exception):
    """A call was not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request of a caller ended.

    Attributes:
        route: Its route.
        began_at: Time of its first attempt.
        ended_at: Time of its end.
        outcome: ``served``, ``late``, ``refused`` or ``failed``.
    """

    route: ModelRoute
    began_at: float
    ended_at: float
    outcome: str


class ModelTarget:
    """One target: slots, a queue of its own, and uneven speed.

    Attributes:
        service: Its service.
        number: Its number among the service's targets.
        busy_s: Time of places used so far, in seconds.
    """

    def __init__(
        self,
        service: ModelService,
        number: int,
        pattern: Pattern,
        is_narrow: bool,
        rng: random.Random,
    ):
        self._is_narrow = is_narrow
        self.service = service
        self.number = number
        self.busy_s = 0.0
        self._pattern = pattern
        self._rng = rng
        self._slots = asyncio.Semaphore(service.slots)
        self._present = 0

    async def run(self, route: ModelRoute, make_calls) -> None:
        """Run a call at the target.

        Args:
            route: Its route.
            make_calls: Coroutine function that makes the run's own calls.

        Raises:
            RefusedError: The target has no room, or pretends to have none.
        """
        now = asyncio.get_running_loop().time()
        if self._is_shed(now):
            raise RefusedError("target_shed")
        self._present += 1
        try:
            async with self._slots:
                began_at = asyncio.get_running_loop().time()
                try:
                    await asyncio.sleep(self._draw_work(route, began_at))
                    await make_calls()
                finally:
                    ended_at = asyncio.get_running_loop().time()
                    self.busy_s += ended_at - began_at
        finally:
            self._present -= 1

    def _is_shed(self, now: float) -> bool:
        room = self.service.slots + self.service.queue
        if self._present >= room:
            return True
        share = 0.0
        if self._is_narrow:
            share = self._pattern.shed_share(self.number, now)
        return self._rng.random() < share

    def _draw_work(self, route: ModelRoute, now: float) -> float:
        work_s = self._rng.gammavariate(4.0, route.work_s / 4.0)
        work_s /= self.service.speeds[self.number]
        if self._is_narrow:
            work_s *= self._pattern.slowness(self.number, now)
        return work_s


class ModelFleet:
    """Plays a pattern against a control.

    Args:
        shape: The fleet.
        pattern: The pattern.
        make_control: Makes the control from the shape, targets and a source of
            random numbers.
        seed: Seed of everything that varies.

    Attributes:
        targets: All targets.
        ends: How the requests of callers ended.
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
        self.ends: list[RequestEnd] = []
        self._tasks: set[asyncio.Task] = set()

    async def play(self) -> None:
        """Play the whole pattern."""
        await self._control.start()
        outer = [r for r in self._shape.routes if r.per_s]
        callers = [asyncio.create_task(self._press(r)) for r in outer]
        await asyncio.gather(*callers)
        await asyncio.gather(*self._tasks)
        await self._control.close()

    async def _press(self, route: ModelRoute) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(self._rng.random())
        while loop.time() < LENGTH_S:
            rate = route.per_s * self._pattern.load(loop.time())
            await asyncio.sleep(rng.expovariate(rate))
            node = rng.randrange(len(self.targets))
            task = asyncio.create_task(self._request(route, node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request(self, route: ModelRoute, node: int) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        give_up_at = began_at + route.deadline_s
        outcome = "failed"
        repeats = self._pattern.repeats(began_at)
        for attempt in range(1 + repeats):
            outcome = await self._attempt(route, node, give_up_at, attempt > 0)
            pause_s = STORM_PAUSE_S if repeats > 1 else PAUSE_S
            if outcome == "served" or loop.time() + pause_s > give_up_at:
                break
            await asyncio.sleep(pause_s)
        ended_at = loop.time()
        if outcome == "served" and ended_at - began_at > route.objective_s:
            outcome = "late"
        self.ends.append(RequestEnd(route, began_at, ended_at, outcome))

    async def _attempt(
        self, route: ModelRoute, node: int, deadline: float, returns: bool
    ) -> str:
        try:
            await self._call(route, node, deadline, returns, is_internal=False)
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
        returns: bool,
        is_internal: bool,
    ) -> None:
        async with asyncio.timeout_at(deadline):
            await asyncio.sleep(TRIP_S)

            async def run_at(target: ModelTarget) -> None:
                async def make_calls() -> None:
                    await self._make_calls(route, target, deadline)

                await target.run(route, make_calls)

            await self._control.call(
                route, node, deadline, returns, is_internal, run_at
            )

    async def _make_calls(
        self, route: ModelRoute, target: ModelTarget, deadline: float
    ) -> None:
        loop = asyncio.get_running_loop()
        node = self.targets.index(target)
        for name, times in route.calls:
            called = self._shape.find_route(name)
            for _ in range(times):
                limit = min(deadline, loop.time() + called.deadline_s)
                try:
                    await self._call(called, node, limit, False, True)
                except RefusedError as error:
                    # The run has failed: what it did is wasted.
                    raise TimeoutError from error
