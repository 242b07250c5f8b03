"""Links to all nodes of the roster, and the state of their targets."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from kumquatwalk.clock import read_now
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["Peers"]

# Interval at which links that are being opened are polled, in seconds.
RELINK_POLL_S = 0.02


class Peers:
    """Maintains one link to each other node.

    Args:
        own_view: State of this node's own target, as used to choose targets.
        make_hello: Returns this node's first message on a link.
        callbacks: Functions called with messages from other nodes.
        partition: Fault injection that cuts this node off from hosts.
    """

    def __init__(
        self,
        own_view: TargetView,
        make_hello: Callable[[], Hello],
        callbacks: PeerCallbacks,
        partition: Partition,
    ):
        self._own_view = own_view
        self._make_hello = make_hello
        self._callbacks = callbacks
        self._partition = partition
        self._links: dict[str, PeerLink] = {}

    @property
    def count(self) -> int:
        """Number of known nodes, including this one."""
        return len(self._links) + 1

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def find(self, node_id: str) -> PeerLink | None:
        """Return the link to a node; None for this node or an unknown one.

        Args:
            node_id: Identifier of the node.
        """
        return self._links.get(node_id)

    def list_views(self, service: str) -> list[TargetView]:
        """Return the known state of each target of a service.

        Args:
            service: Name of the service.

        Returns:
            Views of the targets, whether reachable or not. Their
            ``is_reachable`` is refreshed by this call.
        """
        views = []
        for link in self._links.values():
            view = link.view
            if view.service == service:
                view.is_reachable = link.is_usable
                views.append(view)
        if self._own_view.service == service:
            views.append(self._own_view)
        return views

    def list_all_views(self) -> list[TargetView]:
        """Return the known state of all targets, including the own one."""
        views = []
        for link in self._links.values():
            link.view.is_reachable = link.is_usable
            views.append(link.view)
        views.append(self._own_view)
        return views

    async def wait_until_linked(self, service: str, timeout_s: float) -> bool:
        """Wait until a target of a service is reachable.

        Args:
            service: Name of the service.
            timeout_s: Maximum wait, in seconds.

        Returns:
            Whether one is reachable; False at once when no known target of
            the service accepts calls.
        """
        deadline = read_now() + timeout_s
        while read_now() < deadline:
            views = [v for v in self.list_views(service) if v.accepts_calls]
            if any(v.is_reachable for v in views):
                return True
            if not views:
                return False
            await asyncio.sleep(RELINK_POLL_S)
        return False

    def list_links(self) -> list[PeerLink]:
        """Return the links to all other nodes."""
        return list(self._links.values())

    def count_targets(self, service: str) -> int:
        """Return how many reachable targets of a service accept calls.

        Args:
            service: Name of the service.
        """
        views = self.list_views(service)
        return sum(v.is_reachable and v.accepts_calls for v in views)

    def count_ready(self) -> int:
        """Return the number of reachable other nodes with a ready target."""
        return sum(
            link.is_usable and link.view.status.state is TargetState.READY
            for link in self._links.values()
        )

    def list_reachable_ids(self) -> frozenset[str]:
        """Return the identifiers of the other nodes with a usable link."""
        return frozenset(n for n, p in self._links.items() if p.is_usable)

    @property
    def has_lowest_reachable_id(self) -> bool:
        """Whether this node's identifier sorts before all reachable ones."""
        own = self._own_view.node_id
        return all(own < node_id for node_id in self.list_reachable_ids())

    def set_roster(self, entries: Iterable[RosterEntry]) -> None:
        """Open links to new nodes and close links to nodes that are missing.

        A link whose node has changed its address is opened anew.

        Args:
            entries: Entries of all nodes; this node's own is ignored.
        """
        entries_by_id = {
            e.node_id: e for e in entries if e.node_id != self._own_view.node_id
        }
        for node_id in self._links.keys() - entries_by_id.keys():
            self._links.pop(node_id).close()
            log_event("peer_dropped", peer=node_id)
        for node_id, entry in entries_by_id.items():
            known = self._links.get(node_id)
            if known is not None and known.address == entry.link:
                continue
            if known is not None:
                known.close()
            self._links[node_id] = self._dial(entry)

    def _dial(self, entry: RosterEntry) -> PeerLink:
        view = TargetView(entry.node_id, entry.availability_zone, entry.service)
        link = PeerLink(
            entry.link,
            view,
            self._make_hello,
            self._callbacks,
            self._partition,
        )
        link.start()
        log_event(
            "peer_added",
            peer=entry.node_id,
            zone=entry.availability_zone,
            service=entry.service,
            address=entry.link,
        )
        return link
