"""Frames over one TCP connection."""

import select
import socket
from typing import Any

from kumquatwalk.exception import FrameError
from kumquatwalk.exception import LinkError
from kumquatwalk.link.codec import HEADER_BYTES
from kumquatwalk.link.codec import decode_header
from kumquatwalk.link.codec import encode_message
from kumquatwalk.link.decoder import decode_message

__all__ = ["FrameStream", "has_input", "tune_socket"]

_READ_BYTES = 65536
_USER_TIMEOUT_MS = 5000


def tune_socket(sock: socket.socket) -> None:
    """Set the options that all TCP sockets of a node share.

    Small frames leave at once, and a connection whose peer acknowledges
    nothing for ``_USER_TIMEOUT_MS`` is closed by the system.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )


def has_input(sock: socket.socket, wait_ms: int = 0) -> bool:
    """Return whether bytes or the peer's close arrive at an idle socket.

    Args:
        sock: The socket.
        wait_ms: Longest wait in milliseconds.
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(wait_ms))


class FrameStream:
    """Sends and receives messages on a connected socket.

    One thread at a time may receive, and one may send.
    """

    def __init__(self, sock: socket.socket, payload_bytes_max: int):
        self._sock = sock
        self._payload_bytes_max = payload_bytes_max
        self._buffer = bytearray()

    def send(self, message: Any) -> None:
        """Send one message.

        Raises:
            LinkError: The connection failed; part may have been sent.
        """
        self.send_frame(encode_message(message))

    def send_frame(self, frame: bytes) -> None:
        """Send one encoded message.

        Raises:
            LinkError: The connection failed; part may have been sent.
        """
        try:
            self._sock.sendall(frame)
        except OSError as error:
            raise LinkError("link_failed", str(error), sent=True) from error

    def receive(self) -> Any:
        """Wait for one message.

        Returns:
            A message; None when the peer closed between two frames.

        Raises:
            TimeoutError: Nothing came within the socket's timeout.
            FrameError: The peer sent a malformed frame.
            LinkError: The connection failed.
        """
        if not self._fill(HEADER_BYTES):
            return None
        header = bytes(self._buffer[:HEADER_BYTES])
        kind, length = decode_header(header, self._payload_bytes_max)
        end = HEADER_BYTES + length
        if not self._fill(end):
            raise FrameError("frame_truncated", "the peer closed in a frame")
        payload = bytes(self._buffer[HEADER_BYTES:end])
        del self._buffer[:end]
        return decode_message(kind, payload)

    def has_input(self) -> bool:
        """Return whether bytes or the peer's close wait to be received."""
        return has_input(self._sock)

    def close(self) -> None:
        """Close the connection; a thread that receives on it wakes up."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()

    def _fill(self, size: int) -> bool:
        buffer = self._buffer
        while len(buffer) < size:
            wanted = max(_READ_BYTES, size - len(buffer))
            try:
                piece = self._sock.recv(min(wanted, 1 << 20))
            except TimeoutError:
                raise
            except OSError as error:
                raise LinkError("link_failed", str(error), True) from error
            if not piece:
                if buffer:
                    raise FrameError("frame_truncated", "closed in a frame")
                return False
            buffer += piece
        return True
