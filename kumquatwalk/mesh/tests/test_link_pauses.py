"""Tests that links read large replies only slowly while memory is short."""

import asyncio
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.http1.sockets import USER_TIMEOUT_MS
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.peer_link import RECEIVE_TIMEOUT_S
from kumquatwalk.outcome import Outcome

# More than the kernel's buffers of both ends hold.
REPLY_BYTES = 30_000_000
# Longer than both time-outs that would take a link for dead, in seconds.
SHORT_S = USER_TIMEOUT_MS / 1000 + RECEIVE_TIMEOUT_S
HANG_S = 30.0


class LinkPausesTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.is_short = True
        self.received = []
        self.lost = []
        accepted = asyncio.get_running_loop().create_future()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: LinkProtocol(
                accepted.set_result, self._receive, self.lost.append
            ),
            "127.0.0.1",
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        _, self.reader = await loop.create_connection(
            lambda: LinkProtocol(
                lambda _: None,
                self._receive,
                self.lost.append,
                is_memory_short=lambda: self.is_short,
            ),
            "127.0.0.1",
            port,
        )
        self.sender = await accepted
        self.addCleanup(self.sender.abort)
        self.addCleanup(self.reader.abort)

    def _receive(self, _link, message) -> None:
        self.received.append(message)

    async def _wait_for_messages(self, count: int) -> None:
        async with asyncio.timeout(HANG_S):
            while len(self.received) < count:
                await asyncio.sleep(0.01)

    # Guards against LOST: replies came in without a limit and took the process
    # over its memory; and against a link that its pauses make look dead.
    async def test_large_reply_waits_at_its_sender_and_arrives(self):
        reply = Reply(Outcome.DONE, status=200, body=bytes(REPLY_BYTES))
        self.sender.send_reply(ReplyFrame(1, 0, 0, reply))
        ends_at = read_now() + SHORT_S
        while read_now() < ends_at:
            await asyncio.sleep(0.05)
            silent_s = read_now() - self.reader.last_received_at
            self.assertLess(silent_s, RECEIVE_TIMEOUT_S)
        self.assertTrue(self.sender.has_untaken_reply)
        self.assertTrue(self.reader.is_paused)
        self.assertEqual(self.received, [])
        self.is_short = False
        await self._wait_for_messages(1)
        self.assertEqual(len(self.received[0].reply.body), REPLY_BYTES)
        self.assertFalse(self.reader.is_paused)
        self.assertEqual(self.lost, [])

    # Guards against a node that hears nothing of its peers while a few callers
    # read slowly.
    async def test_small_messages_are_read_while_memory_is_short(self):
        for number in range(100):
            self.sender.send(Cancel(number))
            await self._wait_for_messages(number + 1)
            self.assertFalse(self.reader.is_paused)


if __name__ == "__main__":
    unittest.main()
