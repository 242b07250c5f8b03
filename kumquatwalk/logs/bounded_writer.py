"""Non-blocking writer of log lines with a bounded buffer."""

import os

__all__ = ["BoundedWriter"]

# Holds the lines that a busy node logs in a few seconds; small compared with
# the memory of the node.
BUFFER_BYTES_MAX = 256 * 1024


class BoundedWriter:
    """Writes whole lines to a file descriptor without blocking the caller.

    A pipe accepts no more bytes once it is full because its reader does not
    read. Lines are then kept in a bounded buffer, and lines that do not fit
    into it are dropped and counted. The next line that does fit is preceded by
    a ``log_lines_lost`` line with the number of dropped lines.

    Args:
        descriptor: Open file descriptor; it is made non-blocking.
        buffer_bytes_max: Size limit of the buffer, in bytes.

    Attributes:
        lost_count: Number of lines dropped so far.
    """

    def __init__(
        self, descriptor: int, buffer_bytes_max: int = BUFFER_BYTES_MAX
    ):
        self._descriptor = descriptor
        self._buffer_bytes_max = buffer_bytes_max
        self._buffer = bytearray()
        self._unreported_count = 0
        self.lost_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Buffer one line, or drop and count it if it does not fit.

        Args:
            line: Text that ends with a line break.

        Raises:
            OSError: Writing to the descriptor failed for another reason than
                that it would block.
        """
        data = line.encode("utf-8", "replace")
        if self._unreported_count:
            notice = f"event=log_lines_lost count={self._unreported_count}\n"
            data = notice.encode() + data
        if len(self._buffer) + len(data) > self._buffer_bytes_max:
            self._drain()
        if len(self._buffer) + len(data) > self._buffer_bytes_max:
            self.lost_count += 1
            self._unreported_count += 1
            return
        self._unreported_count = 0
        self._buffer += data

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking.

        Raises:
            OSError: Writing to the descriptor failed for another reason than
                that it would block.
        """
        self._drain()

    def _drain(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return  # the pipe is full: the rest stays in the buffer
            del self._buffer[:written]
