"""Simulated caller of a deployment, for one zone and class of requests."""

import asyncio
import functools
import random
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.connection_use import ConnectionUse
from kumquatwalk.standin.daemon_fleet import HOST
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.request_class import RequestClass

__all__ = ["DeploymentCaller"]

_RETRY_S = 0.05
_BODY_BYTES_MAX = 1800


class DeploymentCaller:
    """Sends requests of one class, one connection after the other.

    Args:
        name: Name that begins the identifiers of its attempts.
        habit: Habit of the caller. A connection is used until it ends.
        entry: Class of the requests.
        choose_node: Returns the node for the next connection.
        rng: Source of all choices.
        attempts: Gets each attempt when it is sent.
    """

    def __init__(
        self,
        name: str,
        habit: Habit,
        entry: RequestClass,
        choose_node: Callable[[], PlatformNode],
        rng: random.Random,
        attempts: list[Attempt],
    ):
        self._name = name
        self._habit = habit
        self._entry = entry
        self._choose_node = choose_node
        self._rng = rng
        self._attempts = attempts
        self._connections = 0
        self._count = 0
        self._is_stopped = False
        self._use: ConnectionUse | None = None

    def stop(self) -> None:
        """Send no further request; ``run`` returns after the last answer."""
        self._is_stopped = True
        if self._use is not None:
            self._use.stop()

    async def run(self) -> None:
        """Open one connection after the other, until stopped."""
        entry, habit = self._entry, self._habit
        while not self._is_stopped:
            await asyncio.sleep(self._rng.uniform(*habit.reconnect_s))
            node = self._choose_node()
            pid = node.pid
            address = node.listeners["outbound"]
            try:
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
            except OSError:
                await asyncio.sleep(_RETRY_S)
                continue
            if pid != node.pid:
                # Either process may have accepted it.
                writer.transport.abort()
                continue
            self._connections += 1
            self._use = ConnectionUse(
                habit,
                self._rng,
                reader,
                writer,
                functools.partial(self._make_attempt, node.name, pid),
                max(0.0, entry.limit_s - entry.timeout_s),
            )
            await self._use.run()

    def _make_attempt(
        self, node: str, pid: int, position: int, is_behind: bool
    ) -> tuple[Attempt, bytes]:
        self._count += 1
        entry, rng = self._entry, self._rng
        path, size = entry.draw_path(rng)
        attempt = Attempt(
            f"{self._name}-{self._count}",
            self._habit.name,
            entry.is_safe,
            node,
            pid,
            self._connections,
            position,
            is_behind,
            size,
            read_now(),
            limit_s=min(entry.limit_s, entry.timeout_s),
        )
        method = "GET" if entry.is_safe else "POST"
        body = b"" if entry.is_safe else b"x" * rng.randint(1, _BODY_BYTES_MAX)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {attempt.attempt_id}\r\n"
            f"Deadline-Ms: {entry.limit_s * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._attempts.append(attempt)
        return attempt, head.encode() + body
