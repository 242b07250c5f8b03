"""Asyncio HTTP client of one node, with persistent connections."""

import asyncio
import dataclasses
import json
import time

__all__ = ["HttpCaller", "HttpResponse", "read_response"]

# Time to wait for a response after the deadline, in seconds.
RESPONSE_GRACE_S = 0.2
NO_RESPONSE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """Response to one call.

    Attributes:
        status: HTTP status; 0 if there was no response.
        outcome: Value of ``Kumquat-Outcome``; ``none`` if there was no
            response.
        body: Response body.
    """

    status: int
    outcome: str
    body: bytes


class HttpCaller:
    """Sends calls to one node and pools its idle connections.

    Args:
        address: Address of the node's caller listener, ``host:port``.
    """

    def __init__(self, address: str):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle: list[tuple] = []

    async def call(
        self, entry: str, body: str, headers: str, deadline: float
    ) -> HttpResponse:
        """Call an entry and wait for the response.

        Args:
            entry: Name of the entry, which is the path of the URL.
            body: Request body, ASCII only.
            headers: Additional header lines, each ended by CRLF.
            deadline: Monotonic time until which to wait, in seconds; the node
                is told the time that is left.

        Returns:
            The response; status 0 and outcome ``none`` if there was none.
        """
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            return HttpResponse(0, NO_RESPONSE, b"")
        timeout = f"Kumquat-Timeout-Ms: {int(remaining_s * 1000) + 1}\r\n"
        text = (
            f"POST /{entry} HTTP/1.1\r\nHost: node\r\n{timeout}{headers}"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        )
        try:
            async with asyncio.timeout(remaining_s + RESPONSE_GRACE_S):
                return await self._exchange(text.encode())
        except (OSError, EOFError, TimeoutError, ValueError):
            return HttpResponse(0, NO_RESPONSE, b"")

    async def get_ticket(self, deadline: float) -> str:
        """Request a ticket of the node; empty if the request failed."""
        response = await self.call("kumquatwalk/ticket", "", "", deadline)
        if response.status != 200:
            return ""
        return json.loads(response.body)["ticket"]

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()

    async def _exchange(self, request: bytes) -> HttpResponse:
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
        is_reusable = False
        try:
            writer.write(request)
            response, is_keep_alive = await read_response(reader)
            is_reusable = is_keep_alive
            return response
        finally:
            if is_reusable:
                self._idle.append((reader, writer))
            else:
                writer.close()


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[HttpResponse, bool]:
    """Read one response and return it, and whether the connection persists.

    Args:
        reader: Stream of the connection.

    Raises:
        EOFError: The connection was closed before the end of the response.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    outcome = headers.get("kumquat-outcome", "")
    is_keep_alive = headers.get("connection", "").lower() != "close"
    return HttpResponse(int(lines[0].split()[1]), outcome, body), is_keep_alive
