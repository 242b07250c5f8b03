"""Tests that a pause of the own process is not taken for the target's."""

import asyncio
import contextlib
import time
import unittest

from kumquatwalk.address import Address
from kumquatwalk.exception import ExchangeError
from kumquatwalk.targets.client import CONNECT_TIMEOUT_S
from kumquatwalk.targets.client import LISTENING_TIMEOUT_S
from kumquatwalk.targets.client import TargetClient


async def answer(reader, writer):
    """Answer one request."""
    with contextlib.suppress(EOFError, ConnectionError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await reader.read()


class OwnPauseTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = TargetClient(Address("127.0.0.1", port))

    async def pause(self, task, pause_s):
        """Block the event loop while the connection is made; await a task."""
        for _ in range(3):
            await asyncio.sleep(0)
        time.sleep(pause_s)
        return await task

    # Guards against a request that counts as one that crashes targets, as its
    # node was not scheduled.
    async def test_target_that_listens_is_seen_after_a_pause(self):
        task = asyncio.create_task(self.client.is_listening())
        self.assertTrue(await self.pause(task, LISTENING_TIMEOUT_S + 0.05))

    # Guards against queued calls that are all refused, as their node was not
    # scheduled.
    async def test_target_is_reached_after_a_pause(self):
        task = asyncio.create_task(
            self.client.exchange(
                b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                False,
                True,
                lambda _: True,
            )
        )
        try:
            response = await self.pause(task, CONNECT_TIMEOUT_S + 0.05)
        except ExchangeError as error:
            self.fail(f"{error.code}, sent: {error.sent}")
        self.assertEqual(response.status, 200)


if __name__ == "__main__":
    unittest.main()
