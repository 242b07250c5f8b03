"""HTTP handler for status, members and metrics of a daemon."""

import json

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.core import DaemonCore
from kumquatwalk.daemon.store_watcher import StoreWatcher
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.metrics.text import render_text
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.target_choice import TargetView

__all__ = [
    "PATH_MEMBERS",
    "PATH_METRICS",
    "PATH_STATUS",
    "StatusHandler",
    "add_state_gauges",
]

PATH_MEMBERS = "/kumquatwalk/members"
PATH_METRICS = "/kumquatwalk/metrics"
PATH_STATUS = "/kumquatwalk/status"
_JSON_HEADER = (b"Content-Type", b"application/json")
_TEXT_HEADER = (b"Content-Type", b"text/plain; version=0.0.4")


class StatusHandler:
    """Answers operators' queries for status, members and metrics.

    Args:
        core: Components of the daemon.
    """

    def __init__(self, core: DaemonCore):
        self._core = core
        add_state_gauges(core)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one query.

        Args:
            request: The query; its path selects the document.

        Returns:
            The document; 404 for an unknown path.
        """
        path = request.url.decode("latin-1").partition("?")[0]
        if path == PATH_STATUS:
            return _encode(self._describe_node())
        if path == PATH_MEMBERS:
            return _encode(self._describe_members())
        if path == PATH_METRICS:
            text = render_text(self._core.registry)
            return HttpResponse(200, (_TEXT_HEADER,), text.encode())
        return HttpResponse(404)

    def _describe_node(self) -> dict[str, object]:
        core = self._core
        config = core.configs.config
        routes = config.routes if config is not None else ()
        services = {s.service for route in routes for s in route.shares}
        return {
            "node_id": core.settings.node_id,
            "zone": core.settings.availability_zone,
            "catalogue_revision": core.configs.version,
            "store_catalogue_revision": core.configs.stored_version,
            "store_era": core.store.era.number,
            "store_reached": core.config_watcher.is_reached,
            "target": core.target_side.record.state.value,
            "targets": {
                service: core.peers.count_targets(service)
                for service in sorted(services)
            },
        } | core.target_side.work.describe()

    def _describe_members(self) -> dict[str, object]:
        core = self._core
        settings = core.settings
        own = _describe_member(
            core.own_view, core.incarnation, settings.link_listener.host
        )
        own |= {"state": "alive", "catalogue_revision": core.configs.version}
        others = [_describe_peer(link) for link in core.peers.list_links()]
        others += [_describe_unlinked(e) for e in core.peers.list_unlinked()]
        return {
            "node_id": settings.node_id,
            "zone": settings.availability_zone,
            "members": [own, *others],
        }


def measure_config_age(watcher: StoreWatcher, now: float) -> float:
    """Return the time since the store last answered a read, in seconds.

    Keys and limits that the node knows may be as old, but for what other nodes
    have told since.

    Args:
        watcher: Reads the configuration.
        now: Current time, in seconds.

    Returns:
        The time; -1 before the first answer.
    """
    if watcher.last_success < 0.0:
        return -1.0
    return now - watcher.last_success


def add_state_gauges(core: DaemonCore) -> None:
    """Register gauges that read the daemon's state when metrics are scraped.

    Args:
        core: Components of the daemon.
    """
    limiter = core.target_side.limiter
    work = core.target_side.work
    readers = {
        "running": (lambda: limiter.running, "Calls that run at the target."),
        "queued": (lambda: limiter.queued, "Calls that wait for the target."),
        "limit": (lambda: limiter.limit, "Calls that may run at once."),
        "target_work_left_seconds": (
            work.measure_work_left,
            "Expected remaining time of all calls at the target.",
        ),
        "target_slowness": (
            work.measure_slowness,
            "Time that work takes at the target over the normal time.",
        ),
        "run_forecast_error": (
            work.measure_forecast_error,
            "Mean absolute error of forecasts of runs over the mean run time.",
        ),
        "catalogue_revision": (
            lambda: core.configs.version,
            "Version of the configuration in force.",
        ),
        "nodes_reached": (
            lambda: len(core.peers.list_reachable_ids()) + 1,
            "Nodes that answer on their links, with this one.",
        ),
        "retry_share_min": (
            lambda: min(
                core.ingress_admission.retry_shares.values(), default=1.0
            ),
            "Lowest share of a route that the retries left can finish.",
        ),
        "store_catalogue_revision": (
            lambda: core.configs.stored_version,
            "Version that the store had when it was read last.",
        ),
        "config_age_seconds": (
            lambda: measure_config_age(core.config_watcher, read_now()),
            "Time since the store last answered a read of the configuration.",
        ),
        "store_era": (
            lambda: core.store.era.number,
            "Era of the store; it rises when the store is restored.",
        ),
        "store_calls": (
            lambda: core.store.call_count,
            "Calls made to the store so far.",
        ),
        "target_connections": (
            lambda: core.target_side.connections_opened,
            "Connections opened to the target so far.",
        ),
    }
    for name, (reader, help_text) in readers.items():
        core.registry.gauge(
            "kumquatwalk_" + name, help_text=help_text, reader=reader
        )


def _describe_peer(link: PeerLink) -> dict[str, object]:
    row = _describe_member(link.view, link.incarnation, link.address.host)
    if link.view.status.is_stopping:
        row["state"] = "left"
    return row


def _describe_unlinked(entry: RosterEntry) -> dict[str, object]:
    """Return the entry of a node of which only the roster is known."""
    view = TargetView(entry.node_id, entry.availability_zone, entry.service)
    row = _describe_member(view, entry.incarnation, entry.link.host)
    return row | {"state": "unlinked"}


def _describe_member(
    view: TargetView, incarnation: int, host: str
) -> dict[str, object]:
    """Return the entry of a node in the list of members.

    ``state`` is "alive" when the node is reachable and "unknown" otherwise. The
    callers replace it: this node's own is always "alive", and that of another
    node that is stopping is "left", although the node still serves.
    """
    status = view.status
    return {
        "node_id": view.node_id,
        "incarnation": incarnation,
        "zone": view.availability_zone,
        "host": host,
        "state": "alive" if view.is_reachable else "unknown",
        "service": view.service,
        "target_state": status.state.value,
        # The concurrency limit, which is lower than the target's slots.
        "slots": status.limit,
        "catalogue_revision": status.config_version,
    } | _describe_work(view)


def _describe_work(view: TargetView) -> dict[str, object]:
    """Return what a target reports of its work; empty if it does not."""
    if not view.slowness:
        return {}
    return {
        "work_left_s": round(view.work_left_s, 2),
        "slowness": round(view.slowness, 2),
    }


def _encode(document: object) -> HttpResponse:
    body = json.dumps(document).encode() + b"\n"
    return HttpResponse(200, (_JSON_HEADER,), body)
