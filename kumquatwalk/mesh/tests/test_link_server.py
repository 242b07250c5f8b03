"""Tests of the server end of links."""

import asyncio
import dataclasses
import gc
import socket
import struct
import unittest

from kumquatwalk.address import Address
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.mesh.codec import FRAME_BYTES_MAX
from kumquatwalk.mesh.codec import FrameReader
from kumquatwalk.mesh.codec import decode
from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.codec import make_frame
from kumquatwalk.mesh.link_server import LinkServer
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import OwnerQuery
from kumquatwalk.mesh.message import OwnerQueryFrame
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.outcome import Outcome

BODY = b"answer" * 20_000
TIMEOUT_S = 10.0
HELLO = Hello("peer", 1, "z1", "web", "127.0.0.1", 1, 0.0)


def make_call(url: bytes) -> Call:
    """Return a call whose URL tells how long it takes."""
    return Call(
        key=0,
        attempt_id=b"id",
        route="web",
        service="web",
        caller_service="web",
        is_idempotent=True,
        is_returning=False,
        rank=0,
        deadline=1e9,
        start_by=1e9,
        method=b"GET",
        url=url,
        headers=(),
        body=b"",
    )


class LinkServerCloseTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.served = []
        self.server = LinkServer(
            Address("127.0.0.1", 0),
            lambda _: HELLO,
            self._serve_call,
            lambda _: None,
            self._serve_query,
            TargetStatus,
            lambda: (0, 0),
            lambda: None,
            lambda: (),
            lambda _: None,
            Partition(),
            ByteBudget(1 << 20),
        )
        await self.server.start()
        self.sock = socket.socket()
        self.addCleanup(self.sock.close)
        self.sock.setblocking(False)
        self.loop = asyncio.get_running_loop()
        address = ("127.0.0.1", self.server.port)
        await self.loop.sock_connect(self.sock, address)
        await self._send(HELLO)

    async def _serve_call(self, call: Call, _is_resent: bool) -> Reply:
        self.served.append(call.url)
        if call.url == b"/never":
            await asyncio.Event().wait()
        return Reply(Outcome.DONE, "", 200, body=BODY)

    async def _serve_query(self, query) -> Reply:
        self.served.append(query.url)
        return await asyncio.Event().wait()

    async def _send(self, message) -> None:
        frame = make_frame(encode(message))
        await self.loop.sock_sendall(self.sock, frame)

    async def _read_replies(self) -> dict[int, Reply]:
        """Return the replies until the server closes the link."""
        reader = FrameReader()
        replies = {}
        async with asyncio.timeout(TIMEOUT_S):
            while data := await self.loop.sock_recv(self.sock, 65536):
                for payload in reader.feed(data):
                    message = decode(payload)
                    if isinstance(message, ReplyFrame):
                        replies[message.call_id] = message.reply
        return replies

    # Guards against FAULT: connections that never said whose they are could
    # each hold a frame of 72 MB.
    async def test_large_frame_before_the_handshake_ends_the_connection(self):
        address = ("127.0.0.1", self.server.port)
        with socket.socket() as sock:
            sock.setblocking(False)
            await self.loop.sock_connect(sock, address)
            size = FRAME_BYTES_MAX - 1
            await self.loop.sock_sendall(sock, size.to_bytes(4, "big"))
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual(await self._read_end(sock), b"")

    async def _read_end(self, sock) -> bytes:
        try:
            return await self.loop.sock_recv(sock, 1)
        except ConnectionResetError:
            return b""

    async def test_reply_written_just_before_the_end_is_not_lost(self):
        # Guards against LOST: a link was reset with a reply on its way.
        await self._send(CallFrame(1, False, make_call(b"/quick"), 0.0))
        async with asyncio.timeout(TIMEOUT_S):
            while not self.served:
                await asyncio.sleep(0.01)
        close = asyncio.create_task(self.server.close())
        # The server has bytes that it does not read before it closes.
        await self._send(CallFrame(2, False, make_call(b"/quick"), 0.0))
        replies = await self._read_replies()
        await close
        self.assertEqual(set(replies), {1})
        self.assertEqual(replies[1].body, BODY)
        self.assertEqual(len(self.served), 1)

    async def test_call_in_progress_at_the_end_is_answered_as_unknown(self):
        # Guards against LOST: callers waited for replies that never came.
        await self._send(CallFrame(1, False, make_call(b"/never"), 0.0))
        query = OwnerQuery("ticket", "", 1e9, b"POST", b"/never", (), b"")
        await self._send(OwnerQueryFrame(2, query))
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.served) < 2:
                await asyncio.sleep(0.01)
        close = asyncio.create_task(self.server.close())
        replies = await self._read_replies()
        await close
        self.assertIs(replies[1].outcome, Outcome.UNKNOWN)
        self.assertIs(replies[2].outcome, Outcome.UNKNOWN)

    # Guards against memory that grows with each call that its peer cancels
    # before it has begun: both messages are read at once.
    async def test_call_that_is_cancelled_at_once_is_forgotten(self):
        call = make_call(b"/forgotten")
        call = dataclasses.replace(call, is_hedgeable=True)
        frames = [CallFrame(1, False, call, 0.0), Cancel(1)]
        data = b"".join(bytes(make_frame(encode(f))) for f in frames)
        await self.loop.sock_sendall(self.sock, data)
        await self._send(CallFrame(2, False, make_call(b"/next"), 0.0))
        async with asyncio.timeout(TIMEOUT_S):
            while b"/next" not in self.served:
                await asyncio.sleep(0.01)
        del call, frames
        gc.collect()
        kept = [c for c in gc.get_objects() if isinstance(c, Call)]
        self.assertEqual([c for c in kept if c.url == b"/forgotten"], [])

    async def test_link_that_was_reset_does_not_end_the_close(self):
        # Guards against LOST: the close failed at a link that its peer had
        # reset, and the process ended before others had their replies.
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        await self.loop.sock_sendall(sock, make_frame(encode(HELLO)))
        self.assertTrue(await self.loop.sock_recv(sock, 1000))
        sock.close()
        await self.server.close()

    async def test_close_ends_though_a_peer_keeps_its_end_open(self):
        close = asyncio.create_task(self.server.close())
        async with asyncio.timeout(TIMEOUT_S):
            await close


if __name__ == "__main__":
    unittest.main()
