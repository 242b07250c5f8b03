"""Base of tests of what is passed on, over a scripted transport."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.address import Address
from kumquatwalk.http1 import caller_connection
from kumquatwalk.http1 import server as server_module
from kumquatwalk.http1.caller_connection import CallerConnection
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.tests.connection_case import make_get
from kumquatwalk.http1.tests.scripted_transport import ScriptedTransport
from kumquatwalk.http1.tests.scripted_transport import parse_answers

LARGE_BYTES = 200_000
# Interval between two checks of the timeouts, in seconds.
STEP_S = 0.05
# Iterations of the event loop in which the tasks of a step come to rest.
SETTLE_TURNS = 8


class BacklogCase(unittest.IsolatedAsyncioTestCase):
    """One connection, and a server whose handler answers when told to.

    Attributes:
        now: Time that the connection sees, in seconds.
        seen: Paths passed to the handler, in order.
        waiting: Answer of the handler by path.
        unanswered: Stage and end of each request that ended without an answer.
        expected_bytes: Size expected of each answer.
        cancelled: Paths whose handler was cancelled.
    """

    async def asyncSetUp(self):
        self.now = 100.0
        for module in (caller_connection, server_module):
            patcher = mock.patch.object(module, "read_now", lambda: self.now)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.seen: list[str] = []
        self.waiting: dict[str, asyncio.Future] = {}
        self.unanswered = []
        self.cancelled: list[str] = []
        self.expected_bytes = LARGE_BYTES
        self.server = HttpServer(
            Address("127.0.0.1", 0),
            self.serve,
            estimate_answer=lambda _: self.expected_bytes,
            on_unanswered=lambda *args: self.unanswered.append(args),
        )
        self.connection = CallerConnection(self.server)
        self.transport = ScriptedTransport(
            asyncio.get_running_loop(), self.connection
        )
        self.connection.connection_made(self.transport)
        self.addCleanup(self.transport.reset)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer a request when the test says so."""
        path = request.url.decode()
        self.seen.append(path)
        self.waiting[path] = asyncio.get_running_loop().create_future()
        try:
            return await self.waiting[path]
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise

    async def settle(self) -> None:
        """Run the event loop until nothing is left to do."""
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

    async def send(self, *paths: str) -> None:
        """Let requests arrive together."""
        self.transport.deliver(b"".join(map(make_get, paths)))
        await self.settle()

    async def answer(self, path: str, size: int) -> None:
        """Let the handler answer a request with a number of bytes."""
        self.waiting[path].set_result(HttpResponse(200, body=bytes(size)))
        await self.settle()

    async def read_slowly(self, bytes_per_s: int) -> None:
        """Let the client take a large answer at a rate, up to 5 kB."""
        self.transport.is_blocked = True
        await self.send("/first")
        await self.answer("/first", LARGE_BYTES)
        left = len(self.transport.buffer) - 5000
        await self.pass_time(left / bytes_per_s, bytes_per_s)
        self.transport.unblock()
        await self.settle()

    async def pass_time(self, seconds: float, bytes_per_s: int) -> None:
        """Let the client take bytes at a rate, and check the timeouts."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.transport.take(int(bytes_per_s * STEP_S))
            self.connection.check_timeouts(self.now)
            await self.settle()

    def list_answers(self) -> list[tuple[int, bool, int]]:
        """Return status, announced close and size of each answer taken."""
        answers = parse_answers(bytes(self.transport.taken))
        return [(status, last, len(body)) for status, last, body in answers]
