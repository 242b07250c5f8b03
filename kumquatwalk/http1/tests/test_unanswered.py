"""Tests of the report of requests that got no complete answer."""

import asyncio
import os
import socket
import struct
import unittest
from unittest import mock

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1 import server as server_module
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get
from kumquatwalk.logs.level import Level

# More than the buffers of both ends of a connection hold.
LARGE_BYTES = 16 * 1024 * 1024


class UnansweredTest(ConnectionCase):
    """Guards against LOST: no log line said which end took a request."""

    async def asyncSetUp(self):
        self.counts: list[tuple[str, str]] = []
        self.cancellations: list[object] = []
        patcher = mock.patch.object(server_module, "log_event")
        self.log_event = patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()
        self.answers["/large"] = HttpResponse(200, body=bytes(LARGE_BYTES))

    def make_server(self) -> HttpServer:
        """Return a server that identifies requests by their path."""
        return HttpServer(
            Address("127.0.0.1", 0),
            self._serve,
            self.limits,
            identify=lambda request: request.url.decode(),
            on_unanswered=lambda *labels: self.counts.append(labels),
        )

    async def _serve(self, request):
        if request.url == b"/passed":
            request.progress.mark_passed_on(b"id-7")
        try:
            return await self.serve(request)
        except asyncio.CancelledError as error:
            self.cancellations.extend(error.args)
            raise

    async def expect(self, *events: tuple[Level, str, str, str]) -> None:
        """Wait for events and check level, request, stage and end of each."""
        await self.wait_for(lambda: len(self.counts) >= len(events))
        calls = self.log_event.call_args_list
        self.assertEqual({c.args[0] for c in calls}, {"request_unanswered"})
        seen = [
            (c.args[1], *(c.kwargs[k] for k in ("request", "stage", "end")))
            for c in calls
        ]
        self.assertEqual(seen, list(events))
        self.assertEqual(self.counts, [event[2:] for event in events])
        for call in calls:
            self.assertGreaterEqual(call.kwargs["elapsed_s"], 0.0)

    async def test_caller_that_leaves_is_reported_at_each_stage(self):
        self.hold("/read", "/passed")
        _, writer = await self.open(
            make_get("/read") + make_get("/passed") + make_get("/a") + b"GET "
        )
        await self.wait_for(lambda: len(self.seen) == 3)
        writer.close()
        await self.expect(
            (Level.INFO, "", "reading", "caller_left"),
            (Level.INFO, "/read", "read", "caller_left"),
            (Level.INFO, "id-7", "passed_on", "caller_left"),
            (Level.INFO, "/a", "answered", "caller_left"),
        )
        await self.wait_for(lambda: len(self.cancellations) == 2)
        self.assertEqual(self.cancellations, ["caller_left"] * 2)

    async def test_end_of_the_process_is_reported(self):
        self.hold("/passed")
        await self.open(make_get("/passed"))
        await self.wait_for(lambda: self.seen)
        await self.server.close()
        await self.expect((Level.WARNING, "id-7", "passed_on", "process_end"))
        await self.wait_for(lambda: self.cancellations)
        self.assertEqual(self.cancellations, ["process_end"])

    async def test_lost_connection_is_reported_with_an_untaken_answer(self):
        _, writer = await self.open(make_get("/large"))
        await self.wait_for(lambda: self.server.owed_requests and self.seen)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await self.expect(
            (Level.WARNING, "/large", "answered", "connection_lost")
        )

    # Guards against LOST that no log line told: what was written after a reset
    # counted as taken.
    async def test_all_answers_written_after_a_reset_are_reported(self):
        paths = [f"/held/{number}" for number in range(4)]
        for size in (1, 30_000, 100_000):
            self.counts.clear()
            self.seen.clear()
            self.hold(*paths)
            for path in paths:
                self.answers[path] = HttpResponse(200, body=bytes(size))
            _, writer = await self.open(b"".join(map(make_get, paths)))
            await self.wait_for(lambda: len(self.seen) == len(paths))
            await self._reset(writer)
            self.release(*paths)
            await self.wait_for(lambda: not self.server.connections)
            ends = [("answered", "connection_lost")] * len(paths)
            self.assertEqual(self.counts, ends, size)

    async def _reset(self, writer: asyncio.StreamWriter) -> None:
        """Reset a connection before the server's event loop turns again."""
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        with socket.socket(fileno=os.dup(sock.fileno())):
            writer.transport.abort()
            await asyncio.sleep(0)

    async def test_answers_taken_before_a_reset_are_not_reported(self):
        reader, writer = await self.open(make_get("/a") * 3)
        for _ in range(3):
            async with asyncio.timeout(20):
                await reader.readuntil(b"\r\n\r\n/a")
        await self._reset(writer)
        await self.wait_for(lambda: not self.server.connections)
        self.assertEqual(self.counts, [])

    async def test_answer_that_nobody_takes_is_reported(self):
        await self.open(make_get("/large"))
        await self.wait_for(lambda: self.server.owed_requests and self.seen)
        await asyncio.sleep(0.05)
        connection = next(iter(self.server.connections))
        now = read_now()
        connection.check_timeouts(now)
        connection.check_timeouts(now + self.limits.idle_timeout_s + 1.0)
        await self.expect((Level.WARNING, "/large", "answered", "timeout"))

    async def test_request_behind_the_last_answer_is_reported(self):
        self.hold("/a")
        await self.open(make_get("/a"))
        await self.wait_for(lambda: self.seen)
        self.server.stop_accepting()
        connection = next(iter(self.server.connections))
        connection.data_received(make_get("/b"))
        await self.expect((Level.INFO, "/b", "read", "closing_answer"))

    async def test_complete_answers_are_not_reported(self):
        for extra in ("", "Connection: close\r\n"):
            reader, writer = await self.open(make_get("/a") * 3)
            for _ in range(3):
                async with asyncio.timeout(20):
                    await reader.readuntil(b"\r\n\r\n/a")
            writer.write(make_get("/b", extra))
            async with asyncio.timeout(20):
                await reader.readuntil(b"\r\n\r\n/b")
            writer.close()
            await self.wait_for(lambda: not self.server.connections)
        self.assertEqual(self.counts, [])
        self.log_event.assert_not_called()


if __name__ == "__main__":
    unittest.main()
