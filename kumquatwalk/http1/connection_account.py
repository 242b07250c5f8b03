"""Memory, connections and pipelined requests of the clients of a listener."""

import enum
from collections.abc import Callable
from typing import Protocol

from kumquatwalk.clock import read_now
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level

__all__ = [
    "CloseReason",
    "ConnectionAccount",
    "ConnectionState",
    "count_connections_max",
    "count_reserved_descriptors",
]

# Memory of a connection without a request, in bytes; measured 6,500.
CONNECTION_BYTES = 8 * 1024
# Memory of a request beside its head and body, in bytes: the objects of its
# exchange, its task and its call.
REQUEST_BYTES = 4 * 1024
# Defaults for listeners that are given no account of the process.
BYTES_MAX = 32 * 1024 * 1024
CONNECTIONS_MAX = 3072
# Requests behind others on their connections that are handled at once, over
# all connections. Callers pipeline a few requests each.
PIPELINED_MAX = 1024
# Fraction of the memory from which no further request is read behind others.
SHORT_FRACTION = 0.75
# Multiple of the memory at which requests are refused: a piece of input with
# many small requests exceeds the memory for a moment.
OVERRUN_MAX = 1.25
# Fraction of the connections, or of the bytes, that a shortage frees at once of
# incomplete requests: looking for the oldest takes a walk over all connections.
BATCH_FRACTION = 1 / 16
# Time for which a body has stopped before it makes room for another, in
# seconds; uploads that go on do not end each other.
STALLED_S = 1.0
# Interval between two searches that find nothing to close, in seconds.
SEARCH_INTERVAL_S = 0.05

# Fraction of the descriptors that is kept for links, target, store and logs.
RESERVED_FRACTION = 0.25
# Minimum of that reserve: 100 connections to the target and the links of a
# node; at most half of all descriptors.
RESERVED_MIN = 256


class CloseReason(enum.StrEnum):
    """What ran short when a connection was closed."""

    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
    BODIES = "bodies"


class ConnectionState(enum.IntEnum):
    """What a connection holds, in the order in which connections are closed."""

    INCOMPLETE = 0  # No request, or a part of one; nothing is owed.
    IDLE = 1  # Its requests have been answered, or it is closing.
    UNTAKEN = 2  # Its answers are made, and the client reads them slowly.
    BUSY = 3  # A request is handled or its answer is being taken.


class AccountedConnection(Protocol):
    """Connection of a client as the account sees it."""

    def find_state(self, now: float) -> ConnectionState:
        """Return what the connection holds."""

    def find_progress_at(self) -> float:
        """Return the time at which bytes last came or were taken."""

    def count_body_bytes(self) -> int:
        """Return the bytes reserved for a body received in part."""

    def count_body_parts(self) -> int:
        """Return the small parts reserved for a body received in part."""

    def trim_input(self) -> int:
        """Drop requests that are not parsed yet; return the bytes freed."""

    def close_for_shortage(self, reason: CloseReason) -> None:
        """Close the connection; it releases a body at once."""


