"""Tests that requests read in part stay within the memory, on all listeners."""

import asyncio
import contextlib
import os
import pathlib
import socket
import tempfile
import unittest

from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.platform_fleet import PlatformFleet

# Settings of the fleet: the platform kills a process above it.
MEMORY_KB_MAX = 300 * 1024
LISTENERS = ("control", "ready", "metrics", "outbound")
CONNECTIONS = 50
BODY_BYTES = 7_900_000
HEAD_CONNECTIONS = 400
SEND_S = 4.0


class ListenerMemoryTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="kumquatwalk-")
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(pathlib.Path(folder.name))
        self.fleet.probes = (b"/look/0/1",)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(1)
        self.node = self.fleet.nodes["n1"]

    def read_peak_kb(self) -> int:
        """Return the largest resident size of the daemon, in kilobytes."""
        status = pathlib.Path(f"/proc/{self.node.pid}/status")
        for line in status.read_text(encoding="ascii").splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        raise ValueError("no VmHWM")

    async def send(self, name: str, data: bytes) -> None:
        """Send bytes on a new connection, which stays open."""
        listener = self.node.listeners[name]
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                await loop.sock_connect(sock, (listener.host, listener.port))
                await loop.sock_sendall(sock, data)

    async def check(self, name: str, data: bytes, count: int) -> None:
        """Check the memory and that the node serves and takes heartbeats."""
        await asyncio.gather(*(self.send(name, data) for _ in range(count)))
        self.assertTrue(self.node.is_running)
        self.assertLess(self.read_peak_kb(), MEMORY_KB_MAX)
        document = self.node.make_heartbeat()
        target_id = self.node.target.target_id
        status = await self.fleet.report(self.node, target_id, document)
        self.assertEqual(status, 200)
        headers = (
            (b"Attempt-Id", os.urandom(8).hex().encode()),
            (b"Deadline-Ms", b"3000"),
        )
        listener = self.node.listeners["outbound"]
        answer = await exchange(listener, b"GET", b"/look/0/9", headers, b"")
        self.assertEqual(answer.status, 200)

    # Guards against FAULT: a process over its memory is killed, here by bodies
    # on listeners that counted none.
    async def test_unfinished_bodies_stay_within_the_memory(self):
        head = b"PUT /instances/i-x HTTP/1.1\r\nHost: shop.example\r\n"
        length = b"Content-Length: 8000000\r\n\r\n"
        for name in LISTENERS:
            with self.subTest(name):
                data = head + length + bytes(BODY_BYTES)
                await self.check(name, data, CONNECTIONS)

    async def test_unfinished_heads_stay_within_the_memory(self):
        head = b"GET /look/0/1 HTTP/1.1\r\nHost: shop.example\r\n"
        heads = {
            "short lines": head + b"a: b\r\n" * 190,
            "long lines": head + (b"X: " + b"y" * 3000 + b"\r\n") * 5,
            "a line without end": head + b"X: " + b"y" * 15000,
        }
        for kind, data in heads.items():
            with self.subTest(kind):
                await self.check("outbound", data, HEAD_CONNECTIONS)

    # Guards against FAULT: the same by bodies of the size that is taken.
    async def test_bodies_below_the_limit_leave_room_for_others(self):
        head = b"PUT /instances/i-x HTTP/1.1\r\nHost: shop.example\r\n"
        length = b"Content-Length: 65536\r\n\r\n"
        for name in ("ready", "metrics"):
            with self.subTest(name):
                data = head + length + bytes(65_000)
                await self.check(name, data, HEAD_CONNECTIONS)


if __name__ == "__main__":
    unittest.main()
