"""Simulated caller of a deployment, for one zone and class of requests."""

import asyncio
import functools
import random
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.connection_use import ConnectionUse
from kumquatwalk.standin.delayed_connection import open_delayed_connection
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.request_class import RequestClass
from kumquatwalk.standin.serial_caller import SerialCaller

__all__ = ["DeploymentCaller"]

_RETRY_S = 0.05
_BODY_BYTES_MAX = 1800


class DeploymentCaller(SerialCaller):
    """Sends requests of one class, one connection after the other.

    Args:
        name: Name that begins the identifiers of its attempts.
        habit: Habit of the caller. A connection is used until it ends.
        entry: Class of the requests.
        choose_node: Returns the node for the next connection.
        rng: Source of all choices.
        attempts: Gets each attempt when it is sent.
        delay_s: One-way delay of its connections, in seconds.
    """

    def __init__(
        self,
        name: str,
        habit: Habit,
        entry: RequestClass,
        choose_node: Callable[[], PlatformNode],
        rng: random.Random,
        attempts: list[Attempt],
        delay_s: float = 0.0,
    ):
        super().__init__(name, habit, rng, attempts)
        self._entry = entry
        self._choose_node = choose_node
        self._delay_s = delay_s

    async def run(self) -> None:
        """Open one connection after the other, until stopped."""
        entry, habit = self._entry, self._habit
        while not self._is_stopped:
            await asyncio.sleep(self._rng.uniform(*habit.reconnect_s))
            node = self._choose_node()
            pid = node.pid
            address = node.listeners["outbound"]
            try:
                reader, writer = await open_delayed_connection(
                    address.host, address.port, self._delay_s
                )
            except OSError:
                await asyncio.sleep(_RETRY_S)
                continue
            if pid != node.pid or self._is_stopped:
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
        entry, rng = self._entry, self._rng
        path, size = entry.draw_path(rng)
        attempt = Attempt(
            self._make_attempt_id(),
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
        return self._send(attempt, method, path, entry.limit_s, body)
