"""Reader and writer of one HTTP connection.

cheroot builds its own on the pure Python ``_pyio`` module. These read from
the socket into one buffer and send each answer with a single system call.
"""

import socket

__all__ = ["StreamReader", "StreamWriter", "make_stream"]

_READ_BYTES = 65536
_LINE_BYTES_MAX = 65536


class StreamReader:
    """Buffered reader with the methods that cheroot calls.

    Attributes:
        bytes_read: Bytes handed out so far.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._buffer = bytearray()
        self.bytes_read = 0

    def readline(self, size: int | None = None) -> bytes:
        """Return a line with its end, at most ``size`` bytes of it.

        Without a size a line is cut at ``_LINE_BYTES_MAX``.
        """
        if size is None:
            size = _LINE_BYTES_MAX
        searched = 0
        while True:
            end = self._buffer.find(b"\n", searched) + 1
            if end or len(self._buffer) >= size:
                break
            searched = len(self._buffer)
            if not self._fill():
                end = len(self._buffer)
                break
        return self._hand_out(min(end or size, size))

    def read(self, size: int | None = None) -> bytes:
        """Return ``size`` bytes, fewer only when the peer closed."""
        while size is None or len(self._buffer) < size:
            if not self._fill():
                break
        return self._hand_out(len(self._buffer) if size is None else size)

    def has_data(self) -> bool:
        """Return whether bytes are buffered."""
        return bool(self._buffer)

    def close(self) -> None:
        """Forget what is buffered; the socket belongs to the connection."""
        self._buffer.clear()

    def _fill(self) -> bool:
        piece = self._sock.recv(_READ_BYTES)
        self._buffer += piece
        return bool(piece)

    def _hand_out(self, size: int) -> bytes:
        piece = bytes(self._buffer[:size])
        del self._buffer[:size]
        self.bytes_read += len(piece)
        return piece


class StreamWriter:
    """Unbuffered writer with the methods that cheroot calls.

    Attributes:
        bytes_written: Bytes sent so far.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send all of the data."""
        self._sock.sendall(data)
        self.bytes_written += len(data)
        return len(data)

    def close(self) -> None:
        """Do nothing; the socket belongs to the connection."""


def make_stream(
    sock: socket.socket, mode: str, _: int = 0
) -> StreamReader | StreamWriter:
    """Return a reader or a writer, in the form that cheroot asks for."""
    return StreamReader(sock) if "r" in mode else StreamWriter(sock)
