"""Admission levels of entries, learnt from replies."""

import dataclasses
import threading
from collections.abc import Iterable

from kumquatwalk.routing.view import FULL_LEVEL
from kumquatwalk.routing.view import decay_level

__all__ = ["EntryLevels"]


LEAST_WEIGHT = 0.2
FULL_WEIGHT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class SeenLevel:
    """Level seen on the replies of one entry.

    Attributes:
        level: Moving average over the replies, which come from many gates; a
            reply counts for more the longer there was none.
        at: Time of the latest reply.
    """

    level: float
    at: float


class EntryLevels:
    """Effective admission level of each entry that this node has called.

    The effective level of an entry is the lower of its gate's own level and
    the effective levels of the entries it calls. It travels on each reply, so
    an entry node refuses at the front what would be refused deeper, as the
    callers do in DAGOR (Zhou et al., "Overload Control for Scaling WeChat
    Microservices", SoCC 2018).
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._seen: dict[str, SeenLevel] = {}

    def note_reply(self, entry: str, level: int, now: float) -> None:
        """Record the effective level on a reply.

        A negative level says that one target takes nothing; it says nothing
        of the entry and is passed over.

        Args:
            entry: Name of the entry called.
            level: Effective level on the reply.
            now: Present time.
        """
        if level < 0:
            return
        with self._lock:
            before = self.get_level(entry, now)
            weight = self._get_weight(entry, now)
            average = before + weight * (level - before)
            self._seen[entry] = SeenLevel(average, now)

    def get_level(self, entry: str, now: float) -> int:
        """Return the level to act on for one entry.

        Args:
            entry: Name of the entry.
            now: Present time.

        Returns:
            The level last seen, raised with its age.
        """
        seen = self._seen.get(entry)
        if seen is None:
            return FULL_LEVEL
        return decay_level(round(seen.level), now - seen.at)

    def _get_weight(self, entry: str, now: float) -> float:
        seen = self._seen.get(entry)
        age_s = now - seen.at if seen else FULL_WEIGHT_S
        return min(1.0, max(LEAST_WEIGHT, age_s / FULL_WEIGHT_S))

    def combine(self, own_level: int, calls: Iterable[str], now: float) -> int:
        """Return the effective level to put on a reply.

        Args:
            own_level: Level of the gate that ran the entry.
            calls: Names of the entries that the entry calls.
            now: Present time.

        Returns:
            The lowest of the levels.
        """
        level = own_level
        for entry in calls:
            level = min(level, self.get_level(entry, now))
        return level

    def forget_except(self, entries: Iterable[str]) -> None:
        """Drop entries that the catalogue no longer holds.

        Args:
            entries: Names of the entries to keep.
        """
        kept = set(entries)
        with self._lock:
            self._seen = {k: v for k, v in self._seen.items() if k in kept}
