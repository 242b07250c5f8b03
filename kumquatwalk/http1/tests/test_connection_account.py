"""Tests of the account of clients' connections, with a server on loopback."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.address import Address
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.http1 import connection_account
from kumquatwalk.http1 import server
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.caller_connection import TAKING_S_MAX
from kumquatwalk.http1.connection_account import CONNECTION_BYTES
from kumquatwalk.http1.connection_account import CloseReason
from kumquatwalk.http1.connection_account import ConnectionAccount
from kumquatwalk.http1.connection_account import count_connections_max
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

_POST = b"POST /p HTTP/1.1\r\nHost: x\r\n"
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
_BODY_BUDGET_BYTES = 100_000
_ANSWER_BUDGET_BYTES = 100_000_000


class AccountCase(ConnectionCase):
    """Server whose account is small."""

    limits = CallerLimits(body_bytes_max=1 << 20)
    bytes_max = 1 << 20
    connections_max = 3

    def make_server(self):
        self.reasons: list[CloseReason] = []
        self.account = ConnectionAccount(
            self.bytes_max, self.connections_max, self.reasons.append
        )
        return HttpServer(
            Address("127.0.0.1", 0),
            self.serve,
            self.limits,
            ByteBudget(_BODY_BUDGET_BYTES),
            ByteBudget(_ANSWER_BUDGET_BYTES),
            account=self.account,
        )

    async def open_counted(self, data: bytes):
        """Open a connection and wait until its bytes have been read."""
        count = self.account.connections
        pair = await self.open(data)
        await self.wait_for(lambda: self.account.connections > count)
        await asyncio.sleep(0.02)
        return pair

    async def read(self, reader) -> bytes:
        """Return what comes first; empty if the connection is closed."""
        async with asyncio.timeout(HANG_S):
            try:
                return await reader.read(1000)
            except ConnectionError:
                return b""


class ConnectionsTest(AccountCase):

    # Guards against a process without descriptors for its links.
    async def test_oldest_incomplete_request_is_closed_first(self):
        self.hold("/busy")
        busy, _ = await self.open_counted(make_get("/busy"))
        oldest, _ = await self.open_counted(b"GET /a HTTP")
        newer, writer = await self.open_counted(b"GET /b HTTP")
        last, _ = await self.open(make_get("/last"))
        self.assertIn(b"/last", await self.read(last))
        self.assertEqual(await self.read(oldest), b"")
        writer.write(b"/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"/b", await self.read(newer))
        self.release("/busy")
        self.assertIn(b"/busy", await self.read(busy))
        self.assertEqual(self.reasons, [CloseReason.DESCRIPTORS])

    async def test_connection_is_closed_when_all_others_have_a_request(self):
        paths = [f"/busy{n}" for n in range(self.connections_max)]
        self.hold(*paths)
        pairs = [await self.open_counted(make_get(p)) for p in paths]
        self.assertEqual(await self.read((await self.open())[0]), b"")
        self.release(*paths)
        for path, (reader, _) in zip(paths, pairs):
            self.assertIn(path.encode(), await self.read(reader))

    # Guards against clients that read nothing and keep all others out.
    async def test_client_that_reads_nothing_is_closed_for_another(self):
        # More than the kernel's buffers of both ends hold.
        size = 30_000_000
        self.answers["/large"] = HttpResponse(200, body=bytes(size))
        for _ in range(self.connections_max):
            await self.open_counted(make_get("/large"))
        # The server looks once a second what clients have taken.
        await asyncio.sleep(TAKING_S_MAX + 2.0)
        last, _ = await self.open(make_get("/last"))
        self.assertIn(b"/last", await self.read(last))
        self.assertEqual(self.account.connections, self.connections_max)

    async def test_nothing_stays_counted(self):
        for data in (make_get("/a") * 3, b"GET /b", _CHUNKED + b"2\r\nx"):
            _, writer = await self.open_counted(data)
            writer.transport.abort()
            await self.wait_for(lambda: not self.account.connections)
        self.assertEqual((self.account.used, self.account.pipelined), (0, 0))

    def test_reserve_of_descriptors(self):
        self.assertEqual(count_connections_max(4100), 3075)
        self.assertEqual(count_connections_max(150), 75)


class HeadsTest(AccountCase):
    connections_max = 100
    bytes_max = 4 * CONNECTION_BYTES

    # Guards against FAULT: incomplete heads were not counted.
    async def test_heads_received_in_part_make_room_for_others(self):
        head = b"GET /a HTTP/1.1\r\nX: " + b"y" * 5000
        for _ in range(10):
            await self.open(head)
        last, _ = await self.open(make_get("/last"))
        self.assertIn(b"/last", await self.read(last))
        self.assertLessEqual(self.account.used, self.bytes_max)
        self.assertEqual(set(self.reasons), {CloseReason.MEMORY})


class BodiesTest(AccountCase):
    connections_max = 100

    # Guards against a process that spends its time on parts of single bytes.
    async def test_small_parts_beyond_all_use_are_refused(self):
        reader, _ = await self.open(_CHUNKED + b"1\r\nx\r\n" * 40_000)
        answer = await self.read(reader)
        self.assertIn(b" 400 ", answer)
        self.assertIn(b"body_fragmented", answer)

    async def test_body_of_usual_size_may_come_in_single_bytes(self):
        body = b"1\r\nx\r\n" * 24_000 + b"0\r\n\r\n"
        reader, _ = await self.open(_CHUNKED + body)
        self.assertIn(b" 200 ", await self.read(reader))
        self.assertEqual(self.server.part_budget.used, 0)

    # Guards against bodies that stop short and keep all others out.
    async def test_body_that_has_stopped_makes_room_for_another(self):
        length = b"Content-Length: %d\r\n\r\n" % (_BODY_BUDGET_BYTES - 10)
        stalled, _ = await self.open_counted(_POST + length + b"x")
        refused, _ = await self.open(_POST + b"Content-Length: 20\r\n\r\n")
        self.assertIn(b" 503 ", await self.read(refused))
        await asyncio.sleep(connection_account.STALLED_S + 0.1)
        body = b"Content-Length: 20\r\n\r\n" + bytes(20)
        reader, _ = await self.open(_POST + body)
        self.assertIn(b" 200 ", await self.read(reader))
        self.assertIn(b" 503 ", await self.read(stalled))


class PartsTest(AccountCase):
    connections_max = 100

    # Guards against FAULT: a shortage of parts closed a body that had come in
    # few parts, and freed none.
    async def test_body_in_small_parts_makes_room_for_another(self):
        self.server.part_budget.limit = 1500
        whole = _POST + b"Content-Length: 5000\r\n\r\n" + bytes(4000)
        _, writer = await self.open_counted(whole)
        await asyncio.sleep(0.05)
        parts = _CHUNKED + b"1\r\nx\r\n" * 1100
        stalled, _ = await self.open_counted(parts)
        await asyncio.sleep(connection_account.STALLED_S + 0.1)
        reader, _ = await self.open(parts + b"0\r\n\r\n")
        self.assertIn(b" 200 ", await self.read(reader))
        self.assertIn(b" 503 ", await self.read(stalled))
        # The refused connection lingers until its client has read the answer.
        await self.wait_for(lambda: self.account.connections == 2)
        self.assertFalse(writer.transport.is_closing())


class PipelineTest(AccountCase):

    # Guards against requests that are lost where reading stops.
    async def test_all_pipelined_requests_are_answered_in_order(self):
        paths = [f"/{n}" for n in range(1000)]
        last = make_get("/last", "Connection: close\r\n")
        data = b"".join(make_get(path) for path in paths) + last
        reader, _ = await self.open(data)
        answers = await self.read_all(reader)
        bodies = [body.decode() for _, _, body in answers]
        self.assertEqual(bodies, [*paths, "/last"])

    # Guards against FAULT: thousands of requests of one piece in memory.
    async def test_few_requests_of_a_connection_are_parsed_at_once(self):
        self.hold("/a")
        await self.open_counted(make_get("/a") * 5000)
        connection = next(iter(self.server.connections))
        self.assertLess(connection.count_owed(0.0), 300)
        self.assertLess(self.account.used, 1 << 20)
        self.release("/a")

    # Guards against FAULT: all requests that came in one piece with the end of
    # a body were parsed at once.
    async def test_few_requests_behind_a_body_are_parsed_at_once(self):
        self.hold("/p")
        _, writer = await self.open_counted(
            _POST + b"Content-Length: 2\r\n\r\nx"
        )
        connection = next(iter(self.server.connections))
        connection.data_received(b"x" + make_get("/a") * 5000)
        self.assertLess(connection.count_owed(0.0), 300)
        writer.transport.abort()
        self.release("/p")


class UntakenPipelineTest(ConnectionCase):

    def make_server(self):
        patch = mock.patch.object(server, "TIMEOUT_CHECK_INTERVAL_S", 3600.0)
        patch.start()
        self.addCleanup(patch.stop)
        return super().make_server()

    # Guards against FAULT: a client that had yet to acknowledge 64 answers had
    # to wait for the next check of time-outs.
    async def test_reading_goes_on_once_answers_are_taken(self):
        reader, writer = await self.open()
        for _ in range(3):
            writer.write(make_get("/a") * 200)
            data = b""
            async with asyncio.timeout(HANG_S):
                while data.count(b"200 OK") < 200:
                    data += await reader.read(10_000)


class ShortPipelineTest(AccountCase):
    bytes_max = CONNECTION_BYTES * 64

    # Guards against requests that are handled although memory is short, and
    # against some that are lost when it is.
    async def test_pipelined_requests_are_answered_with_little_memory(self):
        last = make_get("/last", "Connection: close\r\n")
        reader, _ = await self.open(make_get("/a") * 300 + last)
        answers = await self.read_all(reader)
        self.assertEqual([a[0] for a in answers], [200] * 301)


if __name__ == "__main__":
    unittest.main()
