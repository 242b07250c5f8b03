"""Publishes target status and traffic reports to other nodes."""

import asyncio
import dataclasses

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.retry_budgets import RetryBudgets
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.mesh.link_server import LinkServer
from kumquatwalk.retry.fleet_refusals import FleetRefusals
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.tasks import keep_running

__all__ = ["StatePublisher"]

# Interval of status messages, in seconds. Replies carry the target's load too,
# and changes of its state are published at once.
STATUS_INTERVAL_S = 1.0
# Part of the interval by which a status may be early, in seconds, so that it is
# sent with a report.
INTERVAL_MARGIN_S = 0.1
# Of so many traffic reports, one goes to other zones too.
REPORTS_PER_FAR_ONE = 2
# Length of a traffic window, in seconds: several runs long, so that most calls
# are counted in the same window as the run that makes them.
WINDOW_S = 1.0
# Length of the first windows with traffic, in seconds, and their number. They
# are shorter because a surge that begins with the first requests must be
# detected before two full windows have passed.
INITIAL_WINDOW_S = 0.5
INITIAL_WINDOWS = 8


class StatePublisher:
    """Sends status and traffic reports to linked nodes at fixed intervals.

    The same status and reports are applied to this node's own view and call
    graph.

    Args:
        own_view: State of this node's own target, as used to choose targets.
        target_side: Target side of this node.
        traffic: Counts the traffic on this VM.
        graph: Graph of the calls that routes make to each other.
        peers: Links to other nodes.
        link_server: Links from other nodes, on which messages are published.
        retry_budgets: Tells which services refuse calls of this node.
        refusals: Merges that with what other nodes publish.
    """

    def __init__(
        self,
        own_view: TargetView,
        target_side: TargetSide,
        traffic: TrafficMeter,
        graph: CallGraph,
        peers: Peers,
        link_server: LinkServer,
        retry_budgets: RetryBudgets,
        refusals: FleetRefusals,
    ):
        self._own_view = own_view
        self._target_side = target_side
        self._traffic = traffic
        self._graph = graph
        self._peers = peers
        self._link_server = link_server
        self._retry_budgets = retry_budgets
        self._refusals = refusals
        self._had_refusals = False
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to publish."""
        self._task = keep_running(self._run, "state_publisher")

    def close(self) -> None:
        """Stop publishing."""
        if self._task is not None:
            self._task.cancel()

    def publish_status(self) -> None:
        """Publish the status of the target immediately."""
        status = self._target_side.get_status()
        self._own_view.update_status(status, read_now())
        self._link_server.broadcast(status)

    async def _run(self) -> None:
        # Both messages are sent in one iteration of the event loop, so that a
        # link carries them together.
        windows = 0
        status_due_at = read_now()
        while True:
            is_initial = windows < INITIAL_WINDOWS
            window_s = INITIAL_WINDOW_S if is_initial else WINDOW_S
            await asyncio.sleep(window_s)
            report = self._make_report(window_s)
            if report.rates or not is_initial:
                windows += 1
                is_for_all = is_initial or not windows % REPORTS_PER_FAR_ONE
                # All zones learn at once that refusals begin and end.
                is_for_all |= bool(report.refusals) or self._had_refusals
                self._had_refusals = bool(report.refusals)
                self._publish_report(report, is_for_all)
            now = read_now()
            if now >= status_due_at:
                self.publish_status()
                status_due_at = now + STATUS_INTERVAL_S - INTERVAL_MARGIN_S

    def _make_report(self, window_s: float) -> TrafficReport:
        report = self._traffic.close_window(self._graph, window_s)
        refusals = self._retry_budgets.list_refusals(read_now())
        if refusals:
            report = dataclasses.replace(report, refusals=refusals)
        return report

    def _publish_report(self, report: TrafficReport, is_for_all: bool) -> None:
        view = self._own_view
        self._graph.set_populations(self._peers.count_nodes())
        now = read_now()
        self._graph.add_report(view.node_id, view.service, report, now)
        self._refusals.add_report(
            view.node_id, view.service, report.refusals, now
        )
        zone = "" if is_for_all else view.availability_zone
        self._link_server.broadcast(report, zone)
