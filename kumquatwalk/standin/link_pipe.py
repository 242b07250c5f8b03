"""One direction of a connection that a proxy forwards."""

import asyncio
import contextlib

from kumquatwalk.clock import read_now

__all__ = ["LinkPipe"]

_READ_BYTES = 65536
# Pieces that wait here before the proxy stops reading.
_PIECES_MAX = 64


class LinkPipe:
    """Forwards bytes in order, late or not at all.

    Args:
        reader: Reader of the connection that sends.
        writer: Writer of the connection that receives.

    Attributes:
        delay_s: Time by which bytes read from now on are late, in seconds.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.delay_s = 0.0
        self._reader = reader
        self._writer = writer
        self._pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _PIECES_MAX
        )
        self._is_open = asyncio.Event()
        self._is_open.set()

    def set_silent(self, is_silent: bool) -> None:
        """Hold all bytes and the end of the stream, or forward them again.

        Args:
            is_silent: Whether nothing is forwarded.
        """
        if is_silent:
            self._is_open.clear()
        else:
            self._is_open.set()

    async def run(self, first: bytes = b"") -> None:
        """Forward until the end of the stream.

        Args:
            first: Bytes that have been read already.

        Raises:
            OSError: One of the connections was reset.
        """
        writing = asyncio.create_task(self._write_all())
        try:
            if first:
                await self._put(first)
            while data := await self._reader.read(_READ_BYTES):
                await self._put(data)
            await self._put(b"")
            await writing
        except OSError:
            # A reset does not pass a silent connection either.
            await self._is_open.wait()
            raise
        finally:
            writing.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await writing

    async def _put(self, data: bytes) -> None:
        await self._pieces.put((read_now() + self.delay_s, data))

    async def _write_all(self) -> None:
        while True:
            due_at, data = await self._pieces.get()
            await asyncio.sleep(max(0.0, due_at - read_now()))
            await self._is_open.wait()
            if self._writer.is_closing():
                raise ConnectionResetError
            if not data:
                self._writer.write_eof()
                return
            self._writer.write(data)
            await self._writer.drain()
