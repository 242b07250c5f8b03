"""Links to a subset of the roster's nodes, and the state of their targets."""

import asyncio
import itertools
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set

from kumquatwalk.clock import read_now
from kumquatwalk.event_loop import handle_pending_events
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.sampled_views import WeightedView
from kumquatwalk.routing.sampled_views import estimate_targets
from kumquatwalk.routing.sampled_views import weigh_views
from kumquatwalk.routing.sampled_views import weigh_views_by_zone
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.subset import RankedNodes
from kumquatwalk.subset import SUBSET_SIZES
from kumquatwalk.subset import rank_nodes
from kumquatwalk.subset import select_nodes
from kumquatwalk.targets.heartbeat import TargetState
from kumquatwalk.tasks import keep_running

__all__ = ["Peers"]

# Interval at which links that are being opened are polled, in seconds.
RELINK_POLL_S = 0.02
# Time that counts for one poll at most, in seconds: in one that takes longer
# the process was not scheduled.
RELINK_POLL_MAX_S = 2.0 * RELINK_POLL_S
# Time without a usable connection after which a node no longer counts as one
# that can serve, in seconds. A link to a node that is up opens within 0.1 s.
UNFIT_DELAY_S = 0.6
# The same for a node that answers but does not know its target yet, in seconds:
# two intervals of heartbeats.
UNKNOWN_TARGET_DELAY_S = 3.0
# Interval at which links are checked for silence, in seconds, and number of
# checks after which the subset is selected again.
CHECK_INTERVAL_S = 0.25
CHECKS_PER_REFRESH = 2
# Time after which a link that is no longer selected is closed, in seconds.
UNSELECTED_LINGER_S = 10.0


