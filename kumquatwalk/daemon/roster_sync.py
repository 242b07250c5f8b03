"""Registers a node in the store and follows the roster of the others."""

import asyncio
from collections.abc import Callable

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.store_watcher import StoreWatcher
from kumquatwalk.exception import MembershipError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.mesh.message import Hello
from kumquatwalk.platform.store_items import Deletion
from kumquatwalk.platform.store_items import Snapshot
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.platform.store_position import StorePosition
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.roster.entry import decode_entry
from kumquatwalk.roster.registration import Registration
from kumquatwalk.roster.table import RosterTable
from kumquatwalk.tasks import keep_running

__all__ = ["RosterSync"]

KEY_PREFIX = "kumquatwalk/nodes/"
# Times between the first reads of the roster, in seconds: all nodes may start
# together, so the first reads find only some of them.
FIRST_READ_INTERVALS_S = (0.6, 0.9, 1.5, 3.0)
# Time between later reads, in seconds: at least the first, and one second for
# so many nodes, so that the bytes a node reads do not grow with the roster. A
# node that joins opens links itself, and is known by their ends at once.
READ_INTERVAL_MIN_S = 8.0
NODES_PER_INTERVAL_S = 20
# Interval at which missing entries are checked, in seconds.
CHECK_INTERVAL_S = 0.5


class RosterSync:
    """Registers this node in the store and reads the entries of the others.

    The roster is read at intervals. A node that opens a link to this one is
    added to the roster too, so that a node that starts during an outage of the
    store still discovers the others.

    Args:
        store: Client of the store.
        node_id: Identifier of this node.
        make_entry: Returns this node's current entry.
        peers: Links to other nodes, which follow the roster.

    Attributes:
        is_known: Whether the roster has been read from the store or another
            node has opened a link.
    """

    def __init__(
        self,
        store: StoreClient,
        node_id: str,
        make_entry: Callable[[], RosterEntry],
        peers: Peers,
    ):
        self._own_key = KEY_PREFIX + node_id
        self._peers = peers
        self._table = RosterTable()
        self._registration = Registration(store, self._own_key, make_entry)
        self._watcher = StoreWatcher(
            store,
            KEY_PREFIX,
            self._apply_snapshot,
            _ignore_event,
            lambda: False,  # it is read at intervals and never watched
            self._get_read_interval,
            allow_stale_first=True,
        )
        self._reads = 0
        self._decoded: dict[str, tuple[StorePosition, RosterEntry | None]] = {}
        self._pending_update: asyncio.Handle | None = None
        self._checker: asyncio.Task | None = None
        self.is_known = False

    def start(self) -> None:
        """Start to register this node and to read the roster."""
        self._registration.start()
        self._watcher.start()
        self._checker = keep_running(
            self._remove_missing_periodically, "roster_check"
        )

    def close(self) -> None:
        """Stop registering and reading; the entry stays until its lease ends.

        A process that restarts at once takes the entry over, which saves the
        other nodes two changes of the roster.
        """
        if self._checker is not None:
            self._checker.cancel()
        if self._pending_update is not None:
            self._pending_update.cancel()
        self._watcher.close()
        self._registration.close()

    def update_entry(self) -> None:
        """Write this node's entry again, as its service has changed."""
        self._registration.mark_outdated()

    def handle_restore(self) -> None:
        """Write this node's entry and read the roster again.

        To be called when the store was restored from a copy.
        """
        self._registration.handle_restore()
        self._watcher.handle_restore()

    def add_peer(self, hello: Hello) -> None:
        """Add a node that has opened a link to this one.

        Args:
            hello: First message on the link.
        """
        entry = RosterEntry(
            hello.node_id,
            hello.incarnation,
            hello.availability_zone,
            hello.service,
            Address(hello.host, hello.port),
        )
        self._table.add_if_absent(KEY_PREFIX + hello.node_id, entry)
        self.is_known = True
        self._update_peers()

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        entries = []
        for item in snapshot.items:
            entry = self._decode_once(item)
            if entry is not None:
                entries.append((item.key, entry))
        self._decoded = {i.key: self._decoded[i.key] for i in snapshot.items}
        self._table.replace_all(entries, read_now())
        # A state older than this node's own write says nothing of its entry.
        if (
            self._own_key not in {key for key, _ in entries}
            and snapshot.position >= self._registration.position
        ):
            log_event("roster_own_entry_vanished", Level.WARNING)
            self._registration.mark_missing()
        self.is_known = True
        self._update_peers()

    async def _remove_missing_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            count_before = len(self._table.entries)
            self._table.remove_missing(
                self._peers.list_reachable_ids(),
                self._watcher.is_reached,
                read_now(),
            )
            if len(self._table.entries) != count_before:
                self._update_peers()

    def _update_peers(self) -> None:
        """Pass the roster on, once for all changes of an iteration."""
        if self._pending_update is None:
            loop = asyncio.get_running_loop()
            self._pending_update = loop.call_soon(self._set_roster)

    def _set_roster(self) -> None:
        self._pending_update = None
        self._peers.set_roster(self._table.entries)

    def _get_read_interval(self) -> float:
        self._reads += 1
        if self._reads <= len(FIRST_READ_INTERVALS_S):
            return FIRST_READ_INTERVALS_S[self._reads - 1]
        nodes = len(self._table.entries)
        return max(READ_INTERVAL_MIN_S, nodes / NODES_PER_INTERVAL_S)

    def _decode_once(self, item: StoreItem) -> RosterEntry | None:
        """Return the entry of an item, decoded again only when it changed."""
        position, entry = self._decoded.get(item.key, (ABSENT, None))
        if position != item.position:
            entry = _decode(item)
            self._decoded[item.key] = item.position, entry
        return entry


def _decode(item: StoreItem) -> RosterEntry | None:
    try:
        return decode_entry(item.value)
    except MembershipError as error:
        # An item that was not written by a node must not hide the others.
        log_event(
            "roster_entry_rejected",
            Level.WARNING,
            key=item.key,
            error=error.message,
        )
        return None


def _ignore_event(_event: StoreItem | Deletion) -> None:
    pass
