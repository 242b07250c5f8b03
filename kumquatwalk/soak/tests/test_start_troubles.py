"""Tests of the troubles that a soak plays when a daemon starts again."""

import asyncio
import pathlib
import socket
import tempfile
import unittest

from kumquatwalk.address import Address
from kumquatwalk.soak.start_troubles import StartTroubles
from kumquatwalk.standin.platform_node import PlatformNode

HOST = "127.0.0.1"
STORE = Address(HOST, 9)
LISTENERS = ("inbound", "outbound", "ready", "control", "metrics", "proxied")
STARTS = 8


def find_held(node: PlatformNode) -> list[str]:
    """Return the listeners of which the port cannot be had."""
    held = []
    for name, address in node.listeners.items():
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((address.host, address.port))
            except OSError:
                held.append(name)
    return held


class StartTroubleTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name, "n1.toml")
        sockets = [socket.create_server((HOST, 0)) for _ in LISTENERS]
        listeners = {
            name: Address(HOST, sock.getsockname()[1])
            for name, sock in zip(LISTENERS, sockets)
        }
        for sock in sockets:
            sock.close()
        self.node = PlatformNode(
            "n1", "look", "z1", None, listeners, path, Address(HOST, 9)
        )
        self.node.write_settings(STORE)

    async def _play(self, troubles: StartTroubles) -> tuple[bool, bool]:
        """Play one trouble; return whether a port was held, or settings cut."""
        whole = self.node.settings.read_text(encoding="utf-8")
        task = asyncio.create_task(troubles.play(self.node))
        await asyncio.sleep(0)
        held = find_held(self.node)
        is_cut = self.node.settings.read_text(encoding="utf-8") != whole
        await task
        self.assertEqual(find_held(self.node), [])
        text = self.node.settings.read_text(encoding="utf-8")
        self.assertEqual(text, whole)
        return bool(held), is_cut

    # Guards against FAULT that no soak could show: a start that met a port in
    # use, or settings that were not whole yet.
    async def test_each_start_meets_one_trouble_that_passes(self):
        troubles = StartTroubles(1, STORE, 1.0)
        seen = [await self._play(troubles) for _ in range(STARTS)]
        self.assertEqual(set(seen), {(True, False), (False, True)})

    async def test_same_seed_plays_the_same(self):
        plays = []
        for _ in range(2):
            troubles = StartTroubles(2, STORE)
            plays.append([await self._play(troubles) for _ in range(STARTS)])
        self.assertEqual(plays[0], plays[1])


if __name__ == "__main__":
    unittest.main()
