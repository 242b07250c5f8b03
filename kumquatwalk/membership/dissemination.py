"""Queue of items to spread by piggyback, each a bounded number of times."""

import math

from kumquatwalk.membership.itemcodec import MIN_ITEM_BYTES

__all__ = ["DisseminationQueue", "retransmit_limit"]

RETRANSMIT_FACTOR = 1.6
MAX_SCANNED = 64


def retransmit_limit(member_count: int) -> int:
    """Return how often each node sends an item, by the size of the fleet.

    Args:
        member_count: Number of living members.

    Returns:
        A number that grows with the logarithm of the fleet's size.
    """
    return math.ceil(RETRANSMIT_FACTOR * math.log(member_count + 2)) + 1


class DisseminationQueue:
    """Items to spread, those sent least often first, then the newest.

    An item replaces the one queued under the same key. The limit on
    transmissions follows Das, Gupta and Motivala (DSN 2002).
    """

    def __init__(self):
        self._levels: list[dict[object, bytes]] = [{}]
        self._level_of: dict[object, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def put(self, key: object, encoded: bytes) -> None:
        """Queue an item, in place of the one with the same key.

        Args:
            key: Identifies what the item is about.
            encoded: The item's binary form.
        """
        self.discard(key)
        self._levels[0][key] = encoded
        self._level_of[key] = 0

    def discard(self, key: object) -> None:
        """Remove an item if it is queued.

        Args:
            key: Key that the item was queued under.
        """
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def count_received(self, key: object, limit: int) -> None:
        """Count a copy received from another node as one transmission.

        Args:
            key: Key that the item was queued under.
            limit: Number of transmissions after which an item is dropped.
        """
        level = self._level_of.get(key)
        if level is not None:
            self._advance(key, level, limit)

    def take(self, max_bytes: float, limit: int) -> bytes:
        """Return items to send now and count their transmission.

        Args:
            max_bytes: Space in the datagram.
            limit: Number of transmissions after which an item is dropped.

        Returns:
            Encoded items, one after another; empty when there are none.
        """
        chosen = self._choose(max_bytes)
        parts = []
        for key in chosen:
            level = self._level_of[key]
            parts.append(self._levels[level][key])
            self._advance(key, level, limit)
        return b"".join(parts)

    def _choose(self, max_bytes: float) -> list[object]:
        chosen = []
        scanned = 0
        left = max_bytes
        for level in self._levels:
            for key in reversed(level):
                if left < MIN_ITEM_BYTES or scanned >= MAX_SCANNED:
                    return chosen
                scanned += 1
                size = len(level[key])
                if size <= left:
                    chosen.append(key)
                    left -= size
        return chosen

    def _advance(self, key: object, level: int, limit: int) -> None:
        encoded = self._levels[level].pop(key)
        following = level + 1
        if following >= limit:
            del self._level_of[key]
            return
        while len(self._levels) <= following:
            self._levels.append({})
        self._levels[following][key] = encoded
        self._level_of[key] = following
