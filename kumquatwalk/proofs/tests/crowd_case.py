"""Base of the proofs with a crowd of clients that do not keep to the rules."""

import asyncio
import contextlib
import json
import os
import pathlib
import socket
import tempfile
import unittest

from kumquatwalk.exception import ExchangeError
from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.platform_fleet import PlatformFleet

__all__ = ["CrowdCase"]

# Time for which a client of the crowd goes on, in seconds.
CROWD_S = 8.0
# Time in which an ordinary request is answered: the caller's own time-out.
ANSWER_S = 30.0
POLL_S = 0.02
# Receive buffer of a client that reads slowly, in bytes.
SMALL_BUFFER_BYTES = 4096
# The crowd's heads and bodies are held for the whole of a test.
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67_108_864,
    "headerTimeoutS": 60,
    "idleTimeoutS": 60,
}


class CrowdFleet(PlatformFleet):
    """One daemon, with the limits of these proofs."""

    def _make_config(self, version: int) -> bytes:
        document = json.loads(super()._make_config(version))
        document["limits"] = LIMITS
        return json.dumps(document).encode()


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Starts one daemon and lets a crowd of clients at it.

    Attributes:
        memory_mb: Memory of the process, which its peak must not reach.
        fds_max: Descriptors of the process, which it must not exceed.
        fleet: Fleet of one daemon; closed after the test.
        node: Its node.
        fds_seen: Largest number of open descriptors seen.
        measured: What was measured; empty before the end of the check.
    """

    memory_mb = 128
    fds_max = 4096

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="kumquatwalk-")
        self.addCleanup(folder.cleanup)
        self.fleet = CrowdFleet(pathlib.Path(folder.name))
        self.fleet.memory_mb = self.memory_mb
        self.fleet.fds_max = self.fds_max
        self.fleet.probes = (b"/look/0/1",)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(1)
        self.node = self.fleet.nodes["n1"]
        self.fds_seen = 0
        self.measured = ""

    async def open_client(self, data: bytes, reads_slowly: bool) -> None:
        """Send bytes on a connection that stays open; suppress its end."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        if reads_slowly:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        listener = self.node.listeners["outbound"]
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CROWD_S):
                await loop.sock_connect(sock, (listener.host, listener.port))
                await loop.sock_sendall(sock, data)
                while reads_slowly and await loop.sock_recv(sock, 1000):
                    await asyncio.sleep(0.25)

    async def watch_descriptors(self) -> None:
        """Note the largest number of open descriptors; ends by a cancel."""
        folder = f"/proc/{self.node.pid}/fd"
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(folder))
                self.fds_seen = max(self.fds_seen, count)
            await asyncio.sleep(POLL_S)

    async def ask(self) -> bool:
        """Return whether an ordinary request is answered, with its retries."""
        headers = (
            (b"Attempt-Id", os.urandom(8).hex().encode()),
            (b"Deadline-Ms", b"%d" % (ANSWER_S * 1000)),
        )
        listener = self.node.listeners["outbound"]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                while self.node.is_running:
                    with contextlib.suppress(ExchangeError):
                        answer = await exchange(
                            listener, b"GET", b"/look/0/9", headers, b""
                        )
                        if answer.status == 200:
                            return True
                    await asyncio.sleep(0.1)
        return False

    async def check(
        self, data: bytes, count: int, reads_slowly: bool = False
    ) -> None:
        """Check the process during and after a crowd of clients.

        Args:
            data: What each client sends.
            count: Number of clients.
            reads_slowly: Whether they read what comes, a little at a time.
        """
        watch = asyncio.create_task(self.watch_descriptors())
        clients = (self.open_client(data, reads_slowly) for _ in range(count))
        await asyncio.gather(*clients)
        is_answered = await self.ask()
        watch.cancel()
        peak_kb = self.node.read_peak_kb()
        state = (
            f"answered {is_answered}, peak {peak_kb} KB, {self.fds_seen} fds"
        )
        self.measured = state
        self.assertTrue(self.node.is_running, state)
        self.assertLess(peak_kb, self.memory_mb * 1024, state)
        self.assertLessEqual(self.fds_seen, self.fds_max, state)
        self.assertTrue(is_answered, state)
