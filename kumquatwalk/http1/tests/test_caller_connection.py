"""Tests for callers' connections over loopback."""

import asyncio
import unittest

from kumquatwalk.address import Address
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer

_LIMITS = CallerLimits(
    header_bytes_max=2000,
    body_bytes_max=5000,
    header_timeout_s=0.2,
    idle_timeout_s=60.0,
)

# More than the buffers of both ends of a connection hold.
LARGE_BYTES = 32 * 1024 * 1024


def make_get(path: str, extra: str = "") -> bytes:
    """Return an encoded GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{extra}\r\n".encode()


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.seen: list[str] = []
        self.cancelled: list[str] = []
        self.release = asyncio.Event()
        self.server = HttpServer(Address("127.0.0.1", 0), self._serve, _LIMITS)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(self.writer.close)

    async def _serve(self, request):
        path = request.url.decode()
        self.seen.append(path)
        try:
            if path.startswith("/slow"):
                await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        if path.startswith("/fault"):
            raise ValueError("handler failed")
        size = LARGE_BYTES if path.startswith("/large") else 0
        return HttpResponse(200, body=path.encode() + bytes(size))

    async def _read_answer(self) -> tuple[bytes, bytes]:
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        size = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name.lower() == b"content-length":
                size = int(value)
        return head, await self.reader.readexactly(size)

    # Guards against LOST at a planned stop: the process ended while bytes of an
    # answer were not sent yet, as its connection counted as idle.
    async def test_connection_is_busy_until_its_response_is_sent(self):
        self.writer.write(make_get("/large"))
        async with asyncio.timeout(5):
            await self.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(self.server.busy_connections, 1)
        self.server.stop_accepting()
        self.assertEqual(self.server.busy_connections, 1)
        await self.reader.readexactly(LARGE_BYTES)
        await self.reader.readexactly(len("/large"))
        async with asyncio.timeout(5):
            while self.server.busy_connections:
                await asyncio.sleep(0.01)

    async def test_pipelined_responses_are_sent_in_request_order(self):
        self.writer.write(make_get("/slow") + make_get("/a") + make_get("/b"))
        while len(self.seen) < 3:
            await asyncio.sleep(0.01)
        self.release.set()
        bodies = [(await self._read_answer())[1] for _ in range(3)]
        self.assertEqual(bodies, [b"/slow", b"/a", b"/b"])

    async def test_close_by_caller_cancels_its_requests(self):
        self.writer.write(make_get("/slow1") + make_get("/slow2"))
        while len(self.seen) < 2:
            await asyncio.sleep(0.01)
        self.writer.close()
        async with asyncio.timeout(5):
            while len(self.cancelled) < 2:
                await asyncio.sleep(0.01)

    async def test_malformed_request_is_answered_after_earlier_requests(self):
        self.writer.write(make_get("/slow") + b"NONSENSE\r\n\r\n")
        while not self.seen:
            await asyncio.sleep(0.01)
        self.release.set()
        self.assertEqual((await self._read_answer())[1], b"/slow")
        head, _ = await self._read_answer()
        self.assertIn(b" 400 ", head.split(b"\r\n")[0])
        self.assertEqual(await self.reader.read(), b"")

    async def test_head_or_body_over_limit_is_rejected(self):
        self.writer.write(make_get("/a", "X: " + "y" * 3000 + "\r\n"))
        head, _ = await self._read_answer()
        self.assertIn(b" 431 ", head.split(b"\r\n")[0])
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.writer.write(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6000\r\n\r\n"
            + b"z" * 6000
        )
        head, _ = await self._read_answer()
        self.assertIn(b" 413 ", head.split(b"\r\n")[0])
        self.assertEqual(self.seen, [])

    async def test_incomplete_head_is_answered_with_408(self):
        self.writer.write(b"GET /a HT")
        head, _ = await self._read_answer()
        self.assertIn(b" 408 ", head.split(b"\r\n")[0])

    async def test_handler_exception_is_answered_with_500(self):
        self.writer.write(make_get("/fault"))
        head, _ = await self._read_answer()
        self.assertIn(b" 500 ", head.split(b"\r\n")[0])

    async def test_stopping_server_closes_connection_after_response(self):
        self.writer.write(make_get("/slow"))
        while not self.seen:
            await asyncio.sleep(0.01)
        self.server.is_stopping = True
        self.release.set()
        head, body = await self._read_answer()
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual(body, b"/slow")
        self.assertEqual(await self.reader.read(), b"")

    async def test_request_after_connection_close_is_not_handled(self):
        self.writer.write(
            make_get("/a", "Connection: close\r\n") + make_get("/b")
        )
        self.assertEqual((await self._read_answer())[1], b"/a")
        self.assertEqual(await self.reader.read(), b"")
        self.assertNotIn("/b", self.seen)


if __name__ == "__main__":
    unittest.main()
