"""Tests that answers of targets which do not end stay within the memory."""

import asyncio
import os
import pathlib
import tempfile
import unittest

from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.endless_answers import ENDLESS_SCRIPTS
from kumquatwalk.standin.platform_fleet import PlatformFleet

# Settings of the fleet: the platform kills a process above it.
MEMORY_KB_MAX = 300 * 1024
LIMIT_MS = 2500
REQUESTS = 30


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="kumquatwalk-")
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(pathlib.Path(folder.name))
        self.fleet.probes = (b"/look/0/1",)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(1)
        self.node = self.fleet.nodes["n1"]

    async def send(self, path: bytes) -> HttpResponse:
        """Return the answer to a request on a new connection.

        Args:
            path: Path of the request.
        """
        headers = (
            (b"Attempt-Id", os.urandom(8).hex().encode()),
            (b"Deadline-Ms", b"%d" % LIMIT_MS),
        )
        listener = self.node.listeners["outbound"]
        return await exchange(listener, b"GET", path, headers, b"")

    def read_peak_kb(self) -> int:
        """Return the largest resident size of the daemon, in kilobytes."""
        status = pathlib.Path(f"/proc/{self.node.pid}/status")
        for line in status.read_text(encoding="ascii").splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        raise ValueError("no VmHWM")

    def reset_peak(self) -> None:
        """Make the present resident size of the daemon its largest one."""
        path = pathlib.Path(f"/proc/{self.node.pid}/clear_refs")
        path.write_text("5", encoding="ascii")

    async def get_statuses(self, name: str, count: int) -> set[int]:
        """Return the statuses of the answers to requests sent at once.

        The test ends as soon as the daemon takes too much memory.
        """
        sends = asyncio.gather(
            *(self.send(f"/look/1/{name}".encode()) for _ in range(count))
        )
        while not sends.done():
            await asyncio.wait([sends], timeout=0.02)
            peak_kb = self.read_peak_kb()
            if peak_kb >= MEMORY_KB_MAX:
                sends.cancel()
                self.node.process.kill()
                self.node.process.wait()
                self.fail(f"peak: {peak_kb} KB")
        return {answer.status for answer in sends.result()}

    async def check(self, count: int) -> None:
        """Check each kind of answer without end, as many times at once."""
        for name in ENDLESS_SCRIPTS:
            with self.subTest(name, count=count):
                self.assertTrue(self.node.is_running)
                self.reset_peak()
                statuses = await self.get_statuses(name, count)
                self.assertLessEqual(statuses, {502, 504})
                self.assertEqual((await self.send(b"/look/0/9")).status, 200)

    # Guards against FAULT: a process over its memory is killed, here by one
    # answer with trailers or chunks without end.
    async def test_one_answer_without_end_stays_within_the_memory(self):
        await self.check(1)

    # Guards against FAULT: the same by many answers at once.
    async def test_many_answers_without_end_stay_within_the_memory(self):
        await self.check(REQUESTS)


if __name__ == "__main__":
    unittest.main()
