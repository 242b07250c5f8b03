"""Copies of the simulated store's state, from which it can be restored."""

import collections
import dataclasses
from collections.abc import Mapping
from typing import Any

__all__ = ["StoreCopies", "StoreCopy"]

INTERVAL_S = 0.5
RETENTION_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of the store at one time.

    Attributes:
        taken_at: Time of the copy, in seconds.
        items: Items by key.
        history: Changes that watches could still ask for.
        leases: End and time to live of each lease, in seconds.
        revision: Revision of the last change.
        next_lease_id: Identifier of the next lease.
    """

    taken_at: float
    items: Mapping[str, Any]
    history: tuple[tuple[int, dict[str, Any]], ...]
    leases: Mapping[int, tuple[float, float]]
    revision: int
    next_lease_id: int


class StoreCopies:
    """Copies of the last seconds, oldest first."""

    def __init__(self):
        self._copies: collections.deque[StoreCopy] = collections.deque()

    def is_due(self, now: float) -> bool:
        """Return whether the next copy is to be taken.

        Args:
            now: Current time, in seconds.
        """
        return not self._copies or (
            now - self._copies[-1].taken_at >= INTERVAL_S
        )

    def add(self, copy: StoreCopy) -> None:
        """Add a copy and drop those past their retention.

        Args:
            copy: Copy that is newer than all others.
        """
        self._copies.append(copy)
        while copy.taken_at - self._copies[0].taken_at > RETENTION_S:
            self._copies.popleft()

    def clear(self) -> None:
        """Drop all copies, as after a restore."""
        self._copies.clear()

    def find_oldest_within(self, age_s: float, now: float) -> StoreCopy | None:
        """Return the oldest copy within an age, or None if there is none.

        Args:
            age_s: Largest age, in seconds.
            now: Current time, in seconds.
        """
        for copy in self._copies:
            if now - copy.taken_at <= age_s:
                return copy
        return None
