"""Tests of the bound on bodies, with parsers and a server on loopback."""

import asyncio
import contextlib
import unittest

import httptools
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.exception import RequestError
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.request_parser import RequestParser
from kumquatwalk.http1.response_parser import ResponseParser
from kumquatwalk.http1.server import HttpServer

_HEAD = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
_CHUNKED = b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


class ParserBudgetTest(unittest.TestCase):

    def test_announced_body_is_refused_before_it_is_read(self):
        budget = ByteBudget(1000)
        first = RequestParser(1000, 10000, budget)
        self.assertEqual(first.feed(_HEAD % 800, 1.0), [])
        self.assertEqual(budget.used, 800)
        second = RequestParser(1000, 10000, budget)
        with self.assertRaises(RequestError) as caught:
            second.feed(_HEAD % 300, 1.0)
        self.assertEqual(caught.exception.code, "memory_exhausted")
        second.release()
        first.release()
        self.assertEqual(budget.used, 0)

    def test_announced_body_over_the_limit_is_refused_before_it_is_read(self):
        with self.assertRaises(RequestError) as caught:
            RequestParser(1000, 100).feed(_HEAD % 101, 1.0)
        self.assertEqual(caught.exception.code, "body_too_long")

    def test_chunks_are_counted_as_they_come(self):
        budget = ByteBudget(1000)
        parser = RequestParser(1000, 10000, budget)
        parser.feed(_CHUNKED + b"384\r\n" + b"x" * 900 + b"\r\n", 1.0)
        self.assertEqual(budget.used, 900)
        with self.assertRaises(RequestError):
            parser.feed(b"384\r\n" + b"x" * 900 + b"\r\n", 1.0)
        parser.release()
        self.assertEqual(budget.used, 0)

    def test_answers_without_end_are_bounded_together(self):
        budget = ByteBudget(100_000)
        parsers = [ResponseParser(False, 90_000, budget) for _ in range(5)]
        for parser in parsers:
            parser.feed(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(60):
            for parser in parsers:
                # One that is too long takes no more.
                with contextlib.suppress(httptools.HttpParserError):
                    parser.feed(b"z" * 1000)
                self.assertLessEqual(budget.used, budget.limit)
        self.assertTrue(all(p.is_too_long for p in parsers))
        for parser in parsers:
            parser.release()
        self.assertEqual(budget.used, 0)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.binary(max_size=400),
        st.integers(1, 40),
        st.integers(0, 300),
        st.booleans(),
    )
    def test_nothing_stays_reserved_whatever_comes(
        self, noise, step, limit, is_sized
    ):
        budget = ByteBudget(limit)
        parser = RequestParser(1000, 200, budget)
        body = b"b" * 120
        whole = (
            _HEAD % len(body) + body
            if is_sized
            else _CHUNKED + b"78\r\n" + body + b"\r\n0\r\n\r\n"
        )
        data = whole + noise
        held = 0
        try:
            for start in range(0, len(data), step):
                for request in parser.feed(data[start : start + step], 1.0):
                    held += len(request.body)
        except RequestError:
            held += sum(len(r.body) for r in parser.take_completed())
        self.assertLessEqual(budget.used, limit)
        parser.release()
        self.assertEqual(budget.used, held)


class ServerBudgetTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.release_handler = asyncio.Event()
        self.handled = 0
        self.budget = ByteBudget(1000)
        limits = CallerLimits(body_bytes_max=10_000)
        self.server = HttpServer(
            Address("127.0.0.1", 0), self._handle, limits, self.budget
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def _handle(self, _request):
        self.handled += 1
        await self.release_handler.wait()
        return HttpResponse(200)

    async def _open(self, data: bytes):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def _wait_for(self, is_done):
        async with asyncio.timeout(20):
            while not is_done():
                await asyncio.sleep(0.01)

    async def test_refused_request_is_not_handled_and_told_when_to_return(self):
        reader, _ = await self._open(_HEAD % 900 + b"x" * 900)
        await self._wait_for(lambda: self.handled)
        refused, _ = await self._open(_HEAD % 200)
        async with asyncio.timeout(20):
            text = await refused.read()
        self.assertTrue(text.startswith(b"HTTP/1.1 503 "), text)
        self.assertIn(b"\r\nRetry-After: 1\r\n", text)
        self.assertEqual(self.handled, 1)
        self.release_handler.set()
        async with asyncio.timeout(20):
            self.assertIn(b"200", await reader.readline())
        self.assertEqual(self.budget.used, 0)

    async def test_upload_cut_in_its_body_leaves_nothing_reserved(self):
        _, writer = await self._open(_HEAD % 900 + b"x" * 450)
        await self._wait_for(lambda: self.budget.used == 900)
        writer.transport.abort()
        await self._wait_for(lambda: self.budget.used == 0)
        self.assertEqual(self.handled, 0)

    async def test_upload_that_stops_coming_is_ended_with_408(self):
        reader, _ = await self._open(_HEAD % 900 + b"x" * 450)
        await self._wait_for(lambda: self.budget.used == 900)
        connection = next(iter(self.server.connections))
        limits = self.server.limits
        connection.check_timeouts(read_now() + limits.idle_timeout_s - 5.0)
        self.assertEqual(self.budget.used, 900)
        connection.check_timeouts(read_now() + limits.idle_timeout_s + 5.0)
        async with asyncio.timeout(20):
            self.assertIn(b" 408 ", await reader.readline())
        self.assertEqual((self.budget.used, self.handled), (0, 0))

    async def test_caller_that_leaves_while_it_runs_leaves_nothing_reserved(
        self,
    ):
        _, writer = await self._open(_HEAD % 900 + b"x" * 900)
        await self._wait_for(lambda: self.handled)
        writer.transport.abort()
        await self._wait_for(lambda: self.budget.used == 0)


if __name__ == "__main__":
    unittest.main()
