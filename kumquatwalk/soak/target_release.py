"""Planned replacement of a target during a soak."""

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine

from kumquatwalk.clock import read_now
from kumquatwalk.soak.platform_record import Departure
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.platform_node import PlatformNode

__all__ = ["TargetRelease"]

# Range of the time for which a target that leaves still runs, in seconds.
LEAVE_S = (2.5, 8.0)
# Attempts to have a departure acknowledged, and the pause between them.
DEPARTURE_TRIES = 4
DEPARTURE_PAUSE_S = 0.5
# Probability that the node beside a target that leaves is ended.
END_RATIO = 0.7
# Late heartbeats of a target that leaves: largest number, and range of their
# delays in seconds.
LATE_HEARTBEATS_MAX = 3
LATE_S = (0.5, 4.0)


class TargetRelease:
    """Lets targets leave as planned and starts others in their places.

    Args:
        fleet: Fleet of the targets.
        rng: Source of all choices.
        departures: Gets each departure that is acknowledged.
        end_node: Coroutine function that ends the node beside the target soon
            after the acknowledgement.
        start_task: Runs a coroutine beside the others of the soak.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        rng: random.Random,
        departures: list[Departure],
        end_node: Callable[[PlatformNode], Awaitable[None]],
        start_task: Callable[[Coroutine], None],
    ):
        self._fleet = fleet
        self._rng = rng
        self._departures = departures
        self._end_node = end_node
        self._start_task = start_task

    async def replace(self, node: PlatformNode) -> None:
        """Replace a target; does nothing if it is not ready.

        Heartbeats from before the departure come late, more than once and in
        any order.

        Args:
            node: Node beside the target.
        """
        if node.state != "ready" or not node.target.is_running:
            return
        rng = self._rng
        target_id = node.target.target_id
        late = [
            node.make_heartbeat()
            for _ in range(rng.randint(0, LATE_HEARTBEATS_MAX))
        ]
        node.state = rng.choice(("draining", "gone"))
        node.target.is_healthy = False
        acked_at = await self._say_that_it_leaves(node, target_id)
        if acked_at is not None:
            self._departures.append(Departure(node.name, target_id, acked_at))
            if rng.random() < END_RATIO:
                self._start_task(self._end_node(node))
        for heartbeat in late:
            for _ in range(rng.randint(1, 2)):
                self._start_task(self._report_late(node, target_id, heartbeat))
        await asyncio.sleep(rng.uniform(*LEAVE_S))
        if node.target.target_id == target_id:
            node.target.crash()
            await self._fleet.restart_target(node)

    async def _say_that_it_leaves(
        self, node: PlatformNode, target_id: str
    ) -> float | None:
        """Return when a departure was acknowledged; None if it was not."""
        for _ in range(DEPARTURE_TRIES):
            is_gone = node.state == "gone"
            heartbeat = None if is_gone else node.make_heartbeat()
            if await self._fleet.report(node, target_id, heartbeat) == 200:
                return read_now()
            await asyncio.sleep(DEPARTURE_PAUSE_S)
        return None

    async def _report_late(
        self, node: PlatformNode, target_id: str, heartbeat: dict
    ) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_S))
        await self._fleet.report(node, target_id, heartbeat)
