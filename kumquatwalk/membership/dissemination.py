"""Queue of items to spread by piggyback, each a bounded number of times."""

import math

from kumquatwalk.membership.item_codec import MIN_ITEM_BYTES

__all__ = [
    "BROADCAST_FACTOR",
    "DisseminationQueue",
    "LEAVING_FACTOR",
    "MEMBER_FACTOR",
    "SUSPICION_FACTOR",
    "count_transmissions",
]

BROADCAST_FACTOR = 2.0
SUSPICION_FACTOR = 2.0
LEAVING_FACTOR = 2.5
MEMBER_FACTOR = 1.0
MAX_SCANNED = 64


def count_transmissions(factor: float, member_count: int) -> int:
    """Return how often each node sends an item, by the size of the fleet.

    Args:
        factor: Factor of the logarithm, by the kind of item.
        member_count: Number of living members.

    Returns:
        A number that grows with the logarithm of the fleet's size.
    """
    return math.ceil(factor * math.log(member_count + 2)) + 1


class DisseminationQueue:
    """Items to spread; most transmissions left first, then the newest.

    An item replaces the one queued under the same key. The bound on
    transmissions follows Das, Gupta and Motivala (DSN 2002).
    """

    def __init__(self):
        self._levels: list[dict[object, bytes]] = [{}]
        self._level_of: dict[object, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def put(self, key: object, encoded: bytes, transmissions: int) -> None:
        """Queue an item, in place of the one with the same key.

        Args:
            key: Identifies what the item is about.
            encoded: The item's binary form.
            transmissions: How often to send it, one or more.
        """
        self.discard(key)
        self._store(key, encoded, transmissions)

    def discard(self, key: object) -> None:
        """Remove an item if it is queued.

        Args:
            key: Key that the item was queued under.
        """
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def count_received(self, key: object) -> None:
        """Count a copy received from another node as one transmission.

        Args:
            key: Key that the item was queued under.
        """
        if key in self._level_of:
            self._count(key)

    def take(self, max_bytes: float) -> bytes:
        """Return items to send now and count their transmission.

        Args:
            max_bytes: Space in the datagram.

        Returns:
            Encoded items, one after another; empty when there are none.
        """
        chosen = self._choose(max_bytes)
        return b"".join([self._count(key) for key in chosen])

    def _choose(self, max_bytes: float) -> list[object]:
        chosen = []
        scanned = 0
        left = max_bytes
        for level in reversed(self._levels):
            for key in reversed(level):
                if left < MIN_ITEM_BYTES or scanned >= MAX_SCANNED:
                    return chosen
                scanned += 1
                size = len(level[key])
                if size <= left:
                    chosen.append(key)
                    left -= size
        return chosen

    def _count(self, key: object) -> bytes:
        """Take off one transmission and return the item."""
        level = self._level_of.pop(key)
        encoded = self._levels[level].pop(key)
        if level > 1:
            self._store(key, encoded, level - 1)
        return encoded

    def _store(self, key: object, encoded: bytes, level: int) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][key] = encoded
        self._level_of[key] = level
