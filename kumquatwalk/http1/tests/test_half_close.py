"""Tests of callers that end their side of the connection, on both loops."""

import asyncio
import gc
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from unittest import mock

import uvloop

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1 import caller_connection
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.sockets import is_closed
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import make_get

LOOP_FACTORIES = (asyncio.new_event_loop, uvloop.new_event_loop)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# More than the buffers of both ends of a connection hold.
LARGE_BYTES = 16 * 1024 * 1024


class _Play:
    """A server that holds the answers to /held until it is told to go on."""

    def __init__(self):
        self.seen: list[str] = []
        self.cancelled: list[str] = []
        self.unanswered = []
        self.release = asyncio.Event()
        self.server = HttpServer(
            Address("127.0.0.1", 0),
            self.serve,
            on_unanswered=lambda *args: self.unanswered.append(args),
        )

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer a request with its path."""
        path = request.url.decode()
        self.seen.append(path)
        if path.startswith("/held"):
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled.append(path)
                raise
        size = LARGE_BYTES if path.endswith("/large") else 0
        return HttpResponse(200, body=path.encode() + bytes(size))

    async def open(
        self, *paths: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send requests together."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        writer.write(b"".join(map(make_get, paths)))
        return reader, writer

    async def wait_for(self, is_done: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(HANG_S):
            while not is_done():
                await asyncio.sleep(0.005)


class HalfCloseTest(unittest.TestCase):

    def play(self, play: Callable[[_Play], Awaitable[None]]) -> None:
        """Run a play on the event loops of CPython and of uvloop."""

        async def run():
            setting = _Play()
            await setting.server.start()
            try:
                await play(setting)
            finally:
                await setting.server.close()

        for factory in LOOP_FACTORIES:
            with self.subTest(factory=factory.__module__):
                with asyncio.Runner(loop_factory=factory) as runner:
                    runner.run(run())

    # Guards against LOST: a caller that ended its side after its request was
    # taken for one that had left.
    def test_half_closed_caller_is_answered(self):
        async def play(setting):
            reader, writer = await setting.open("/held")
            await setting.wait_for(lambda: setting.seen)
            writer.write_eof()
            async with asyncio.timeout(HANG_S):
                self.assertEqual(
                    await reader.readexactly(len(INTERIM)), INTERIM
                )
                setting.release.set()
                answer = await reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
            self.assertIn(b"connection: close\r\n", answer.lower())
            self.assertTrue(answer.endswith(b"/held"), answer)
            self.assertEqual(setting.unanswered, [])
            writer.close()
            await setting.wait_for(lambda: not setting.server.connections)

        self.play(play)

    # Guards against LOST: the same with several requests, the end of the stream
    # together with them.
    def test_pipelined_requests_are_answered_after_a_half_close(self):
        async def play(setting):
            paths = ("/held/1", "/b", "/held/2", "/c")
            reader, writer = await setting.open(*paths)
            writer.write_eof()
            await setting.wait_for(lambda: len(setting.seen) == len(paths))
            setting.release.set()
            async with asyncio.timeout(HANG_S):
                data = await reader.read()
            self.assertEqual(data.count(INTERIM), 1)
            answers = data.replace(INTERIM, b"").split(b"HTTP/1.1 200 ")[1:]
            bodies = [a.partition(b"\r\n\r\n")[2].decode() for a in answers]
            self.assertEqual(bodies, list(paths))
            closes = [b"connection: close" in a.lower() for a in answers]
            self.assertEqual(closes, [False] * 3 + [True])
            writer.close()

        self.play(play)

    # Guards against MIXED: nothing may stand inside an answer; and against
    # LOST: a slow half-closed caller gets all of what it asked for.
    def test_no_interim_answer_stands_inside_another(self):
        async def play(setting):
            reader, writer = await setting.open("/large", "/held")
            async with asyncio.timeout(HANG_S):
                await reader.readuntil(b"\r\n\r\n")
                writer.write_eof()
                await asyncio.sleep(0.2)
                body = await reader.readexactly(len("/large") + LARGE_BYTES)
                setting.release.set()
                rest = (await reader.read()).replace(INTERIM, b"")
            self.assertEqual(body, b"/large" + bytes(LARGE_BYTES))
            self.assertTrue(rest.startswith(b"HTTP/1.1 200 "), rest)
            self.assertTrue(rest.endswith(b"/held"), rest)
            writer.close()

        self.play(play)

    # Guards against GONE: the requests of a caller that has closed its
    # connection run on.
    def test_requests_of_a_closed_caller_are_cancelled(self):
        async def play(setting):
            _, writer = await setting.open("/held/1", "/held/2")
            await setting.wait_for(lambda: len(setting.seen) == 2)
            writer.close()
            await setting.wait_for(lambda: len(setting.cancelled) == 2)
            await setting.wait_for(lambda: not setting.server.connections)

        self.play(play)

    # Guards against GONE: the same behind an answer that is only partly taken.
    def test_closed_caller_is_noticed_behind_an_untaken_answer(self):
        async def play(setting):
            _, writer = await setting.open("/large", "/held")
            await setting.wait_for(lambda: len(setting.seen) == 2)
            await asyncio.sleep(0.05)
            writer.close()
            await setting.wait_for(lambda: setting.cancelled)
            await setting.wait_for(lambda: not setting.server.connections)

        self.play(play)

    # Guards against errors in handlers' tasks: answers were written to a
    # connection that the first of them had shown to be reset.
    def test_answers_to_a_closed_caller_raise_nothing(self):
        async def play(setting):
            errors = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: errors.append(context)
            )
            paths = [f"/held/{number}" for number in range(5)]
            _, writer = await setting.open(*paths)
            await setting.wait_for(lambda: len(setting.seen) == len(paths))
            (connection,) = setting.server.connections
            # pylint: disable-next=protected-access
            transport = connection._transport
            writer.close()
            await setting.wait_for(lambda: is_closed(transport))
            setting.release.set()
            await setting.wait_for(lambda: not setting.server.connections)
            gc.collect()
            self.assertEqual(errors, [])

        with mock.patch.object(
            caller_connection, "LEFT_CHECK_INTERVAL_S", HANG_S
        ):
            self.play(play)

    # Guards against a client of HTTP/1.0 that gets an interim answer, which it
    # does not know (RFC 9110, section 15.2).
    def test_old_client_gets_no_interim_answer(self):
        async def play(setting):
            reader, writer = await setting.open()
            writer.write(b"GET /held HTTP/1.0\r\n\r\n")
            await setting.wait_for(lambda: setting.seen)
            writer.write_eof()
            async with asyncio.timeout(HANG_S):
                self.assertEqual(await reader.read(), b"")
            await setting.wait_for(lambda: setting.cancelled)
            writer.close()

        self.play(play)

    # Guards against connections that stay: an idle one closes at once.
    def test_idle_connection_closes_at_once(self):
        async def play(setting):
            reader, writer = await setting.open("/a")
            async with asyncio.timeout(HANG_S):
                await reader.readuntil(b"/a")
                await setting.wait_for(lambda: not setting.server.owed_requests)
                writer.write_eof()
                self.assertEqual(await reader.read(), b"")
            writer.close()

        self.play(play)

    # Guards against callers behind a dead network that are held for ever: what
    # a half-closed caller does not take is bounded as for others.
    def test_half_closed_caller_that_takes_nothing_is_bounded(self):
        async def play(setting):
            _, writer = await setting.open("/large")
            await setting.wait_for(lambda: setting.seen)
            await asyncio.sleep(0.05)
            writer.transport.pause_reading()
            writer.write_eof()
            await asyncio.sleep(0.05)
            (connection,) = setting.server.connections
            idle_s = setting.server.limits.idle_timeout_s
            connection.check_timeouts(read_now())
            self.assertTrue(setting.server.owed_requests)
            connection.check_timeouts(read_now() + idle_s + 1.0)
            await setting.wait_for(lambda: not setting.server.connections)
            writer.close()

        self.play(play)


if __name__ == "__main__":
    unittest.main()
