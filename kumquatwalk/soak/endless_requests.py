"""Requests beside a soak whose answers at the target do not end."""

import asyncio
import random

from kumquatwalk.exception import ExchangeError
from kumquatwalk.soak.records import Violation
from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.endless_answers import ENDLESS_SCRIPTS
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.platform_node import PlatformNode

__all__ = ["EndlessRequests"]

# Memory at which the platform kills a process of the fleet, in kilobytes.
MEMORY_KB_MAX = 300 * 1024
# Range of the pause between two requests, in seconds.
PAUSE_S = (0.5, 1.5)
LIMIT_MS = 2000


class EndlessRequests:
    """Sends such requests, and checks the memory of the daemons.

    Args:
        fleet: Fleet of the soak.
        seed: Seed of the requests.
        violations: Gets a violation for each process over its memory.
    """

    def __init__(
        self, fleet: PlatformFleet, seed: int, violations: list[Violation]
    ):
        self._fleet = fleet
        self._rng = random.Random(f"{seed}-endless")
        self._violations = violations
        self._exceeded: set[int] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        count = 0
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            count += 1
            name = self._rng.choice(sorted(self._fleet.nodes))
            kind = self._rng.choice(sorted(ENDLESS_SCRIPTS))
            await self._send(self._fleet.nodes[name], kind, count)
            for node in self._fleet.nodes.values():
                self._check_memory(node)

    async def _send(self, node: PlatformNode, kind: str, count: int) -> None:
        headers = (
            (b"Attempt-Id", b"endless-%d" % count),
            (b"Deadline-Ms", b"%d" % LIMIT_MS),
        )
        path = f"/look/1/{kind}".encode()
        try:
            async with asyncio.timeout(2 * LIMIT_MS / 1000):
                await exchange(
                    node.listeners["outbound"], b"GET", path, headers, b""
                )
        except (ExchangeError, TimeoutError):
            return  # the node may be stopped

    def _check_memory(self, node: PlatformNode) -> None:
        if not node.is_running or node.pid in self._exceeded:
            return
        peak_kb = node.read_peak_kb()
        if peak_kb >= MEMORY_KB_MAX:
            self._exceeded.add(node.pid)
            violation = Violation("memory", node.name, f"{peak_kb} KB")
            self._violations.append(violation)
