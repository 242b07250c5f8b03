"""Tests of limits after a time in which this process did not run."""

import asyncio
import socket
import time
import unittest
from unittest import mock

import uvloop

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1 import answer_writer
from kumquatwalk.http1 import server as server_module
from kumquatwalk.http1.answer_writer import AnswerWriter
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.sockets import count_unread_bytes
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

POST = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n"
# Several intervals between checks, in seconds.
PAUSE_S = 0.2


class OwnPauseTest(ConnectionCase):

    @property
    def connection(self):
        """The only connection of the server."""
        return next(iter(self.server.connections))

    async def send_in_pause(
        self, first: bytes, rest: bytes
    ) -> asyncio.StreamReader:
        """Send data, then the rest while the server does not run for long."""
        reader, writer = await self.open(first)
        await self.wait_for(lambda: self.server.connections)
        connection = self.connection
        # pylint: disable=protected-access
        await self.wait_for(lambda: connection._parser.is_in_message)
        transport = connection._transport
        writer.write(rest)
        ends_at = read_now() + HANG_S
        while not count_unread_bytes(transport):
            self.assertLess(read_now(), ends_at)
        limits = self.limits
        pause_s = 2.0 * max(limits.idle_timeout_s, limits.header_timeout_s)
        connection.check_timeouts(read_now() + pause_s)
        return reader

    # Guards against LOST: a kept connection was closed as idle though its next
    # request waited to be read.
    async def test_request_that_came_in_a_pause_is_answered(self):
        reader, writer = await self.open(make_get("/a"))
        async with asyncio.timeout(HANG_S):
            await reader.readuntil(b"/a")
        await self.wait_for(lambda: not self.server.owed_requests)
        writer.write(make_get("/b", "Connection: close\r\n"))
        # pylint: disable-next=protected-access
        transport = self.connection._transport
        ends_at = read_now() + HANG_S
        while not count_unread_bytes(transport):
            self.assertLess(read_now(), ends_at)
        pause_s = 2.0 * self.limits.idle_timeout_s
        self.connection.check_timeouts(read_now() + pause_s)
        self.assertEqual(await self.read_all(reader), [(200, True, b"/b")])

    # Guards against LOST: a request was answered 408 though the rest of its
    # head waited to be read.
    async def test_head_that_came_in_a_pause_is_read(self):
        data = make_get("/a", "Connection: close\r\n")
        reader = await self.send_in_pause(data[:9], data[9:])
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])

    # Guards against LOST: the same with the rest of a body.
    async def test_body_that_came_in_a_pause_is_read(self):
        data = POST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        reader = await self.send_in_pause(data + b"12345", b"67890")
        self.assertEqual(await self.read_all(reader), [(200, True, b"/a")])

    # Guards against clients that hold a connection: what is still incomplete
    # when it has been read is answered 408.
    async def test_part_that_came_in_a_pause_extends_no_limit(self):
        reader, writer = await self.open(b"GET /a HT")
        await self.wait_for(lambda: self.server.owed_requests)
        connection = self.connection
        writer.write(b"TP/1.1\r\n")
        # pylint: disable-next=protected-access
        transport = connection._transport
        await self.wait_for(lambda: not count_unread_bytes(transport))
        late_s = 2.0 * self.limits.header_timeout_s
        connection.check_timeouts(read_now() + late_s)
        answers = await self.read_all(reader)
        self.assertEqual([answer[0] for answer in answers], [408])


class PausedWriterTest(unittest.TestCase):

    # Guards against LOST: a client that had taken all that the kernel held was
    # ended, as this process had not written the rest.
    def test_what_the_kernel_takes_counts_as_progress(self):
        transport = mock.Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        writer = AnswerWriter(transport, None, mock.Mock(), 0.0)
        request = HttpRequest(b"GET", b"/a", (), b"", True, 0.0)
        with mock.patch.object(
            answer_writer, "count_untaken_bytes", lambda _: 100_000
        ):
            transport.get_write_buffer_size.return_value = 80_000
            writer.write(
                request, HttpResponse(200, body=bytes(10**5)), False, 0
            )
            writer.update(1.0)
            started_at = writer.progress_at
            writer.update(60.0)
            self.assertEqual(writer.progress_at, started_at)
            transport.get_write_buffer_size.return_value = 10_000
            writer.update(61.0)
        self.assertEqual(writer.progress_at, 61.0)


class PendingEventsTest(unittest.TestCase):

    # Guards against LOST: on uvloop, the limits were judged after a pause
    # before what had come in it was read and written.
    def test_limits_are_judged_after_what_has_come(self):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self.judge_after_pause())

    async def judge_after_pause(self) -> None:
        """Block the event loop until a check is due and bytes have come."""
        events = []
        loop = asyncio.get_running_loop()
        ends = socket.socketpair()
        for end in ends:
            self.addCleanup(end.close)

        def read():
            events.append(ends[0].recv(1))
            if events == [b"x"]:
                # Comes while the process does not run.
                ends[1].send(b"y")
                time.sleep(PAUSE_S)

        loop.add_reader(ends[0], read)
        server = HttpServer(Address("127.0.0.1", 0), mock.Mock())
        connection = mock.Mock()
        connection.check_timeouts = lambda _: events.append("judged")
        server.connections.add(connection)
        with mock.patch.object(server_module, "TIMEOUT_CHECK_INTERVAL_S", 0.05):
            # pylint: disable-next=protected-access
            server._start_checks()
            await asyncio.sleep(0)
            ends[1].send(b"x")
            async with asyncio.timeout(HANG_S):
                while "judged" not in events:
                    await asyncio.sleep(0)
        await server.close()
        loop.remove_reader(ends[0])
        self.assertEqual(events[:2], [b"x", b"y"])


if __name__ == "__main__":
    unittest.main()
