"""Transport whose client takes bytes when a test says so."""

import asyncio

__all__ = ["ScriptedTransport", "parse_answers"]


def parse_answers(data: bytes) -> list[tuple[int, bool, bytes]]:
    """Return status, announced close and body of each complete answer.

    Interim answers are left out.

    Args:
        data: Bytes written by a server, to requests other than HEAD.

    Raises:
        AssertionError: The bytes end within an answer.
    """
    answers = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 100 "):
            data = rest
            continue
        lines = head.lower().split(b"\r\n")
        size = next(
            int(line.partition(b":")[2])
            for line in lines
            if line.startswith(b"content-length:")
        )
        assert len(rest) >= size, data
        is_last = b"connection: close" in lines
        answers.append((int(head.split()[1]), is_last, rest[:size]))
        data = rest[size:]
    return answers


class ScriptedTransport:
    """Transport with a buffer, without a network.

    Its high-water mark is 0, as the connection asks for: it pauses the protocol
    while its buffer is not empty.

    Args:
        loop: Event loop of the test.
        protocol: The connection under test.

    Attributes:
        taken: Bytes that the client has taken.
        buffer: Bytes written and not taken.
        is_blocked: Whether the client takes no bytes.
        is_lost: Whether the protocol has been told that the connection is lost.
        was_cut: Whether the protocol has aborted the connection.
        written_answers: Number of answers written.
        has_written_close: Whether an answer has announced the close.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol
    ):
        self._loop = loop
        self._protocol = protocol
        self._inbox: list[bytes] = []
        self._is_reading = True
        self._is_closing = False
        self._has_eof = False
        self._has_left = False
        self.taken = bytearray()
        self.buffer = bytearray()
        self.is_blocked = False
        self.is_lost = False
        self.was_cut = False
        self.written_answers = 0
        self.has_written_close = False

    # Steps of the client.

    def deliver(self, data: bytes) -> None:
        """Let data arrive; the protocol gets it while it reads."""
        self._inbox.append(data)
        self._read()

    def unblock(self) -> None:
        """Take all bytes, and further ones when they are written."""
        self.is_blocked = False
        if not self.buffer:
            return
        self.taken += self.buffer
        self.buffer.clear()
        self._protocol.resume_writing()
        if self._is_closing and not self.buffer:
            self._lose(None)

    def take(self, size: int) -> None:
        """Take the first bytes of the buffer while the client is blocked.

        Args:
            size: Number of bytes, fewer than the buffer holds.
        """
        assert self.is_blocked and size < len(self.buffer)
        self.taken += self.buffer[:size]
        del self.buffer[:size]

    def half_close(self) -> None:
        """Let the client end its side; it reads on."""
        if self._is_closing:
            return
        if not self._protocol.eof_received():
            self.close()

    def leave(self) -> None:
        """Let the client close: what comes to it brings a reset."""
        self._has_left = True
        if self.buffer:
            self.reset()
        else:
            self.half_close()

    def reset(self) -> None:
        """Let the client reset the connection."""
        self._lose(ConnectionResetError())

    # Methods of asyncio.Transport.

    def get_extra_info(self, name, default=None):
        """Return the default: there is no socket."""
        del name
        return default

    def set_write_buffer_limits(self, high=None, low=None):
        """Check the limits that this class implements."""
        assert high == 0 and not low

    def get_write_buffer_size(self):
        """Return the number of bytes not taken."""
        return len(self.buffer)

    @property
    def has_ended(self) -> bool:
        """Whether the protocol has ended the stream or closed."""
        return self._has_eof or self._is_closing

    def can_write_eof(self):
        """Return True, as TCP does."""
        return True

    def write_eof(self):
        """Note the end of the stream."""
        self._has_eof = True

    def is_closing(self):
        """Return whether the transport is closing or closed."""
        return self._is_closing

    def write(self, data):
        """Pass bytes to the client, or buffer them while it takes none."""
        assert not self._has_eof, "written after the end of the stream"
        assert not self.buffer, "written while the buffer is not empty"
        if self._is_closing:
            return
        answers = parse_answers(data)
        self.written_answers += len(answers)
        self.has_written_close |= any(answer[1] for answer in answers)
        if self._has_left:
            self._lose(ConnectionResetError())
            return
        if self.is_blocked:
            self.buffer += data
            self._protocol.pause_writing()
        else:
            self.taken += data

    def pause_reading(self):
        """Keep what arrives until reading resumes."""
        assert self._is_reading
        self._is_reading = False

    def resume_reading(self):
        """Pass on what has arrived."""
        assert not self._is_reading
        self._is_reading = True
        self._loop.call_soon(self._read)

    def close(self):
        """Close once the buffer is empty."""
        if not self._is_closing:
            self._is_closing = True
            if not self.buffer:
                self._lose(None)

    def abort(self):
        """Discard the buffer and close."""
        self.was_cut = True
        self._lose(None)

    def _read(self) -> None:
        while self._inbox and self._is_reading and not self._is_closing:
            self._protocol.data_received(self._inbox.pop(0))

    def _lose(self, error: Exception | None) -> None:
        self._is_closing = True
        self.buffer.clear()
        self._loop.call_soon(self._tell_loss, error)

    def _tell_loss(self, error: Exception | None) -> None:
        if not self.is_lost:
            self.is_lost = True
            self._protocol.connection_lost(error)
