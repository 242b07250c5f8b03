"""Base of tests that open callers' connections to a server on loopback."""

import asyncio
import unittest
from collections.abc import Callable

from kumquatwalk.address import Address
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer

# Guard against a test that hangs, in seconds.
HANG_S = 20.0


def make_get(path: str, extra: str = "") -> bytes:
    """Return an encoded GET request.

    Args:
        path: Path; also the body of its answer.
        extra: Further header lines, each with its line end.
    """
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{extra}\r\n".encode()


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """Server whose handler waits for each path that a test holds.

    Attributes:
        server: Server under test.
        seen: Paths passed to the handler, in order.
        answers: Answers of the handler by path; others are 200 with the path.
    """

    limits = CallerLimits(header_bytes_max=2000, body_bytes_max=5000)

    async def asyncSetUp(self):
        self.seen: list[str] = []
        self.answers: dict[str, HttpResponse] = {}
        self._events: dict[str, asyncio.Event] = {}
        self.server = self.make_server()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    def make_server(self) -> HttpServer:
        """Return the server under test, not started."""
        return HttpServer(Address("127.0.0.1", 0), self.serve, self.limits)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer a request, if its path is held only when released."""
        path = request.url.decode()
        self.seen.append(path)
        if path in self._events:
            await self._events[path].wait()
        return self.answers.get(path, HttpResponse(200, body=path.encode()))

    def hold(self, *paths: str) -> None:
        """Let the handler wait for the release of paths."""
        for path in paths:
            self._events[path] = asyncio.Event()

    def release(self, *paths: str) -> None:
        """Let the handler answer paths."""
        for path in paths:
            self._events[path].set()

    async def open(
        self, data: bytes = b""
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, closed at the end of the test, and send data."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def wait_for(self, is_done: Callable[[], object]) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: It does not hold within ``HANG_S``.
        """
        async with asyncio.timeout(HANG_S):
            while not is_done():
                await asyncio.sleep(0.005)

    async def read_all(
        self, reader: asyncio.StreamReader
    ) -> list[tuple[int, bool, bytes]]:
        """Read answers until the server closes its side.

        Returns:
            Of each answer its status, whether it announces the close, and its
            body.
        """
        async with asyncio.timeout(HANG_S):
            data = await reader.read()
        answers = []
        while data:
            head, _, rest = data.partition(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            sizes = [
                int(line.partition(b":")[2])
                for line in lines
                if line.startswith(b"content-length:")
            ]
            size = sizes[0] if sizes else 0
            self.assertGreaterEqual(len(rest), size, "answer is cut off")
            status = int(head.split()[1])
            is_last = b"connection: close" in lines
            answers.append((status, is_last, rest[:size]))
            data = rest[size:]
        return answers