class Peers:
    """Maintains links to a subset of the nodes of each service.

    The number of links follows the number of services and not the number of
    nodes. A node outside the subset is linked to when nodes inside it cannot
    serve, or on demand.

    Args:
        own_view: State of this node's own target, as used to choose targets.
        make_hello: Returns this node's first message on a link to a node.
        callbacks: Functions called with messages from other nodes.
        partition: Fault injection that cuts this node off from hosts.
        budget: Bytes of bodies that the process may hold; None not to count
            those on links.
        is_memory_short: Returns whether links read large replies only slowly.
    """

    def __init__(
        self,
        own_view: TargetView,
        make_hello: Callable[[str], Hello],
        callbacks: PeerCallbacks,
        partition: Partition,
        budget: ByteBudget | None = None,
        is_memory_short: Callable[[], bool] = lambda: False,
    ):
        self._own_view = own_view
        self._make_hello = make_hello
        self._callbacks = callbacks
        self._partition = partition
        self._budget = budget
        self._is_memory_short = is_memory_short
        self._entries: dict[str, RosterEntry] = {}
        self._ranked: dict[str, RankedNodes] = {}
        self._links: dict[str, PeerLink] = {}
        self._unselected_since: dict[str, float] = {}
        # Links to nodes that have left the roster, with calls in progress.
        self._dropped: list[PeerLink] = []
        self._checker: asyncio.Task | None = None

    @property
    def count(self) -> int:
        """Number of nodes in the roster, including this one."""
        return len(self._entries) + 1

    def start(self) -> None:
        """Start to check the links."""
        self._checker = keep_running(self._check_links, "link_check")

    def close(self) -> None:
        """Stop the checks and close all links."""
        if self._checker is not None:
            self._checker.cancel()
        for link in (*self._links.values(), *self._dropped):
            link.close()
        self._links.clear()
        self._dropped.clear()

    def find(self, node_id: str) -> PeerLink | None:
        """Return the link to a node; None for this node or without a link.

        Args:
            node_id: Identifier of the node.
        """
        return self._links.get(node_id)

    async def connect(self, node_id: str, timeout_s: float) -> PeerLink | None:
        """Return a usable link to a node of the roster; open one if need be.

        Args:
            node_id: Identifier of the node, inside the subset or not.
            timeout_s: Maximum wait for a new link, in seconds.

        Returns:
            The link, or None when the node is unknown or not reached in time.
        """
        link = self.use(node_id)
        if link is None or not await link.wait_until_usable(timeout_s):
            return None
        return link

    def use(self, node_id: str) -> PeerLink | None:
        """Return the link to a node of the roster; open one if need be.

        The link is kept for a while from the last use on.

        Args:
            node_id: Identifier of the node, inside the subset or not.

        Returns:
            The link, usable or not; None when the node is unknown.
        """
        self._unselected_since.pop(node_id, None)
        link = self._links.get(node_id)
        if link is None and node_id in self._entries:
            link = self._open(self._entries[node_id])
        return link

    def list_views(self, service: str) -> list[TargetView]:
        """Return the known state of the linked targets of a service.

        Args:
            service: Name of the service.

        Returns:
            Views of the targets, whether reachable or not. Their
            ``is_reachable`` is refreshed by this call.
        """
        views = []
        now = read_now()
        for link in self._links.values():
            view = link.view
            if view.service == service:
                view.is_reachable = link.can_send(now)
                views.append(view)
        if self._own_view.service == service:
            views.append(self._own_view)
        return views

    def has_target_beside(self, service: str, node_ids: Set[str]) -> bool:
        """Return whether a target of a service is linked, reachable or not.

        Args:
            service: Name of the service.
            node_ids: Identifiers of nodes whose targets do not count.
        """
        for link in self._links.values():
            view = link.view
            if view.service == service and view.node_id not in node_ids:
                return True
        own_view = self._own_view
        return own_view.service == service and own_view.node_id not in node_ids

    def list_all_views(self) -> list[TargetView]:
        """Return the known state of all linked targets and the own one."""
        views = []
        for link in self._links.values():
            link.view.is_reachable = link.is_usable
            views.append(link.view)
        views.append(self._own_view)
        return views

    def list_weighted_views(self) -> list[WeightedView]:
        """Return the views of ``list_all_views`` with their weights.

        Sums over the fleet are estimated from the linked targets of a service,
        each of which stands for as many as the roster has for each linked one.
        Where targets report their work, the zones are counted by their sizes.
        """
        views = self.list_all_views()
        if any(view.slowness for view in views):
            own = self._own_view
            nodes = {(own.service, own.availability_zone): 1}
            for entry in self._entries.values():
                part = entry.service, entry.availability_zone
                nodes[part] = nodes.get(part, 0) + 1
            return weigh_views_by_zone(views, nodes, own.availability_zone)
        return weigh_views(views, self.count_nodes())

    async def wait_until_linked(self, service: str, timeout_s: float) -> bool:
        """Wait until a target of a service is reachable.

        Args:
            service: Name of the service.
            timeout_s: Maximum wait, in seconds. Pauses of this process, in
                which no link is opened, do not count.

        Returns:
            Whether one is reachable; False at once when no known target of
            the service accepts calls.
        """
        waited_s = 0.0
        while not self._is_linked(service):
            if not self._may_be_linked(service):
                return False
            if waited_s >= timeout_s:
                # It may have been linked since the last poll.
                await handle_pending_events()
                break
            polled_at = read_now()
            await asyncio.sleep(RELINK_POLL_S)
            waited_s += min(read_now() - polled_at, RELINK_POLL_MAX_S)
        return self._is_linked(service)

    def list_links(self) -> list[PeerLink]:
        """Return the links to other nodes."""
        return list(self._links.values())

    def list_unlinked(self) -> list[RosterEntry]:
        """Return the entries of the nodes to which there is no link."""
        return [e for i, e in self._entries.items() if i not in self._links]

    def count_nodes(self) -> dict[str, int]:
        """Return the number of nodes of each service, with this one."""
        counts: dict[str, int] = {self._own_view.service: 1}
        for entry in self._entries.values():
            counts[entry.service] = counts.get(entry.service, 0) + 1
        return counts

    def count_targets(self, service: str) -> int:
        """Return how many targets of a service accept calls in the fleet.

        Estimated from the linked ones when not all are linked.

        Args:
            service: Name of the service.
        """
        nodes = self.count_nodes().get(service, 0)
        return estimate_targets(self.list_views(service), nodes)

    def has_other_target(self, service: str) -> bool:
        """Return whether another node's target takes calls of a service.

        Targets beside stopping nodes do not count.

        Args:
            service: Name of the service.
        """
        return any(
            view.is_reachable
            and view.accepts_calls
            and view.ends_at == math.inf
            for view in self.list_views(service)
            if view is not self._own_view
        )

    def count_ready(self) -> int:
        """Return the number of reachable other nodes with a ready target."""
        return sum(
            link.is_usable and link.view.status.state is TargetState.READY
            for link in self._links.values()
        )

    def list_reachable_ids(self) -> frozenset[str]:
        """Return the identifiers of the other nodes with a usable link."""
        return frozenset(n for n, p in self._links.items() if p.is_usable)

    def count_zones(self) -> int:
        """Return the number of zones that have nodes, at least 1."""
        zones = {e.availability_zone for e in self._entries.values()}
        return len(zones | {self._own_view.availability_zone})

    def list_ids_of_zone(self, zone: str) -> frozenset[str]:
        """Return the identifiers of the nodes of a zone, with this one's own.

        Nodes that are linked to and do not answer are left out.

        Args:
            zone: Name of the zone.
        """
        ids = {
            node_id
            for node_id in self._list_answering_ids()
            if self._entries[node_id].availability_zone == zone
        }
        if self._own_view.availability_zone == zone:
            ids.add(self._own_view.node_id)
        return frozenset(ids)

    def list_ids(self) -> frozenset[str]:
        """Return the identifiers of all nodes, with this one's own.

        Nodes that are linked to and do not answer are left out.
        """
        return frozenset((*self._list_answering_ids(), self._own_view.node_id))

    @property
    def has_lowest_reachable_id(self) -> bool:
        """Whether this node's identifier sorts before all others.

        Nodes that are linked to and do not answer are left out.
        """
        own = self._own_view.node_id
        return all(own < node_id for node_id in self._list_answering_ids())

    def set_roster(self, entries: Iterable[RosterEntry]) -> None:
        """Replace the known nodes and select links among them.

        Links to nodes that are missing get no more calls and are closed once
        no reply can come; one whose node has changed its address is opened
        anew.

        Args:
            entries: Entries of all nodes; this node's own is ignored.
        """
        own_id = self._own_view.node_id
        self._entries = {e.node_id: e for e in entries if e.node_id != own_id}
        for node_id in self._links.keys() - self._entries.keys():
            self._close(node_id, "peer_dropped")
        for node_id, link in tuple(self._links.items()):
            if link.address != self._entries[node_id].link:
                self._close(node_id, "peer_moved")
                self._open(self._entries[node_id])
        by_service: dict[str, list[RosterEntry]] = {}
        for entry in self._entries.values():
            by_service.setdefault(entry.service, []).append(entry)
        zone = self._own_view.availability_zone
        self._ranked = {
            service: rank_nodes(own_id, zone, nodes)
            for service, nodes in by_service.items()
        }
        self.refresh_links(read_now())

    def refresh_links(self, now: float) -> None:
        """Open and close links, so that each service has enough that serve.

        Args:
            now: Current time, in seconds.
        """
        unfit = {n for n, k in self._links.items() if _is_unfit(k, now)}
        selected = set()
        for ranked in self._ranked.values():
            selected.update(select_nodes(ranked, unfit, SUBSET_SIZES))
        for node_id in selected:
            self._unselected_since.pop(node_id, None)
            if node_id not in self._links:
                self._open(self._entries[node_id])
        for node_id in self._links.keys() - selected:
            since = self._unselected_since.setdefault(node_id, now)
            is_due = now - since > UNSELECTED_LINGER_S
            if is_due and self._links[node_id].is_idle:
                self._close(node_id, "peer_unselected")

    async def _check_links(self) -> None:
        for count in itertools.count():
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = read_now()
            for link in (*self._links.values(), *self._dropped):
                link.reset_if_silent(now)
            self._close_dropped()
            if not count % CHECKS_PER_REFRESH:
                self.refresh_links(now)

    def _list_answering_ids(self) -> list[str]:
        """Return the other nodes but those that are linked to and silent."""
        links = self._links
        return [
            n for n in self._entries if n not in links or links[n].is_usable
        ]

    def _is_linked(self, service: str) -> bool:
        views = self.list_views(service)
        return any(v.is_reachable and v.accepts_calls for v in views)

    def _may_be_linked(self, service: str) -> bool:
        views = self.list_views(service)
        is_known = any(v.accepts_calls for v in views)
        return is_known or self._is_opening(service)

    def _is_opening(self, service: str) -> bool:
        """Return whether a link to a target of a service is being opened."""
        now = read_now()
        return any(
            link.view.service == service
            and not link.incarnation
            and (
                now - link.unusable_since < UNFIT_DELAY_S
                or link.has_unread_bytes
            )
            for link in self._links.values()
        )

    def _close(self, node_id: str, event: str) -> None:
        link = self._links.pop(node_id)
        self._dropped.append(link)
        self._unselected_since.pop(node_id, None)
        log_event(event, peer=node_id, is_idle=link.is_idle)
        self._close_dropped()

    def _close_dropped(self) -> None:
        """Close links to nodes that have left, but those with calls."""
        for link in tuple(self._dropped):
            if not link.has_connection_with_calls:
                self._dropped.remove(link)
                link.close()

    def _open(self, entry: RosterEntry) -> PeerLink:
        view = TargetView(entry.node_id, entry.availability_zone, entry.service)
        link = PeerLink(
            entry.link,
            view,
            self._make_hello,
            self._callbacks,
            self._partition,
            self._budget,
            self._is_memory_short,
        )
        link.start()
        self._links[entry.node_id] = link
        log_event(
            "peer_added",
            peer=entry.node_id,
            zone=entry.availability_zone,
            service=entry.service,
            address=entry.link,
        )
        return link


def _is_unfit(link: PeerLink, now: float) -> bool:
    """Return whether a link's node is known not to serve at present."""
    connecting_s = now - link.unusable_since
    if not link.is_usable:
        return connecting_s > UNFIT_DELAY_S
    view = link.view
    if view.status.state is TargetState.UNKNOWN:
        return connecting_s > UNKNOWN_TARGET_DELAY_S
    return not view.accepts_calls
