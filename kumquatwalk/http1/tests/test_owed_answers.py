"""Tests of answers that the client has not taken yet, over loopback."""

import asyncio
import socket
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.http1.caller_connection import LINGER_S
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

# More than the buffers of both ends of a connection hold.
LARGE_BYTES = 16 * 1024 * 1024


class OwedAnswersTest(ConnectionCase):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.answers["/large"] = HttpResponse(200, body=bytes(LARGE_BYTES))

    @property
    def connection(self):
        """The only connection of the server."""
        return next(iter(self.server.connections))

    async def open_small(self, data: bytes) -> socket.socket:
        """Open a connection whose client buffers little, and send data."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.server.port))
        await loop.sock_sendall(sock, data)
        return sock

    # Guards against LOST: an end that asked for busy connections was not told
    # of what is owed on them.
    async def test_request_is_owed_from_its_first_byte_to_the_answers_last(
        self,
    ):
        self.hold("/a")
        sock = await self.open_small(make_get("/a") + b"G")
        await self.wait_for(lambda: self.server.owed_requests == 2)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, b"ET /large HTTP/1.1\r\nHost: x\r\n\r\n")
        await self.wait_for(lambda: len(self.seen) == 2)
        self.release("/a")
        await self.wait_for(lambda: self.server.owed_requests == 1)
        self.assertFalse(self.server.is_settled)
        async with asyncio.timeout(HANG_S):
            size = 0
            while size < LARGE_BYTES:
                size += len(await loop.sock_recv(sock, 1 << 20))
        await self.wait_for(lambda: self.server.owed_requests == 0)
        self.assertTrue(self.server.is_settled)

    # Guards against LOST: a connection whose client may not have read the
    # closing answer counted as idle, and the process' end reset it.
    async def test_lingering_connection_is_not_settled_until_its_end(self):
        reader, writer = await self.open(
            make_get("/a", "Connection: close\r\n")
        )
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])
        await self.wait_for(lambda: self.server.owed_requests == 0)
        self.assertFalse(self.server.is_settled)
        writer.close()
        await self.wait_for(lambda: not self.server.connections)
        self.assertTrue(self.server.is_settled)

    # Guards against LOST: the time for which a closed connection lingers began
    # with the decision, so that a slow client's answer was reset.
    async def test_slow_client_gets_the_whole_closing_answer(self):
        request = make_get("/large", "Connection: close\r\n")
        sock = await self.open_small(request)
        loop = asyncio.get_running_loop()
        await self.wait_for(lambda: self.server.connections and self.seen)
        await asyncio.sleep(1.5 * LINGER_S)
        await loop.sock_sendall(sock, make_get("/b"))
        size = 0
        async with asyncio.timeout(HANG_S):
            while data := await loop.sock_recv(sock, 1 << 18):
                size += len(data)
                await asyncio.sleep(0)
        self.assertGreater(size, LARGE_BYTES)
        self.assertEqual(self.seen, ["/large"])

    # Guards against LOST: a connection of which the client closes nothing is
    # closed a bounded time after its answer was taken, not before.
    async def test_connection_lingers_from_the_moment_the_answer_is_taken(self):
        reader, _ = await self.open(make_get("/a", "Connection: close\r\n"))
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])
        await self.wait_for(lambda: self.server.owed_requests == 0)
        connection = self.connection
        now = connection._writer.progress_at  # pylint: disable=protected-access
        # The close was decided and the answer taken shortly before.
        connection.check_timeouts(now + 0.5 * LINGER_S)
        await asyncio.sleep(0)
        self.assertTrue(self.server.connections)
        self.assertTrue(connection.is_settled(now + 1.1 * LINGER_S))
        connection.check_timeouts(now + 1.1 * LINGER_S)
        await self.wait_for(lambda: not self.server.connections)

    # Guards against LOST: answers that nobody reads were held for ever, up to
    # the memory's end.
    async def test_client_that_takes_nothing_is_aborted(self):
        await self.open_small(make_get("/large"))
        await self.wait_for(lambda: self.server.connections and self.seen)
        await asyncio.sleep(0.1)
        connection = self.connection
        now = read_now()
        idle_timeout_s = self.limits.idle_timeout_s
        connection.check_timeouts(now)
        connection.check_timeouts(now + idle_timeout_s - 1.0)
        await asyncio.sleep(0)
        self.assertEqual(self.server.owed_requests, 1)
        connection.check_timeouts(now + idle_timeout_s + 1.0)
        await self.wait_for(lambda: not self.server.connections)
        self.assertEqual(self.server.owed_requests, 0)


if __name__ == "__main__":
    unittest.main()
