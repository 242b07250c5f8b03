"""Delay of a caller's connection, as a network between would cause it."""

import asyncio
import collections
import functools
from collections.abc import Callable

__all__ = ["open_delayed_connection"]

_READ_BYTES = 65536


async def open_delayed_connection(
    host: str, port: int, delay_s: float
) -> tuple[asyncio.StreamReader, "asyncio.StreamWriter | DelayedWriter"]:
    """Open a connection whose two directions are late.

    Bytes, the end of the stream and resets pass in order, each late by the
    delay. So what a caller sends before it sees that the other end has closed
    meets a closed connection.

    Args:
        host: Address to connect to.
        port: Its port.
        delay_s: One-way delay, in seconds; 0 for a plain connection.

    Raises:
        OSError: The connection was refused, or ended before it could be used.
    """
    if not delay_s:
        return await asyncio.open_connection(host, port)
    await asyncio.sleep(delay_s)
    reader, writer = await asyncio.open_connection(host, port)
    late_reader = asyncio.StreamReader()
    outgoing, incoming = _DelayLine(delay_s), _DelayLine(delay_s)
    late_writer = DelayedWriter(writer, outgoing)
    late_writer.receiving = asyncio.create_task(
        _receive(reader, late_writer, late_reader, incoming)
    )
    await asyncio.sleep(delay_s)
    return late_reader, late_writer


class DelayedWriter:
    """Writer of a late connection; a part of ``asyncio.StreamWriter``.

    Args:
        writer: Writer of the connection.
        line: Line of what is sent.

    Attributes:
        is_aborted: Whether this end has ended the connection.
        receiving: Task that passes on what is received.
    """

    def __init__(self, writer: asyncio.StreamWriter, line: "_DelayLine"):
        self.receiving: asyncio.Task | None = None
        self._writer = writer
        self._line = line
        self.is_aborted = False

    @property
    def transport(self) -> "DelayedWriter":
        """Object with ``abort``."""
        return self

    def write(self, data: bytes) -> None:
        """Send bytes, which leave after the delay.

        Args:
            data: Bytes to send.
        """
        if not self.is_aborted:
            self._line.put(lambda: self._writer.write(data))

    def abort(self) -> None:
        """End the connection; the other end sees it after the delay."""
        if not self.is_aborted:
            self.is_aborted = True
            self._line.put(self._end)

    def _end(self) -> None:
        self._writer.transport.abort()
        self.receiving.cancel()


class _DelayLine:
    """Calls functions in order, each after the same delay."""

    def __init__(self, delay_s: float):
        self._delay_s = delay_s
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def put(self, call: Callable[[], None]) -> None:
        """Call a function after the delay.

        Args:
            call: Function to call.
        """
        self._waiting.append(call)
        # Timers of one time fire in no order: each calls the next in the line.
        asyncio.get_running_loop().call_later(self._delay_s, self._call_next)

    def _call_next(self) -> None:
        call = self._waiting.popleft()
        call()


async def _receive(
    reader: asyncio.StreamReader,
    late_writer: DelayedWriter,
    late_reader: asyncio.StreamReader,
    line: _DelayLine,
) -> None:
    def pass_on(call, *arguments):
        # A caller that has left reads nothing more.
        if not late_writer.is_aborted:
            call(*arguments)

    try:
        while data := await reader.read(_READ_BYTES):
            line.put(functools.partial(pass_on, late_reader.feed_data, data))
        line.put(functools.partial(pass_on, late_reader.feed_eof))
    except OSError as failure:
        line.put(functools.partial(pass_on, late_reader.set_exception, failure))
