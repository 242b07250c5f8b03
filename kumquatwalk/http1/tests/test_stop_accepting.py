"""Tests of callers' connections after the server stops to accept requests."""

import asyncio
import socket
import struct
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

_REFUSAL = [(503, True, b"stopping\n")]


class StopAcceptingTest(ConnectionCase):

    # Guards against LOST: a new connection that was silent at the stop was left
    # open, and its first request was passed on while the process ended.
    async def test_late_first_request_is_refused(self):
        reader, writer = await self.open()
        await self.wait_for(lambda: self.server.connections)
        self.server.stop_accepting()
        writer.write(make_get("/a"))
        self.assertEqual(await self.read_all(reader), _REFUSAL)
        self.assertEqual(self.seen, [])

    # Guards against LOST: a request that had waited in the accept queue, as the
    # process was not scheduled, was reset by the stop.
    async def test_request_in_the_accept_queue_is_refused(self):
        # Opened without a turn of the event loop, so that it is not accepted.
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.sendall(make_get("/a"))
        self.server.stop_accepting()
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.close)
        self.assertEqual(await self.read_all(reader), _REFUSAL)
        self.assertEqual(self.seen, [])

    async def leave_unread(self) -> socket.socket:
        """Return a kept connection on which a request waits unread."""
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.sendall(make_get("/idle"))
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, sock.recv, 1000)
        await self.wait_for(lambda: not self.server.owed_requests)
        # Without a turn of the event loop, which would read it.
        sock.sendall(make_get("/a"))
        return sock

    # Guards against LOST: a request that waited unread on a kept connection, as
    # the process was not scheduled, was discarded by the stop.
    async def test_unread_request_on_a_kept_connection_is_refused(self):
        sock = await self.leave_unread()
        self.server.stop_accepting()
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.close)
        self.assertEqual(await self.read_all(reader), _REFUSAL)
        self.assertEqual(self.seen, ["/idle"])

    # Guards against LOST: the same where the connection became idle only after
    # the stop began.
    async def test_unread_request_outlasts_a_check(self):
        sock = await self.leave_unread()
        self.server.is_accepting = False
        for connection in tuple(self.server.connections):
            connection.check_timeouts(read_now())
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.close)
        self.assertEqual(await self.read_all(reader), _REFUSAL)
        self.assertEqual(self.seen, ["/idle"])

    # Guards against LOST: nobody closed a new connection that stayed silent.
    async def test_silent_new_connection_is_closed(self):
        reader, _ = await self.open()
        await self.wait_for(lambda: self.server.connections)
        self.server.stop_accepting()
        self.assertEqual(await self.read_all(reader), [])

    # Guards against LOST: a connection that was busy at the stop and became
    # idle later was left open.
    async def test_idle_connection_is_closed_at_once(self):
        reader, _ = await self.open(make_get("/a"))
        async with asyncio.timeout(HANG_S):
            await reader.readuntil(b"/a")
        self.server.stop_accepting()
        self.assertEqual(await self.read_all(reader), [])

    # Guards against LOST: the stop failed at a connection that its client had
    # reset, and the process ended with all other requests in progress.
    async def test_connection_reset_at_the_stop_does_not_end_it(self):
        self.hold("/a")
        reader, _ = await self.open(make_get("/a"))
        resets = [socket.socket() for _ in range(3)]
        loop = asyncio.get_running_loop()
        for sock in resets:
            sock.setblocking(False)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await loop.sock_connect(sock, ("127.0.0.1", self.server.port))
            await loop.sock_sendall(sock, make_get("/b"))
            self.assertIn(b"/b", await loop.sock_recv(sock, 1000))
        # The event loop of the server reads of the resets after the stop.
        for sock in resets:
            sock.close()
        self.server.stop_accepting()
        self.release("/a")
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])

    # Guards against LOST: a request behind large answers that its client reads
    # slowly was passed on, and its answer was cut off at the end of the stop.
    async def test_request_behind_untaken_answers_is_refused_at_a_stop(self):
        large = bytes(1024 * 1024)
        self.answers["/large"] = HttpResponse(200, body=large)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setblocking(False)
        address = ("127.0.0.1", self.server.port)
        await asyncio.get_running_loop().sock_connect(sock, address)
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.close)
        writer.transport.pause_reading()
        writer.write(make_get("/large"))
        await self.wait_for(lambda: self.seen)
        await asyncio.sleep(0)
        self.server.is_stopping = True
        connection = next(iter(self.server.connections))
        # Passed in by hand, as reading may pause.
        connection.data_received(make_get("/b"))
        writer.transport.resume_reading()
        self.assertEqual(
            await self.read_all(reader), [(200, False, large), *_REFUSAL]
        )
        self.assertEqual(self.seen, ["/large"])

    # Guards against LOST: a request that begins after the stop was passed on
    # behind others.
    async def test_late_request_behind_others_is_left_unanswered(self):
        self.hold("/a")
        reader, writer = await self.open(make_get("/a"))
        await self.wait_for(lambda: self.seen)
        self.server.stop_accepting()
        writer.write(make_get("/b"))
        connection = next(iter(self.server.connections))
        # Passed in by hand, so that it is surely read before the answer.
        connection.data_received(make_get("/c"))
        self.release("/a")
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])
        self.assertEqual(self.seen, ["/a"])

    # Guards against LOST: a late request read in part must not hold the answer
    # that closes the connection, nor be passed on.
    async def test_late_part_of_a_request_is_left_behind(self):
        self.hold("/a")
        reader, _ = await self.open(make_get("/a"))
        await self.wait_for(lambda: self.seen)
        self.server.stop_accepting()
        connection = next(iter(self.server.connections))
        connection.data_received(make_get("/b")[:9])
        self.release("/a")
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])
        self.assertEqual(self.seen, ["/a"])

    # Guards against LOST: a request of which the first byte was read before the
    # stop is handled, the next one is not.
    async def test_request_read_in_part_at_the_stop_is_handled(self):
        data = make_get("/a")
        reader, writer = await self.open(data[:9])
        await self.wait_for(lambda: self.server.connections)
        await self.wait_for(lambda: not self.is_silent())
        self.server.stop_accepting()
        writer.write(data[9:] + make_get("/b"))
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])
        self.assertEqual(self.seen, ["/a"])

    # Guards against LOST: a second call took a late request read in part for
    # one that was read before the stop, and it was passed on.
    async def test_second_call_changes_nothing(self):
        data = make_get("/a")
        reader, writer = await self.open()
        await self.wait_for(lambda: self.server.connections)
        self.server.stop_accepting()
        connection = next(iter(self.server.connections))
        connection.data_received(data[:9])
        self.server.stop_accepting()
        writer.write(data[9:])
        self.assertEqual(await self.read_all(reader), _REFUSAL)
        self.assertEqual(self.seen, [])

    def is_silent(self) -> bool:
        """Return whether no connection has received anything."""
        # pylint: disable=protected-access
        return not any(c._parser.is_in_message for c in self.server.connections)


if __name__ == "__main__":
    unittest.main()
