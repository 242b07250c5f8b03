"""Readiness of the nodes, as the platform polls it."""

import asyncio
import random

from kumquatwalk.clock import read_now
from kumquatwalk.exception import ExchangeError
from kumquatwalk.soak.platform_record import ReadinessAnswer
from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.platform_node import PlatformNode

__all__ = ["ReadinessPoll"]

POLL_S = 1.0
MISSES_MAX = 2
# Readiness decides only while at least this share of a zone's nodes is in.
SHARE_MIN = 0.5


class ReadinessPoll:
    """Polls all nodes and chooses nodes for new connections.

    Args:
        nodes: Nodes to poll.
        rng: Source of the choices.
        answers: Gets each answer; None to keep none.
    """

    def __init__(
        self,
        nodes: list[PlatformNode],
        rng: random.Random,
        answers: list[ReadinessAnswer] | None = None,
    ):
        self._answers = answers
        self._nodes = nodes
        self._rng = rng
        self._misses = {node.name: 0 for node in nodes}

    async def run(self) -> None:
        """Poll all nodes once a second, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for node in self._nodes:
                tasks.create_task(self._poll(node))

    def choose_node(self, zone: str) -> PlatformNode:
        """Return a node that new work of a zone may go to.

        Args:
            zone: Availability zone.
        """
        nodes = [node for node in self._nodes if node.zone == zone]
        ready = [node for node in nodes if self.is_in(node.name)]
        is_usual = len(ready) >= SHARE_MIN * len(nodes)
        return self._rng.choice(ready if is_usual else nodes)

    def is_in(self, name: str) -> bool:
        """Return whether fewer than two polls in a row were missed.

        Args:
            name: Name of the node.
        """
        return self._misses[name] < MISSES_MAX

    def note_answer(self, name: str, status: int) -> None:
        """Count the answer to a poll.

        Args:
            name: Name of the node.
            status: Status of the answer; 0 without one.
        """
        is_missed = status != 200
        self._misses[name] = self._misses[name] + 1 if is_missed else 0

    async def _poll(self, node: PlatformNode) -> None:
        while True:
            pid = node.pid
            status = await _ask(node)
            self.note_answer(node.name, status)
            if self._answers is not None:
                self._answers.append(
                    ReadinessAnswer(node.name, pid, read_now(), status)
                )
            await asyncio.sleep(POLL_S)


async def _ask(node: PlatformNode) -> int:
    try:
        async with asyncio.timeout(POLL_S):
            address = node.listeners["ready"]
            return (await exchange(address, b"GET", b"/ready", (), b"")).status
    except (ExchangeError, TimeoutError):
        return 0
