"""Tests of the bound on answers that clients have not taken, over loopback."""

import asyncio
import unittest

from kumquatwalk.address import Address
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

# More than the buffers of both ends of a connection hold.
LARGE_BYTES = 16 * 1024 * 1024
LIMIT_BYTES = 1024 * 1024


class AnswerBudgetTest(ConnectionCase):

    async def asyncSetUp(self):
        self.budget = ByteBudget(LIMIT_BYTES)
        await super().asyncSetUp()
        self.answers["/large"] = HttpResponse(200, body=bytes(LARGE_BYTES))

    def make_server(self) -> HttpServer:
        """Return a server with a budget."""
        return HttpServer(
            Address("127.0.0.1", 0), self.serve, self.limits, self.budget
        )

    # Guards against LOST: answers that slow clients have not read were counted
    # by no bound, and the process was killed over its memory.
    async def test_untaken_answer_is_held_and_new_requests_are_refused(self):
        reader, _ = await self.open(make_get("/large"))
        await self.wait_for(lambda: self.budget.used == LARGE_BYTES)
        refused, writer = await self.open(make_get("/a"))
        async with asyncio.timeout(HANG_S):
            head = await refused.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "), head)
        self.assertIn(b"\r\nRetry-After: 1\r\n", head)
        self.assertEqual(await refused.readexactly(17), b"memory_exhausted\n")
        self.assertEqual(self.seen, ["/large"])
        async with asyncio.timeout(HANG_S):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LARGE_BYTES)
        await self.wait_for(lambda: self.budget.used == 0)
        writer.write(make_get("/b"))
        async with asyncio.timeout(HANG_S):
            self.assertIn(b" 200 ", await refused.readline())

    # Guards against LOST: an answer that waits behind another is held too.
    async def test_answer_that_waits_for_its_turn_is_held(self):
        self.hold("/a")
        reader, _ = await self.open(make_get("/a") + make_get("/large"))
        await self.wait_for(lambda: self.budget.used == LARGE_BYTES)
        self.release("/a")
        async with asyncio.timeout(HANG_S):
            await reader.readexactly(LARGE_BYTES)
            await self.wait_for(lambda: self.budget.used == 0)

    # Guards against a leak of the budget, after which all requests are refused.
    async def test_client_that_leaves_leaves_nothing_held(self):
        self.budget.limit = 3 * LARGE_BYTES
        self.hold("/a")
        _, first = await self.open(make_get("/large"))
        _, second = await self.open(make_get("/a") + make_get("/large"))
        await self.wait_for(lambda: self.budget.used == 2 * LARGE_BYTES)
        first.transport.abort()
        second.transport.abort()
        await self.wait_for(lambda: not self.server.connections)
        self.assertEqual(self.budget.used, 0)

    # Guards against a leak of the budget: a handler that answers although it
    # was cancelled holds nothing.
    async def test_answer_after_the_end_is_not_held(self):
        done = asyncio.Event()

        async def serve(_):
            self.seen.append("")
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                done.set()
            return HttpResponse(200, body=bytes(1000))

        self.server.handler = serve
        _, writer = await self.open(make_get("/a"))
        await self.wait_for(lambda: self.seen)
        writer.transport.abort()
        await asyncio.wait_for(done.wait(), HANG_S)
        await asyncio.sleep(0)
        self.assertEqual(self.budget.used, 0)

    # Guards against REFUSED: a body that fills the budget by itself has its
    # memory.
    async def test_request_whose_own_body_fills_the_budget_is_handled(self):
        self.budget.limit = 4
        reader, _ = await self.open(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd"
        )
        async with asyncio.timeout(HANG_S):
            self.assertIn(b" 200 ", await reader.readline())


if __name__ == "__main__":
    unittest.main()
