"""Calls that a target makes through the node beside it."""

import asyncio
import random

from kumquatwalk.clock import read_now
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.client_connection import ClientConnection
from kumquatwalk.http1.client_connection import open_connection
from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.daemon_fleet import HOST
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.platform_node import make_body
from kumquatwalk.standin.request_class import CLASSES

__all__ = ["TargetClient"]

_CONNECT_S = 1.0
# Timers may fire early by this, in seconds.
_TIMER_S = 0.002
_ANSWER_BYTES_MAX = 1 << 20


class TargetClient:
    """Sends calls on kept connections, each used by one call at a time.

    Args:
        node: Node that the calls go through.
        rng: Source of the work that is asked for.
        attempts: Gets each call when it is sent.
    """

    def __init__(
        self, node: PlatformNode, rng: random.Random, attempts: list[Attempt]
    ):
        self._node = node
        self._rng = rng
        self._attempts = attempts
        self._idle: list[tuple[ClientConnection, int, int]] = []
        self._connections = 0
        self._count = 0

    async def call(self, route: str, deadline: float) -> int:
        """Make a call.

        Args:
            route: Name of its route.
            deadline: Time at which the caller gives up, in seconds.

        Returns:
            Status of the answer; 0 without one.
        """
        try:
            connection, pid, number = await self._find_connection()
        except ExchangeError:
            return 0
        attempt, data = self._make_attempt(route, deadline, pid, number)
        try:
            async with asyncio.timeout(attempt.limit_s + _TIMER_S):
                answer = await connection.exchange(data)
        except TimeoutError:
            attempt.error = "limit"
        except ExchangeError as failure:
            attempt.error = failure.code
        except asyncio.CancelledError:
            attempt.error = "left"
            raise
        else:
            _note_answer(attempt, answer)
        finally:
            attempt.ended_at = read_now()
            if connection.is_usable:
                self._idle.append((connection, pid, number))
            else:
                connection.abort()
        return attempt.status

    def close(self) -> None:
        """Close the connections that are idle."""
        for connection, _, _ in self._idle:
            connection.abort()
        self._idle.clear()

    async def _find_connection(self) -> tuple[ClientConnection, int, int]:
        while self._idle:
            entry = self._idle.pop()
            if entry[0].is_usable:
                return entry
        self._connections += 1
        number, pid = self._connections, self._node.pid
        address = self._node.listeners["outbound"]
        connection = await open_connection(
            address, _CONNECT_S, _ANSWER_BYTES_MAX
        )
        if pid != self._node.pid:
            # Either process may have accepted it.
            connection.abort()
            raise ExchangeError("restarted", str(address), sent=False)
        return connection, pid, number

    def _make_attempt(
        self, route: str, deadline: float, pid: int, connection: int
    ) -> tuple[Attempt, bytes]:
        self._count += 1
        entry, now = CLASSES[route], read_now()
        path, size = entry.draw_path(self._rng)
        attempt = Attempt(
            f"{self._node.name}-call-{self._count}",
            "call",
            entry.is_safe,
            self._node.name,
            pid,
            connection,
            0,
            False,
            size,
            now,
            now,
            limit_s=max(0.001, min(entry.limit_s, deadline - now)),
        )
        self._attempts.append(attempt)
        headers = (
            (b"Host", HOST.encode()),
            (b"Attempt-Id", attempt.attempt_id.encode()),
            (b"Deadline-Ms", b"%d" % (1000 * attempt.limit_s)),
        )
        return attempt, encode_request(b"GET", path.encode(), headers, b"")


def _note_answer(attempt: Attempt, answer: HttpResponse) -> None:
    attempt.status = answer.status
    attempt.has_seal = answer.find_header(b"server-seal") is not None
    attempt.has_body = answer.body == make_body(
        attempt.attempt_id, attempt.size
    )
    attempt.is_last = answer.closes_connection
    attempt.received = len(answer.body)