class ConnectionAccount:
    """Bounds what the connections of clients hold, and closes some if need be.

    Connections without a complete request are closed first, in the order of
    their last progress, then idle ones, then those whose clients read slowly.
    Those with a request in progress are not closed; a connection that would
    exceed the limits all the same is closed when it opens, and requests are
    refused as not run.

    Args:
        bytes_max: Bytes for connections, heads and bytes not parsed yet.
        connections_max: Maximum number of connections.
        on_closed: Called with the reason of each close.

    Attributes:
        used: Bytes held at present.
        pipelined: Requests behind others on their connections.
    """

    def __init__(
        self,
        bytes_max: int = BYTES_MAX,
        connections_max: int = CONNECTIONS_MAX,
        on_closed: Callable[[CloseReason], None] = lambda _: None,
    ):
        self._bytes_max = bytes_max
        self._connections_max = connections_max
        self._on_closed = on_closed
        # Bytes and pipelined requests of each connection.
        self._held: dict[AccountedConnection, tuple[int, int]] = {}
        self._searched_at = -SEARCH_INTERVAL_S
        self.used = 0
        self.pipelined = 0

    @property
    def connections(self) -> int:
        """Number of connections."""
        return len(self._held)

    @property
    def is_short(self) -> bool:
        """Whether no further request is read behind others."""
        return self.used >= self._bytes_max * SHORT_FRACTION

    @property
    def is_exhausted(self) -> bool:
        """Whether requests are refused."""
        return self.used > self._bytes_max * OVERRUN_MAX

    @property
    def is_crowded(self) -> bool:
        """Whether no further request is handled behind others."""
        return self.pipelined >= PIPELINED_MAX or self.is_short

    def open(self, connection: AccountedConnection) -> bool:
        """Count a new connection; return whether it may stay.

        Args:
            connection: Connection, which the caller closes if it may not stay.
        """
        if len(self._held) >= self._connections_max:
            excess = len(self._held) + 1 - self._connections_max
            closed = self._close_connections(excess)
            if closed < excess:
                self._on_closed(CloseReason.DESCRIPTORS)
                self._log(1, CloseReason.DESCRIPTORS)
                return False
        self._held[connection] = (0, 0)
        self.update(connection, 0, 0)
        return True

    def update(
        self, connection: AccountedConnection, head_bytes: int, requests: int
    ) -> None:
        """Set what an open connection holds.

        Args:
            connection: The connection; one that is not counted is ignored.
            head_bytes: Bytes of heads and of what is not parsed yet.
            requests: Requests received completely and not answered.
        """
        held = self._held.get(connection)
        if held is None:
            return
        size = CONNECTION_BYTES + head_bytes + requests * REQUEST_BYTES
        pipelined = max(0, requests - 1)
        if held == (size, pipelined):
            return
        self._held[connection] = (size, pipelined)
        self.used += size - held[0]
        self.pipelined += pipelined - held[1]
        if size > held[0] and self.used > self._bytes_max:
            self._reclaim_bytes(connection)

    def close(self, connection: AccountedConnection) -> None:
        """Forget a connection, counted or not."""
        size, pipelined = self._held.pop(connection, (0, 0))
        self.used -= size
        self.pipelined -= pipelined

    def reclaim_bodies(self, size: int) -> None:
        """Refuse requests whose bodies have stopped to come.

        Args:
            size: Bytes of bodies to free, if so many have stopped.
        """
        self._reclaim_bodies(size, lambda c: c.count_body_bytes())

    def reclaim_parts(self, count: int) -> None:
        """Refuse requests whose bodies in small parts have stopped to come.

        Args:
            count: Parts to free, if so many have stopped.
        """
        self._reclaim_bodies(count, lambda c: c.count_body_parts())

    def _reclaim_bodies(
        self, size: int, count_held: Callable[[AccountedConnection], int]
    ) -> None:
        now = read_now()
        if not self._may_search(now):
            return
        closed = 0
        for connection in self._list(ConnectionState.INCOMPLETE, now):
            if size <= 0 or now - connection.find_progress_at() < STALLED_S:
                break
            held = count_held(connection)
            if held:
                size -= held
                closed += 1
                connection.close_for_shortage(CloseReason.BODIES)
                self._on_closed(CloseReason.BODIES)
        self._note_search(now, closed, CloseReason.BODIES)

    def _close_connections(self, excess: int) -> int:
        """Close connections for want of descriptors; return their number."""
        now = read_now()
        if not self._may_search(now):
            return 0
        batch = max(excess, int(self._connections_max * BATCH_FRACTION))
        chosen = self._list(ConnectionState.INCOMPLETE, now)[:batch]
        for state in (ConnectionState.IDLE, ConnectionState.UNTAKEN):
            if len(chosen) < excess:
                chosen += self._list(state, now)[: excess - len(chosen)]
        for connection in chosen:
            self._close(connection, CloseReason.DESCRIPTORS)
        self._note_search(now, len(chosen), CloseReason.DESCRIPTORS)
        return len(chosen)

    def _reclaim_bytes(self, keeper: AccountedConnection) -> None:
        now = read_now()
        if not self._may_search(now):
            return
        goal = int(self._bytes_max * (1 - BATCH_FRACTION))
        closed = self._close_until(goal, ConnectionState.INCOMPLETE, keeper)
        if self.used > goal:
            trimmed = [c for c in self._held if c is not keeper]
            for connection in sorted(trimmed, key=self._get_size, reverse=True):
                if self.used <= goal or not connection.trim_input():
                    break
                closed += 1
                self._on_closed(CloseReason.MEMORY)
        for state in (ConnectionState.IDLE, ConnectionState.UNTAKEN):
            closed += self._close_until(self._bytes_max, state, keeper)
        self._note_search(now, closed, CloseReason.MEMORY)

    def _close_until(
        self, goal: int, state: ConnectionState, keeper: AccountedConnection
    ) -> int:
        closed = 0
        for connection in self._list(state, read_now()):
            if self.used <= goal:
                break
            if connection is not keeper:
                self._close(connection, CloseReason.MEMORY)
                closed += 1
        return closed

    def _get_size(self, connection: AccountedConnection) -> int:
        return self._held[connection][0]

    def _list(
        self, state: ConnectionState, now: float
    ) -> list[AccountedConnection]:
        """Return connections of a state, the one of the oldest progress first.

        A connection that is being read has the latest progress.
        """
        found = [c for c in self._held if c.find_state(now) is state]
        found.sort(key=lambda c: c.find_progress_at())
        return found

    def _close(
        self, connection: AccountedConnection, reason: CloseReason
    ) -> None:
        self.close(connection)
        connection.close_for_shortage(reason)
        self._on_closed(reason)

    def _may_search(self, now: float) -> bool:
        return now - self._searched_at >= SEARCH_INTERVAL_S

    def _note_search(
        self, now: float, closed: int, reason: CloseReason
    ) -> None:
        if not closed:
            self._searched_at = now
            return
        self._log(closed, reason)

    def _log(self, closed: int, reason: CloseReason) -> None:
        log_event(
            "connections_closed",
            Level.WARNING,
            reason=reason,
            closed=closed,
            connections=len(self._held),
            held_bytes=self.used,
        )


def count_reserved_descriptors(fds_max: int) -> int:
    """Return the descriptors that clients' connections leave to others.

    Args:
        fds_max: Descriptors of the process.
    """
    reserved = max(RESERVED_MIN, int(fds_max * RESERVED_FRACTION))
    return min(reserved, fds_max // 2)


def count_connections_max(fds_max: int) -> int:
    """Return the connections that callers may have.

    Args:
        fds_max: Descriptors of the process.
    """
    return max(1, fds_max - count_reserved_descriptors(fds_max))
