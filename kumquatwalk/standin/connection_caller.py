"""Simulated caller that uses each connection until it ends."""

import asyncio
import functools
import random
import socket
from collections.abc import Callable

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.standin.attempt import LIMIT_S
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.connection_use import SLOW_READ_BYTES
from kumquatwalk.standin.connection_use import ConnectionUse
from kumquatwalk.standin.serial_caller import SerialCaller

__all__ = ["ConnectionCaller"]

_RETRY_S = 0.05
_BUFFER_BYTES = 65536
# Longest run that one request in ten asks for at least, in milliseconds.
_LONG_WORK_MS = 2000


class ConnectionCaller(SerialCaller):
    """Sends requests of one habit to one node, on plain sockets.

    Args:
        name: Name that begins the identifiers of its attempts.
        habit: Habit of the caller.
        node: Name of the node.
        address: Address of the node's listener for callers.
        get_pid: Returns the present process of the node.
        rng: Source of all choices.
        attempts: Gets each attempt when it is sent.
    """

    def __init__(
        self,
        name: str,
        habit: Habit,
        node: str,
        address: Address,
        get_pid: Callable[[], int],
        rng: random.Random,
        attempts: list[Attempt],
    ):
        super().__init__(name, habit, rng, attempts)
        self._node = node
        self._address = address
        self._get_pid = get_pid

    async def run(self) -> None:
        """Open one connection after the other, until stopped."""
        while not self._is_stopped:
            self._connections += 1
            pid = self._get_pid()
            try:
                reader, writer = await self._open()
            except OSError:
                await asyncio.sleep(_RETRY_S)
                continue
            if pid != self._get_pid() or self._is_stopped:
                # Either process may have accepted it.
                writer.transport.abort()
                continue
            self._use = ConnectionUse(
                self._habit,
                self._rng,
                reader,
                writer,
                functools.partial(self._make_attempt, pid),
            )
            await self._use.run()
            await asyncio.sleep(self._rng.uniform(0.0, _RETRY_S))

    async def _open(self):
        sock = socket.socket()
        sock.setblocking(False)
        if self._habit.read_pause_s:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES
            )
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, (self._address.host, self._address.port)
            )
        except BaseException:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=_BUFFER_BYTES)

    def _make_attempt(
        self, pid: int, position: int, is_behind: bool
    ) -> tuple[Attempt, bytes]:
        habit, rng = self._habit, self._rng
        attempt = Attempt(
            self._make_attempt_id(),
            habit.name,
            habit.is_safe,
            self._node,
            pid,
            self._connections,
            position,
            is_behind,
            rng.randint(*habit.sizes),
            read_now(),
        )
        shortest_ms, longest_ms = habit.work_ms
        if rng.random() < 0.1:
            longest_ms = max(longest_ms, _LONG_WORK_MS)
        route, method = ("look", "GET") if habit.is_safe else ("pay-pay", "PUT")
        body = b"" if habit.is_safe else b"x" * rng.randint(1, 3000)
        path = f"/{route}/{rng.randint(shortest_ms, longest_ms)}/{attempt.size}"
        return self._send(attempt, method, path, LIMIT_S, body)
