"""HTTP client towards the target on this VM."""

import collections
import dataclasses
import socket
import time

import httptools

from kumquatwalk.exception import LinkError
from kumquatwalk.gateway.answer_parser import AnswerParser
from kumquatwalk.link.stream import has_input
from kumquatwalk.link.stream import tune_socket

__all__ = ["TargetAnswer", "TargetClient"]

_CONNECT_TIMEOUT_S = 0.5
_IDLE_MAX_S = 5.0
_PROBE_HOLD_MS = 50
_READ_BYTES = 65536
_SHED_STATUS = 503


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Whole answer of a target.

    Attributes:
        status: HTTP status.
        headers: Header lines to pass on, each ended by CR LF.
        body: Whole body.
        is_not_run: Whether the target says that it did not run the call.
    """

    status: int
    headers: bytes
    body: bytes
    is_not_run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Connection:
    sock: socket.socket
    last_used: float


class TargetClient:
    """Connections to one target; safe to use from many threads.

    A connection belongs to the thread that took it.

    Args:
        host: IP number of the target.
        port: TCP port of the target.
        body_bytes_max: Longest body accepted in an answer.
    """

    def __init__(self, host: str, port: int, body_bytes_max: int):
        self.host = host
        self.port = port
        self._body_bytes_max = body_bytes_max
        self._host_line = f"Host: {host}:{port}\r\n".encode()
        self._idle: collections.deque[_Connection] = collections.deque()

    def send(
        self,
        method: str,
        url: bytes,
        headers: bytes,
        body: bytes,
        timeout_s: float,
    ) -> TargetAnswer:
        """Send a call and wait for the whole answer.

        A connection that did not bring a whole answer is closed, so a late
        answer never reaches another call.

        Args:
            method: HTTP method.
            url: Path and query.
            headers: Header lines, each ended by CR LF.
            body: Whole body.
            timeout_s: Longest time for the call.

        Raises:
            TimeoutError: No whole answer in time.
            LinkError: No connection, or it broke; ``sent`` tells whether the
                target may have got the call.
        """
        deadline = time.monotonic() + timeout_s
        sock = self._take()
        parser = AnswerParser(method == "HEAD", self._body_bytes_max)
        is_kept = False
        try:
            sock.settimeout(timeout_s)
            sock.sendall(self._join(method, url, headers, body))
            _receive(sock, parser, deadline)
            is_kept = parser.should_keep_alive
        except TimeoutError:
            raise
        except (OSError, httptools.HttpParserError) as error:
            raise LinkError("target_crashed", str(error), True) from error
        finally:
            if is_kept:
                self._idle.append(_Connection(sock, time.monotonic()))
            else:
                sock.close()
        is_not_run = parser.is_not_run and parser.status == _SHED_STATUS
        return TargetAnswer(
            parser.status, parser.headers, parser.body, is_not_run
        )

    def probe(self) -> bool:
        """Return whether the target takes a new connection and keeps it.

        A target that is dying may still take one before its listener closes.
        """
        try:
            sock = self._open()
        except LinkError:
            return False
        is_closed = has_input(sock, _PROBE_HOLD_MS)
        sock.close()
        return not is_closed

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().sock.close()

    def _join(
        self, method: str, url: bytes, headers: bytes, body: bytes
    ) -> bytes:
        start = b"%b %b HTTP/1.1\r\n" % (method.encode("ascii"), url)
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        return start + self._host_line + headers + length + body

    def _take(self) -> socket.socket:
        oldest_use = time.monotonic() - _IDLE_MAX_S
        while self._idle:
            try:
                connection = self._idle.pop()
            except IndexError:
                break
            is_fresh = connection.last_used >= oldest_use
            if is_fresh and not has_input(connection.sock):
                return connection.sock
            connection.sock.close()
        return self._open()

    def _open(self) -> socket.socket:
        try:
            sock = socket.create_connection(
                (self.host, self.port), timeout=_CONNECT_TIMEOUT_S
            )
        except OSError as error:
            raise LinkError("target_absent", str(error), False) from error
        tune_socket(sock)
        return sock


def _receive(
    sock: socket.socket, parser: AnswerParser, deadline: float
) -> None:
    while not parser.is_complete:
        data = sock.recv(_READ_BYTES)
        if not data:
            raise ConnectionResetError("closed before the whole answer")
        parser.feed(data)
        if parser.is_too_long:
            raise ConnectionAbortedError("the answer's body is over the limit")
        if not parser.is_complete:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError
            sock.settimeout(left_s)
