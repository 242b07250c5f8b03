"""Tests of the end of links whose peers take long to receive a reply."""

import asyncio
import contextlib
import socket
import unittest

from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.tests import test_link_bytes
from kumquatwalk.mesh.tests import test_link_server
from kumquatwalk.mesh.tests.test_link_server import BODY
from kumquatwalk.mesh.tests.test_link_server import TIMEOUT_S
from kumquatwalk.mesh.tests.test_link_server import make_call
from kumquatwalk.outcome import Outcome

# Time until the peer has received the reply, in seconds: a few round trips at
# 60 ms one way.
TRANSIT_S = 0.4
HOST = "127.0.0.9"
ANSWER = Reply(Outcome.DONE, status=200, body=b"answer")


class FakeTransport(test_link_bytes.FakeTransport):
    """Transport whose bytes leave when the test says so, with an end."""

    has_ended = False

    def can_write_eof(self):
        """Return True."""
        return True

    def write(self, data):
        """Add bytes that are not taken yet; none after the end."""
        assert not self.has_ended
        super().write(data)

    def write_eof(self):
        """End the stream."""
        self.has_ended = True


class SlowLinkEndTest(test_link_server.LinkServerCloseTest):

    # Guards against LOST: a reply that the kernel still held at the end was
    # not counted as owed, and a reset discarded it.
    async def test_reply_in_transit_at_the_end_is_not_lost(self):
        # The reply then waits in the server's kernel, as on a long path.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await self._send(CallFrame(1, False, make_call(b"/quick"), 0.0))
        async with asyncio.timeout(TIMEOUT_S):
            while not self.served or self.server.calls_in_progress > 1:
                await asyncio.sleep(0.01)
        # Long enough for the kernel to have taken all from the transport.
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.calls_in_progress, 1, "nobody owes it")
        close = asyncio.create_task(self.server.close())
        with contextlib.suppress(ConnectionError):
            for _ in range(round(TRANSIT_S / 0.02)):
                await asyncio.sleep(0.02)
                await self._send(TargetStatus())
        replies = {}
        with contextlib.suppress(ConnectionError):
            replies = await self._read_replies()
        await close
        self.assertEqual(set(replies), {1}, "the reply was discarded")
        self.assertEqual(replies[1].body, BODY)

    # Guards against LOST: the process was killed while it waited for a peer
    # that took nothing.
    async def test_close_ends_though_a_peer_takes_nothing(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await self._send(CallFrame(1, False, make_call(b"/quick"), 0.0))
        async with asyncio.timeout(TIMEOUT_S):
            while not self.served:
                await asyncio.sleep(0.01)
            await self.server.close(0.2)

    # Guards against LOST: a message after the end of the stream raised an error
    # in the task that wrote it.
    async def test_message_after_the_end_is_dropped(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await self._send(CallFrame(1, False, make_call(b"/quick"), 0.0))
        async with asyncio.timeout(TIMEOUT_S):
            while not self.served:
                await asyncio.sleep(0.01)
        close = asyncio.create_task(self.server.close())
        await asyncio.sleep(0.02)
        self.server.broadcast(TargetStatus())
        replies = await self._read_replies()
        await close
        self.assertEqual(replies[1].body, BODY)


class UntakenReplyTest(unittest.TestCase):

    def setUp(self):
        self.link = LinkProtocol(_ignore, _ignore, _ignore)
        self.transport = FakeTransport(self.link)
        self.link.connection_made(self.transport)

    # Guards against LOST: a stop was held up by a peer that was owed nothing,
    # and the time to answer others was lost.
    def test_status_that_is_not_taken_is_not_owed(self):
        self.link.send(TargetStatus())
        self.assertGreater(self.transport.unsent, 0)
        self.assertFalse(self.link.has_untaken_reply)

    # Guards against LOST: a reply counted as taken before its last byte was.
    def test_reply_is_owed_until_its_last_byte_is_taken(self):
        self.link.send(TargetStatus())
        self.link.send_reply(ReplyFrame(1, 0, 0, ANSWER))
        size = self.transport.unsent
        self.link.send(TargetStatus())
        self.assertTrue(self.link.has_untaken_reply)
        self.transport.drain(size - 1)
        self.assertTrue(self.link.has_untaken_reply)
        self.transport.drain(1)
        self.assertGreater(self.transport.unsent, 0)
        self.assertFalse(self.link.has_untaken_reply)
        self.link.send_reply(ReplyFrame(2, 0, 0, ANSWER))
        self.assertTrue(self.link.has_untaken_reply)
        self.transport.abort()
        self.assertFalse(self.link.has_untaken_reply)

    # Guards against LOST: a reply that waits for the end of a partition counted
    # as taken, and the end of the stream was written before it.
    def test_reply_held_by_a_partition_is_owed_and_precedes_the_end(self):
        partition = Partition()
        self.link.attach_partition(partition, HOST)
        partition.set_prefixes((HOST,))
        self.link.send_reply(ReplyFrame(1, 0, 0, ANSWER))
        self.assertEqual(self.transport.unsent, 0)
        self.assertTrue(self.link.has_untaken_reply)
        self.link.close_sending()
        self.assertFalse(self.transport.has_ended)
        partition.set_prefixes(())
        self.assertGreater(self.transport.unsent, 0)
        self.assertTrue(self.transport.has_ended)


def _ignore(*_args) -> None:
    pass


del test_link_server, test_link_bytes


if __name__ == "__main__":
    unittest.main()
