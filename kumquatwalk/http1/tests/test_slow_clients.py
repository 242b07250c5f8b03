"""Tests of clients that hold scarce memory and read slowly, over loopback."""

import asyncio
import unittest

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.reading_rate import WINDOW_S
from kumquatwalk.http1.server import TIMEOUT_CHECK_INTERVAL_S
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage

# More than the buffers of both ends of a connection hold.
LARGE_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 100_000
PIECE_PAUSE_S = 0.05
# Time in which a slow client would have been ended, in seconds.
JUDGED_S = 2 * (WINDOW_S + TIMEOUT_CHECK_INTERVAL_S)


class SlowClientsTest(ConnectionCase):

    async def asyncSetUp(self):
        self.answers_held = ByteBudget(LARGE_BYTES + LARGE_BYTES // 2)
        self.unanswered = []
        await super().asyncSetUp()
        self.answers["/large"] = HttpResponse(200, body=bytes(LARGE_BYTES))

    def make_server(self) -> HttpServer:
        """Return a server with a budget of answers."""
        return HttpServer(
            Address("127.0.0.1", 0),
            self.serve,
            self.limits,
            ByteBudget(LARGE_BYTES),
            self.answers_held,
            on_unanswered=lambda *args: self.unanswered.append(args),
        )

    # Guards against refusals of all requests for as long as clients take
    # anything at all of the answers that hold the memory.
    async def test_no_more_slow_clients_are_ended_than_needed(self):
        for _ in range(3):
            await self.open(make_get("/large"))
        await self.wait_for(lambda: self.answers_held.used == 3 * LARGE_BYTES)
        await self.wait_for(lambda: self.answers_held.used == LARGE_BYTES)
        ended = [(Stage.ANSWERED, End.TIMEOUT)] * 2
        self.assertEqual(self.unanswered, ended)
        await asyncio.sleep(JUDGED_S)
        self.assertEqual(self.unanswered, ended)
        self.assertEqual(len(self.server.connections), 1)

    # Guards against LOST: what waits behind the answer that a slow client takes
    # was not counted, so that further clients were ended for memory that was
    # free by then.
    async def test_answers_behind_the_one_that_is_taken_count(self):
        self.answers_held.limit = 100 * LARGE_BYTES
        part_bytes = LARGE_BYTES + 1000
        self.answers["/part"] = HttpResponse(200, body=bytes(part_bytes))
        await self.open(make_get("/large"))
        await self.open(make_get("/part") * 2)
        used = LARGE_BYTES + 2 * part_bytes
        await self.wait_for(lambda: self.answers_held.used == used)
        await asyncio.sleep(JUDGED_S)
        self.answers_held.limit = LARGE_BYTES
        await self.wait_for(lambda: self.answers_held.used < used)
        self.assertEqual(len(self.unanswered), 2)
        self.assertEqual(self.answers_held.used, LARGE_BYTES)

    # Guards against LOST: of two slow clients the one was ended that lost more
    # requests.
    async def test_client_that_loses_few_requests_is_ended_first(self):
        self.answers_held.limit = 100 * LARGE_BYTES
        self.answers["/part"] = HttpResponse(200, body=bytes(LARGE_BYTES - 1))
        await self.open(make_get("/large") + make_get("/a") * 5)
        await self.open(make_get("/part"))
        used = 2 * LARGE_BYTES - 1 + 5 * len("/a")
        await self.wait_for(lambda: self.answers_held.used == used)
        await asyncio.sleep(JUDGED_S)
        self.answers_held.limit = used - 1
        await self.wait_for(lambda: self.answers_held.used < used)
        self.assertEqual(self.unanswered, [(Stage.ANSWERED, End.TIMEOUT)])

    # Guards against LOST: a client that reads is ended.
    async def test_client_that_reads_is_not_ended(self):
        self.answers_held.limit = 1000
        reader, _ = await self.open(make_get("/large"))
        read = 0
        async with asyncio.timeout(HANG_S):
            await reader.readuntil(b"\r\n\r\n")
            ends_at = read_now() + JUDGED_S
            while read_now() < ends_at and read < LARGE_BYTES // 2:
                read += len(await reader.readexactly(PIECE_BYTES))
                await asyncio.sleep(PIECE_PAUSE_S)
            await reader.readexactly(LARGE_BYTES - read)
        self.assertEqual(self.unanswered, [])

    # Guards against LOST: a slow client is ended though nobody needs what is
    # held for it; and against requests refused as long as it reads.
    async def test_slow_client_is_ended_when_others_are_refused(self):
        await self.open(make_get("/large"))
        await self.wait_for(lambda: self.answers_held.used == LARGE_BYTES)
        await asyncio.sleep(JUDGED_S)
        self.assertEqual(self.unanswered, [])
        self.assertFalse(self.answers_held.try_reserve(LARGE_BYTES))
        await self.wait_for(lambda: self.answers_held.used == 0)
        self.assertEqual(self.unanswered, [(Stage.ANSWERED, End.TIMEOUT)])


if __name__ == "__main__":
    unittest.main()
