"""Tests of how a caller's use of a connection ends."""

import asyncio
import random
import socket
import struct
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.connection_use import ConnectionUse

HANG_GUARD_S = 20.0
LIMIT_S = 0.3
# With this linger time of zero seconds, a close resets the connection.
_RESETS = struct.pack("ii", 1, 0)
# Reads late, so that the limit passes between two reads.
_HABIT = Habit("slow", requests_max=2, depth_max=2, read_pause_s=60.0)


class _LongPauses(random.Random):

    def uniform(self, a, b):
        """Return the longest pause between reads; no other pause."""
        return 1.0 if b == _HABIT.read_pause_s else a


class ConnectionUseTest(unittest.IsolatedAsyncioTestCase):

    async def use(self, size: int, resets: bool) -> list[str]:
        """Return the errors of requests whose first answer stays in part.

        Args:
            size: Bytes of the first answer that the node writes.
            resets: Whether it resets the connection then.
        """
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        node, _ = listener.accept()
        self.addCleanup(node.close)
        node.setblocking(False)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n"
        attempts = []

        def make(position: int, is_behind: bool) -> tuple[Attempt, bytes]:
            common = (f"a{position}", "slow", True, "n1", 7, 1, position)
            attempt = Attempt(*common, is_behind, 10, read_now())
            attempt.limit_s = LIMIT_S
            attempts.append(attempt)
            return attempt, b"GET / HTTP/1.1\r\n\r\n"

        use = ConnectionUse(_HABIT, _LongPauses(1), reader, writer, make, 0.1)
        async with asyncio.timeout(HANG_GUARD_S):
            task = asyncio.create_task(use.run())
            while len(attempts) < 2:
                await asyncio.sleep(0.01)
            data = head + bytes(size)
            await asyncio.get_running_loop().sock_sendall(node, data)
            if resets:
                node.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESETS)
                node.close()
            await task
        return [attempt.error for attempt in attempts]

    async def test_close_at_the_limit_is_the_callers(self):
        for size in (1000, 400_000):
            errors = await self.use(size, resets=False)
            self.assertEqual(errors, ["limit"] * 2, size)

    # Guards against a node's reset that is taken for the caller's own close, as
    # the caller has yet to read what came before it.
    async def test_reset_by_the_node_is_not_the_callers_close(self):
        for size in (1000, 400_000):
            errors = await self.use(size, resets=True)
            self.assertNotIn("limit", errors, size)


if __name__ == "__main__":
    unittest.main()
