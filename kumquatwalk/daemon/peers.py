"""Links to all nodes of the roster, and what is known of their targets."""

from collections.abc import Callable
from collections.abc import Iterable

from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import ConfigDocument
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["Peers"]


class Peers:
    """Keeps one link for each other node.

    Args:
        own_view: What this node knows of its own target.
        make_hello: Makes this node's first message on a link.
        on_status: Called with each state of another's target.
        on_config: Called with a fleet configuration that was asked for.
        on_traffic: Called with each report of another's traffic.
    """

    def __init__(
        self,
        own_view: TargetView,
        make_hello: Callable[[], Hello],
        on_status: Callable[[PeerLink, TargetStatus], None],
        on_config: Callable[[ConfigDocument], None],
        on_traffic: Callable[[PeerLink, TrafficReport], None],
    ):
        self._own_view = own_view
        self._make_hello = make_hello
        self._on_status = on_status
        self._on_config = on_config
        self._on_traffic = on_traffic
        self._links: dict[str, PeerLink] = {}

    @property
    def count(self) -> int:
        """Nodes known, with this one."""
        return len(self._links) + 1

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def find(self, node_id: str) -> PeerLink | None:
        """Return the link to a node; None for this node or an unknown one.

        Args:
            node_id: Name of the node.
        """
        return self._links.get(node_id)

    def list_views(self, service: str) -> list[TargetView]:
        """Return what is known of a service's targets.

        Args:
            service: Name of the service.
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
        """Return what is known of all targets, this node's own among them."""
        views = []
        for link in self._links.values():
            link.view.is_reachable = link.is_usable
            views.append(link.view)
        views.append(self._own_view)
        return views

    def count_ready(self) -> int:
        """Return the number of other nodes whose targets take work."""
        return sum(
            link.is_usable and link.view.status.state is TargetState.READY
            for link in self._links.values()
        )

    def list_answering(self) -> frozenset[str]:
        """Return the names of the nodes that answer on their links."""
        return frozenset(n for n, p in self._links.items() if p.is_usable)

    def set_roster(self, entries: Iterable[RosterEntry]) -> None:
        """Dial new nodes and drop those that are gone.

        Args:
            entries: All nodes, with or without this one.
        """
        wanted = {
            e.node_id: e for e in entries if e.node_id != self._own_view.node_id
        }
        for node_id in self._links.keys() - wanted.keys():
            self._links.pop(node_id).close()
            log_event("peer_dropped", peer=node_id)
        for node_id, entry in wanted.items():
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
            self._on_status,
            self._on_config,
            self._on_traffic,
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
