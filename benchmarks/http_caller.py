"""Caller of one node over kept-open connections, on an event loop."""

import asyncio
import dataclasses
import json
import time

__all__ = ["HttpAnswer", "HttpCaller"]

GRACE_S = 0.2
NO_ANSWER = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Answer to one call.

    Attributes:
        status: HTTP status; 0 when no answer came.
        outcome: Value of ``Kumquat-Outcome``; ``none`` when no answer came.
        body: Body.
    """

    status: int
    outcome: str
    body: bytes


class HttpCaller:
    """Makes calls to one address.

    Args:
        address: Host and port.
    """

    def __init__(self, address: str):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle: list[tuple] = []

    async def call(
        self, entry: str, body: str, headers: str, deadline: float
    ) -> HttpAnswer:
        """Call an entry and wait for the answer until a deadline."""
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            return HttpAnswer(0, NO_ANSWER, b"")
        timeout = f"Kumquat-Timeout-Ms: {int(left_s * 1000) + 1}\r\n"
        text = (
            f"POST /{entry} HTTP/1.1\r\nHost: node\r\n{timeout}{headers}"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        )
        try:
            async with asyncio.timeout(left_s + GRACE_S):
                return await self._exchange(text.encode())
        except (OSError, EOFError, TimeoutError, ValueError):
            return HttpAnswer(0, NO_ANSWER, b"")

    async def get_ticket(self, deadline: float) -> str:
        """Return a ticket; empty when none came in time."""
        answer = await self.call("kumquatwalk/ticket", "", "", deadline)
        if answer.status != 200:
            return ""
        return json.loads(answer.body)["ticket"]

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()

    async def _exchange(self, request: bytes) -> HttpAnswer:
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
        is_whole = False
        try:
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            answer, is_kept = await _read_answer(reader, head)
            is_whole = is_kept
            return answer
        finally:
            if is_whole:
                self._idle.append((reader, writer))
            else:
                writer.close()


async def _read_answer(
    reader: asyncio.StreamReader, head: bytes
) -> tuple[HttpAnswer, bool]:
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    outcome = headers.get("kumquat-outcome", "")
    is_kept = headers.get("connection", "").lower() != "close"
    return HttpAnswer(int(lines[0].split()[1]), outcome, body), is_kept
