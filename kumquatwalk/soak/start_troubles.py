"""Seeded troubles that a daemon meets when it is started again."""

import asyncio
import random
import socket

from kumquatwalk.address import Address
from kumquatwalk.standin.platform_node import PlatformNode

__all__ = ["StartTroubles"]

# Share of the starts that meet a trouble.
TROUBLE_RATIO = 0.4
# Range of the time that a trouble lasts, in seconds.
HOLD_S = (0.1, 1.5)


class StartTroubles:
    """Holds a port of a node, or cuts its settings file short, for a while.

    Args:
        seed: Seed of the troubles.
        store: Address of the store, for the settings.
        ratio: Share of the starts that meet a trouble.
    """

    def __init__(self, seed: int, store: Address, ratio: float = TROUBLE_RATIO):
        self._rng = random.Random(f"{seed}-starts")
        self._store = store
        self._ratio = ratio

    async def play(self, node: PlatformNode) -> None:
        """Play one trouble, or none, and return when it has passed.

        To be called just before the daemon is started; the trouble is there at
        the first turn of the coroutine.

        Args:
            node: Node whose daemon is not running.
        """
        is_met = self._rng.random() < self._ratio
        hold_s = self._rng.uniform(*HOLD_S)
        holds_port = self._rng.random() < 0.5
        addresses = self._rng.sample(
            tuple(node.listeners.values()), len(node.listeners)
        )
        if not is_met:
            return
        if holds_port:
            await _hold_a_port(addresses, hold_s)
        else:
            await self._cut_settings(node, hold_s)

    async def _cut_settings(self, node: PlatformNode, hold_s: float) -> None:
        text = node.settings.read_text(encoding="utf-8")
        node.settings.write_text(text[: len(text) // 2], encoding="utf-8")
        await asyncio.sleep(hold_s)
        node.write_settings(self._store)


async def _hold_a_port(addresses: list[Address], hold_s: float) -> None:
    """Hold the first port that can be had, by a connection opened from it.

    Those of which a connection has not passed TIME_WAIT cannot be had.
    """
    for address in addresses:
        with (
            socket.create_server((address.host, 0)) as server,
            socket.socket() as client,
        ):
            try:
                client.bind((address.host, address.port))
            except OSError:
                continue
            client.connect(server.getsockname())
            # Closed first, so that none is left in TIME_WAIT at the port.
            with server.accept()[0]:
                await asyncio.sleep(hold_s)
            return
