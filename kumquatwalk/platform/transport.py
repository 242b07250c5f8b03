"""Exchange of one HTTP request and answer with the platform's service."""

import threading
import time

import urllib3

from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.exception import SettingError
from kumquatwalk.platform.answer import Answer
from kumquatwalk.platform.protocol import MAX_ANSWER_BYTES

__all__ = ["Transport"]

READ_CHUNK_BYTES = 65_536
MAX_IDLE_CONNECTIONS = 8
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Transport:
    """Connections to one address of the service, without any retry.

    After a failure all idle connections are dropped, because one that went
    silent suggests that the others did too.

    Args:
        address: Address of the service as ``host:port``.
        source_host: Local IP number that connections are bound to; None
            leaves the choice to the system.
        timeout_s: Bound on the connection attempt and, apart from it, on the
            time from the request until the whole answer.
    """

    def __init__(self, address: str, source_host: str | None, timeout_s: float):
        self.address = address
        self._host, self._port = _split_address(address)
        self._source = (source_host, 0) if source_host else None
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._pool = self._make_pool()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            pool = self._pool
        pool.close()

    def exchange(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Answer:
        """Send a request and return the whole answer.

        Args:
            method: HTTP method; only ``GET`` counts as a read.
            url: Path and query.
            body: Body to send, if any.
            wait_s: Time that the service may hold the request, added to the
                time allowed for the answer.

        Returns:
            The answer, whatever its status below 500.

        Raises:
            PlatformUnavailableError: If the request was certainly not sent.
            PlatformReadError: If a read was sent and got no usable answer.
            OutcomeUnknownError: If a write was sent and got none.
        """
        pool = self._pool
        read_s = self._timeout_s + wait_s
        deadline = time.monotonic() + self._timeout_s + read_s
        timeout = urllib3.Timeout(connect=self._timeout_s, read=read_s)
        try:
            response = pool.urlopen(
                method,
                url,
                body=body,
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
            )
            return self._read(method, response, deadline)
        except _NOT_SENT as error:
            self._replace(pool)
            raise PlatformUnavailableError(
                "platform_unreachable", f"{self.address}: {error}"
            ) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._replace(pool)
            raise self._make_lost_error(method, str(error)) from error

    def _read(self, method, response, deadline: float) -> Answer:
        body = bytearray()
        while True:
            chunk = response.read1(READ_CHUNK_BYTES)
            if not chunk:
                break
            body += chunk
            late = time.monotonic() > deadline
            if late or len(body) > MAX_ANSWER_BYTES:
                response.close()
                reason = "too slow" if late else "too large"
                raise self._make_lost_error(method, f"answer {reason}")
        response.release_conn()
        if response.status >= 500:
            text = f"status {response.status}"
            raise self._make_lost_error(method, text)
        return Answer(response.status, response.headers, bytes(body))

    def _make_lost_error(self, method: str, reason: str) -> Exception:
        kind = PlatformReadError if method == "GET" else OutcomeUnknownError
        return kind("platform_answer_lost", f"{self.address}: {reason}")

    def _replace(self, failed: urllib3.HTTPConnectionPool) -> None:
        with self._lock:
            if self._pool is failed:
                self._pool = self._make_pool()

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self._host,
            self._port,
            maxsize=MAX_IDLE_CONNECTIONS,
            block=False,
            source_address=self._source,
        )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise SettingError(
            "platform_address_invalid",
            f"{address!r} is not host:port with a port of 1 to 65535",
        )
    return host, int(port)
