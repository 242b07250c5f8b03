"""HTTP client towards the target on this VM."""

import collections
import dataclasses
import http.client
import socket

import time

from urllib3 import exceptions as urllib3_exceptions
from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

from kumquatwalk.exception import LinkError
from kumquatwalk.gateway.headers import is_forwarded
from kumquatwalk.gateway.headers import join_headers
from kumquatwalk.link.stream import tune_socket

__all__ = ["TargetAnswer", "TargetClient"]

_CONNECT_TIMEOUT_S = 0.5
_IDLE_MAX_S = 5.0
_ERRORS = (
    OSError,
    ValueError,
    http.client.HTTPException,
    urllib3_exceptions.HTTPError,
)


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


class _Connection(HTTPConnection):
    """Connection that sends head and body with one system call."""

    last_used = 0.0

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._pieces: list[bytes] = []

    def connect(self) -> None:
        """Connect and set the options of a node's sockets."""
        super().connect()
        tune_socket(self.sock)

    def send(self, data) -> None:
        """Collect a piece of the request; ``flush`` sends them."""
        self._pieces.append(data)

    def flush(self) -> None:
        """Send what was collected."""
        data = b"".join(self._pieces)
        self._pieces.clear()
        self.sock.sendall(data)


class TargetClient:
    """Connections to one target; safe to use from many threads.

    Args:
        host: IP number of the target.
        port: TCP port of the target.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self._idle: collections.deque[_Connection] = collections.deque()

    def send(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> TargetAnswer:
        """Send a call and wait for the whole answer.

        A connection that did not bring a whole answer is closed, so a late
        answer never reaches another call.

        Raises:
            TimeoutError: No whole answer in time.
            LinkError: No connection, or it broke; ``sent`` tells whether the
                target may have got the call.
        """
        connection = self._take()
        is_whole = False
        try:
            connection.sock.settimeout(timeout_s)
            connection.request(
                method, url, body, headers, preload_content=False
            )
            connection.flush()
            answer = _read_answer(connection)
            is_whole = True
            return answer
        except (TimeoutError, urllib3_exceptions.TimeoutError) as error:
            raise TimeoutError from error
        except _ERRORS as error:
            raise LinkError("target_crashed", str(error), True) from error
        finally:
            if is_whole and not connection.is_closed:
                connection.last_used = time.monotonic()
                self._idle.append(connection)
            else:
                connection.close()

    def probe(self) -> bool:
        """Return whether the target takes a new connection."""
        try:
            sock = socket.create_connection(
                (self.host, self.port), timeout=_CONNECT_TIMEOUT_S
            )
        except OSError:
            return False
        sock.close()
        return True

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take(self) -> _Connection:
        oldest_use = time.monotonic() - _IDLE_MAX_S
        while self._idle:
            try:
                connection = self._idle.pop()
            except IndexError:
                break
            is_fresh = connection.last_used >= oldest_use
            if is_fresh and not wait_for_read(connection.sock, timeout=0):
                return connection
            connection.close()
        return self._open()

    def _open(self) -> _Connection:
        connection = _Connection(
            self.host, self.port, timeout=_CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except (OSError, urllib3_exceptions.HTTPError) as error:
            raise LinkError("target_absent", str(error), False) from error
        return connection


def _read_answer(connection: _Connection) -> TargetAnswer:
    response = connection.getresponse()
    body = response.read(decode_content=False)
    response.release_conn()
    lines = join_headers(
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
        if is_forwarded(name.lower().encode("latin-1"))
    )
    is_not_run = response.headers.get("Kumquat-Not-Run") == "1"
    return TargetAnswer(
        status=response.status,
        headers=lines,
        body=body,
        is_not_run=is_not_run and response.status == 503,
    )
