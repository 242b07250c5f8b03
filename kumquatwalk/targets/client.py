"""HTTP client of the target beside the node, with a connection pool."""

import asyncio
from collections.abc import Callable

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.event_loop import handle_pending_events
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.client_connection import ClientConnection
from kumquatwalk.http1.client_connection import open_connection
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.read_limiter import ReadLimiter
from kumquatwalk.http1.response_match import ResponseMatch
from kumquatwalk.http1.response_match import Verification

__all__ = ["TargetClient"]

# The target runs on the same VM.
CONNECT_TIMEOUT_S = 1.0
# Timeout of the check whether the target still accepts connections.
LISTENING_TIMEOUT_S = 0.25
# Time after a connection broke at which others show whether the target runs,
# in seconds. A process that ends closes all of them.
SETTLING_S = 0.02
# How long the connection must then stay open. A process that exits closes its
# sockets one after the other, so the listening one may still be open.
LISTENING_WATCH_S = 0.1
# Maximum size of a response body.
RESPONSE_BYTES_MAX = 64 * 1024 * 1024
# Fraction of the target's keep-alive time for which an idle connection is
# reused, so that the target does not close it while a request is sent.
KEEP_ALIVE_FRACTION = 0.6
# Maximum idle time of a reused connection when the target has not sent its
# keep-alive time.
DEFAULT_IDLE_MAX_S = 0.5
# Maximum idle time of a connection that is reused for a request that is not
# idempotent: an older one may be half-open.
NON_IDEMPOTENT_IDLE_MAX_S = 1.0


class TargetClient:
    """Sends requests to one target over pooled connections.

    Each connection carries one request at a time.

    Args:
        address: Address of the target.
        limiter: Pauses the reading of responses while the memory for bodies is
            used up; None for no bound.

    Attributes:
        address: Address of the target.
        connections_opened: Number of connections opened so far.
    """

    def __init__(self, address: Address, limiter: ReadLimiter | None = None):
        self.address = address
        self._limiter = limiter
        self._idle: list[ClientConnection] = []
        # Those on which a repeat of the last response could be taken for the
        # next one.
        self._idle_out_of_step: list[ClientConnection] = []
        self._connections: list[ClientConnection] = []
        self.connections_opened = 0
        self._listening_check: asyncio.Task | None = None

    def close(self) -> None:
        """Close the idle connections."""
        for idle in (self._idle, self._idle_out_of_step):
            for connection in idle:
                connection.abort()
            idle.clear()

    async def exchange(
        self,
        data: bytes,
        is_head: bool,
        is_idempotent: bool,
        match: Callable[[HttpResponse], ResponseMatch],
        on_send: Callable[[], None] = lambda: None,
        verification: Verification | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        Opens a connection when none in the pool can be reused.

        Args:
            data: Encoded request.
            is_head: Whether the method is HEAD, whose response has no body.
            is_idempotent: Whether the request may run more than once; otherwise
                only a recently used connection is reused, on which a repeat of
                the last response can be told from the next one.
            match: Returns which request a response names.
            on_send: Called before the first byte of the request is sent.
            verification: See ``ClientConnection.exchange``.

        Returns:
            The complete response.

        Raises:
            ExchangeError: The connection failed, or the response was incomplete
                or did not belong to the request.
        """
        connection = await self._acquire(is_idempotent)
        on_send()
        response = await connection.exchange(data, is_head, match, verification)
        self._release(connection, response)
        return response

    async def is_listening(self) -> bool:
        """Return whether the target still listens after a connection broke.

        When a process ends, all its connections close. So another one that is
        still open shortly after shows that the target runs. Without one, a new
        connection is opened and must stay open for ``LISTENING_WATCH_S``. All
        callers at one moment share one check.
        """
        if self._listening_check is None or self._listening_check.done():
            self._listening_check = asyncio.get_running_loop().create_task(
                self._check_listening()
            )
        return await asyncio.shield(self._listening_check)

    async def _check_listening(self) -> bool:
        if any(c.is_open for c in self._connections):
            await asyncio.sleep(SETTLING_S)
            await handle_pending_events()
            if any(c.is_open for c in self._connections):
                return True
        try:
            connection = await open_connection(
                self.address, LISTENING_TIMEOUT_S, RESPONSE_BYTES_MAX
            )
        except ExchangeError:
            return False  # an expected result of the check
        await asyncio.sleep(LISTENING_WATCH_S)
        await handle_pending_events()
        is_open = connection.is_open
        connection.abort()
        return is_open

    async def _acquire(self, is_idempotent: bool) -> ClientConnection:
        now = read_now()
        connection = None
        if is_idempotent:
            connection = _take_fresh(self._idle_out_of_step, True, now)
        connection = connection or _take_fresh(self._idle, is_idempotent, now)
        if connection is not None:
            return connection
        if self._idle_out_of_step:
            # The new connection takes its place at the target.
            self._idle_out_of_step.pop().abort()
        self.connections_opened += 1
        connection = await open_connection(
            self.address,
            CONNECT_TIMEOUT_S,
            RESPONSE_BYTES_MAX,
            limiter=self._limiter,
        )
        self._connections = [c for c in self._connections if c.is_open]
        self._connections.append(connection)
        return connection

    def _release(
        self, connection: ClientConnection, response: HttpResponse
    ) -> None:
        if not connection.is_usable:
            return
        connection.idle_since = read_now()
        timeout_s = _read_keep_alive(response)
        if timeout_s is not None:
            connection.keep_alive_s = timeout_s
        if connection.is_in_step:
            self._idle.append(connection)
        else:
            self._idle_out_of_step.append(connection)


def _take_fresh(
    idle: list[ClientConnection], is_idempotent: bool, now: float
) -> ClientConnection | None:
    """Remove and return the connection used last; None if all are too old."""
    while idle:
        connection = idle.pop()
        idle_s = now - connection.idle_since
        keep_alive_s = connection.keep_alive_s
        idle_max_s = (
            DEFAULT_IDLE_MAX_S
            if keep_alive_s is None
            else keep_alive_s * KEEP_ALIVE_FRACTION
        )
        if not is_idempotent:
            idle_max_s = min(idle_max_s, NON_IDEMPOTENT_IDLE_MAX_S)
        if connection.is_usable and idle_s < idle_max_s:
            return connection
        connection.abort()
    return None


def _read_keep_alive(response: HttpResponse) -> float | None:
    value = response.find_header(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
