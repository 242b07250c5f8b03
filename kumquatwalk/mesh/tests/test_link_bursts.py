"""Tests that replies which come in one piece are decoded one after another."""

import asyncio
import unittest

from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.codec import make_frame
from kumquatwalk.mesh.compression import PayloadCompressor
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.tests.test_link_bytes import FakeTransport
from kumquatwalk.outcome import Outcome

REPLY_BYTES = 10_000_000
REPLIES = 12
HANG_S = 30.0


class LinkBurstsTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.ids: list[int] = []
        self.lost: list[LinkProtocol] = []
        self.is_short = False
        self.link = LinkProtocol(
            lambda _: None,
            self._receive,
            self.lost.append,
            is_memory_short=lambda: self.is_short,
        )
        self.link.connection_made(FakeTransport(self.link))
        self.link.enable_compression()

    def _receive(self, _link, message) -> None:
        self.ids.append(message.call_id)

    def _make_burst(self) -> bytes:
        """Return compressed replies and a small message behind them."""
        compressor = PayloadCompressor()
        body = b"answer. " * (REPLY_BYTES // 8)
        messages = [
            ReplyFrame(n, 0, 0, Reply(Outcome.DONE, status=200, body=body))
            for n in range(REPLIES)
        ]
        payloads = [encode(m) for m in (*messages, Cancel(REPLIES))]
        return b"".join(make_frame(compressor.compress(p)) for p in payloads)

    # Guards against FAULT: one read of compressed replies was decoded at once
    # and took the process over its memory, before any of them was counted.
    async def test_large_replies_of_one_piece_come_one_at_a_time(self):
        burst = self._make_burst()
        self.assertLess(len(burst), REPLY_BYTES)
        self.link.data_received(burst)
        self.assertEqual(self.ids, [0])
        self.assertTrue(self.link.has_unread_bytes)
        async with asyncio.timeout(HANG_S):
            while len(self.ids) <= REPLIES:
                count = len(self.ids)
                await asyncio.sleep(0)
                self.assertLessEqual(len(self.ids), count + 1)
        self.assertEqual(self.ids, list(range(REPLIES + 1)))
        self.assertFalse(self.link.has_unread_bytes)
        self.assertFalse(self.link.is_paused)

    async def test_they_wait_while_memory_is_short(self):
        self.is_short = True
        self.link.data_received(self._make_burst())
        await asyncio.sleep(0.1)
        self.assertEqual(self.ids, [0])
        self.assertTrue(self.link.is_paused)
        self.is_short = False
        async with asyncio.timeout(HANG_S):
            while len(self.ids) <= REPLIES:
                await asyncio.sleep(0.01)

    # Guards against LOST: a reply that has come counts, also once its link is
    # lost.
    async def test_what_has_come_is_decoded_when_the_link_is_lost(self):
        self.link.data_received(self._make_burst())
        self.link.connection_lost(None)
        self.assertEqual(self.ids, list(range(REPLIES + 1)))
        self.assertEqual(self.lost, [self.link])


if __name__ == "__main__":
    unittest.main()
