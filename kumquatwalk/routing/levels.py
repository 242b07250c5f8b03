"""Admission levels of entries, learnt from replies."""

import dataclasses
import threading
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.routing.chain import list_chains
from kumquatwalk.routing.view import FULL_LEVEL
from kumquatwalk.routing.view import decay_level

__all__ = ["EntryLevels"]


LEAST_WEIGHT = 0.2
FULL_WEIGHT_S = 0.1
PROBE_INTERVAL_S = 0.5

_NO_ENTRIES: Mapping[str, Entry] = {}


def list_none() -> Mapping[str, Entry]:
    """Return the entries of an empty catalogue."""
    return _NO_ENTRIES


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
    Microservices", SoCC 2018). Entries whose chains pass the same services
    share a level, so that calls let through show when those held back may pass.

    Args:
        get_entries: Returns the entries of the catalogue in force, by name.
    """

    def __init__(
        self, get_entries: Callable[[], Mapping[str, Entry]] = list_none
    ):
        self._get_entries = get_entries
        self._entries: Mapping[str, Entry] = _NO_ENTRIES
        self._chains: Mapping[str, str] = {}
        self._lock = threading.Lock()
        self._seen: dict[str, SeenLevel] = {}
        self._probed_at: dict[str, float] = {}

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
        chain = self._find_chain(entry)
        with self._lock:
            seen = self._seen.get(chain)
            if seen is None:
                self._seen[chain] = SeenLevel(level, now)
                return
            share = (now - seen.at) / FULL_WEIGHT_S
            weight = min(1.0, max(LEAST_WEIGHT, share))
            average = seen.level + weight * (level - seen.level)
            self._seen[chain] = SeenLevel(average, now)

    def get_level(self, entry: str, now: float) -> int:
        """Return the level to act on for one entry.

        Args:
            entry: Name of the entry.
            now: Present time.

        Returns:
            The level last seen, raised with its age.
        """
        seen = self._seen.get(self._find_chain(entry))
        if seen is None:
            return FULL_LEVEL
        return decay_level(round(seen.level), now - seen.at)

    def admits(self, entry: str, priority: int, now: float) -> bool:
        """Tell whether a new request is let through.

        While replies are missing, one request at a time may probe whether the
        level has risen; its reply settles it for the others.

        Args:
            entry: Name of the entry.
            priority: Priority of the request.
            now: Present time.

        Returns:
            Whether to send the call on.
        """
        chain = self._find_chain(entry)
        seen = self._seen.get(chain)
        if seen is None or priority <= seen.level:
            return True
        if priority > decay_level(round(seen.level), now - seen.at):
            return False
        with self._lock:
            if now - self._probed_at.get(chain, 0.0) < PROBE_INTERVAL_S:
                return False
            self._probed_at[chain] = now
            return True

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

    def _find_chain(self, entry: str) -> str:
        entries = self._get_entries()
        if entries is not self._entries:
            self._take_entries(entries)
        return self._chains.get(entry, entry)

    def _take_entries(self, entries: Mapping[str, Entry]) -> None:
        chains = list_chains(entries)
        kept = set(chains.values())
        with self._lock:
            self._chains = chains
            self._entries = entries
            self._seen = {k: v for k, v in self._seen.items() if k in kept}
            self._probed_at.clear()
