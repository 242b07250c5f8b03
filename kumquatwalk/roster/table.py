"""Roster as a node believes it."""

from collections.abc import Iterable

from kumquatwalk.roster.entry import RosterEntry

__all__ = ["RosterTable"]

# Time for which an entry that vanished from the store is kept, in seconds: a
# node whose lease lapsed in an outage of the store writes its entry again
# within two seconds of the store's return.
VANISHED_KEPT_S = 2.5


class RosterTable:
    """Entries by key. A vanished key is no proof that its node has gone.

    An entry that vanished is kept for ``VANISHED_KEPT_S`` after the store was
    last reached, and as long as its node answers on its link.
    """

    def __init__(self):
        self._entries: dict[str, RosterEntry] = {}
        self._vanished_at: dict[str, float] = {}

    @property
    def entries(self) -> tuple[RosterEntry, ...]:
        """All entries believed."""
        return tuple(self._entries.values())

    def put(self, key: str, entry: RosterEntry) -> None:
        """Take an entry from the store, whose last word holds.

        The incarnation does not matter here: it follows the time of day, which
        may have been set back between two starts of a node.

        Args:
            key: Key of the entry.
            entry: The entry.
        """
        self._entries[key] = entry
        self._vanished_at.pop(key, None)

    def learn(self, key: str, entry: RosterEntry) -> None:
        """Take an entry that its node told on a link, if none is known.

        Args:
            key: Key of the entry.
            entry: The entry.
        """
        self._entries.setdefault(key, entry)

    def note_vanished(self, key: str, now: float) -> None:
        """Record that a key is gone from the store.

        Args:
            key: Key of the entry.
            now: Present time.
        """
        if key in self._entries:
            self._vanished_at.setdefault(key, now)

    def replace_all(
        self, entries: Iterable[tuple[str, RosterEntry]], now: float
    ) -> None:
        """Take the whole roster as the store has it.

        Args:
            entries: All keys with their entries.
            now: Present time.
        """
        present = set()
        for key, entry in entries:
            self.put(key, entry)
            present.add(key)
        for key in self._entries.keys() - present:
            self.note_vanished(key, now)

    def drop_vanished(
        self, answering: frozenset[str], is_store_reached: bool, now: float
    ) -> None:
        """Forget entries that vanished and whose nodes do not answer.

        Args:
            answering: Names of the nodes that answer on their links.
            is_store_reached: Whether the store answers now; otherwise nothing
                is forgotten.
            now: Present time.
        """
        if not is_store_reached:
            for key in self._vanished_at:
                self._vanished_at[key] = now
            return
        for key, since in tuple(self._vanished_at.items()):
            entry = self._entries[key]
            if entry.node_id in answering or now - since < VANISHED_KEPT_S:
                continue
            del self._entries[key], self._vanished_at[key]
