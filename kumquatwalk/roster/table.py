"""This node's view of the roster."""

from collections.abc import Iterable

from kumquatwalk.roster.entry import RosterEntry

__all__ = ["RosterTable"]

# Grace period for entries that are missing from the store. A node whose lease
# expired during an outage of the store writes its entry again within two
# seconds after the store is available.
MISSING_GRACE_S = 2.5


class RosterTable:
    """Holds the entries of all nodes by their keys.

    A key that is missing from the store does not prove that its node has
    stopped. Its entry is kept as long as the node is reachable, and for
    ``MISSING_GRACE_S`` in which the store is reachable.
    """

    def __init__(self):
        self._entries: dict[str, RosterEntry] = {}
        self._missing_since: dict[str, float] = {}

    @property
    def entries(self) -> tuple[RosterEntry, ...]:
        """All current entries."""
        return tuple(self._entries.values())

    def put(self, key: str, entry: RosterEntry) -> None:
        """Add or replace an entry that was read from the store.

        The entry replaces one with a higher incarnation too: incarnations
        follow the wall clock, which may have been set back between two starts
        of a node.

        Args:
            key: Key of the entry.
            entry: Entry read from the store.
        """
        self._entries[key] = entry
        self._missing_since.pop(key, None)

    def add_if_absent(self, key: str, entry: RosterEntry) -> None:
        """Add an entry that its node sent on a link, unless the key is present.

        Args:
            key: Key of the entry.
            entry: Entry received on the link.
        """
        self._entries.setdefault(key, entry)

    def mark_missing(self, key: str, now: float) -> None:
        """Record that a key is missing from the store.

        Args:
            key: Key of the entry.
            now: Current time, in seconds.
        """
        if key in self._entries:
            self._missing_since.setdefault(key, now)

    def replace_all(
        self, entries: Iterable[tuple[str, RosterEntry]], now: float
    ) -> None:
        """Apply a snapshot; entries that it lacks are recorded as missing.

        Args:
            entries: All keys in the store with their entries.
            now: Current time, in seconds.
        """
        present = set()
        for key, entry in entries:
            self.put(key, entry)
            present.add(key)
        for key in self._entries.keys() - present:
            self.mark_missing(key, now)

    def remove_missing(
        self,
        reachable_nodes: frozenset[str],
        is_store_reachable: bool,
        now: float,
    ) -> None:
        """Remove entries that are missing for too long and unreachable.

        Args:
            reachable_nodes: Names of the nodes whose links are usable.
            is_store_reachable: Whether the store is reachable now; otherwise
                nothing is removed, and the grace periods start again.
            now: Current time, in seconds.
        """
        if not is_store_reachable:
            for key in self._missing_since:
                self._missing_since[key] = now
            return
        for key, since in tuple(self._missing_since.items()):
            entry = self._entries[key]
            if (
                entry.node_id in reachable_nodes
                or now - since < MISSING_GRACE_S
            ):
                continue
            del self._entries[key], self._missing_since[key]
