"""Tells other nodes of the target and of the traffic, at intervals."""

import asyncio

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.mesh.link_server import LinkServer
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.tasks import start_task

__all__ = ["NodeNews"]

# Time between two tellings of the target's state, in seconds. Replies carry
# its load besides, and changes of state are told at once.
STATUS_INTERVAL_S = 0.5
# Length of a window in which the traffic is counted, in seconds: a few runs
# long, so that calls fall into the window of their run.
WINDOW_S = 1.0
# Length of the first windows with traffic, and their number: a surge that comes
# with the first requests must not wait for two long ones.
FIRST_WINDOW_S = 0.5
FIRST_WINDOWS = 8
# Other nodes for which reports go out every window; with more, less often, so
# that the bytes that reports take of a link do not grow with the fleet.
REPORT_PEERS = 16


class NodeNews:
    """Sends states and reports to all peers, and keeps the own ones.

    Args:
        own_view: What this node knows of its own target.
        target_side: Target side of this node.
        meter: Counts the traffic on this VM.
        graph: Which routes call which.
        peers: Links to other nodes.
        link_server: Links from other nodes, on which news is sent.
    """

    def __init__(
        self,
        own_view: TargetView,
        target_side: TargetSide,
        meter: TrafficMeter,
        graph: CallGraph,
        peers: Peers,
        link_server: LinkServer,
    ):
        self._own_view = own_view
        self._target_side = target_side
        self._meter = meter
        self._graph = graph
        self._peers = peers
        self._link_server = link_server
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to tell."""
        self._tasks = [
            start_task(self._tell_status(), "status_publisher"),
            start_task(self._tell_traffic(), "traffic_reporter"),
        ]

    def close(self) -> None:
        """Stop telling."""
        for task in self._tasks:
            task.cancel()

    def publish_status(self) -> None:
        """Tell the state of the target now."""
        status = self._target_side.get_status()
        self._own_view.take_status(status, read_now())
        self._link_server.publish(status)

    async def _tell_status(self) -> None:
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            self.publish_status()

    async def _tell_traffic(self) -> None:
        windows = 0
        while True:
            is_first = windows < FIRST_WINDOWS
            window_s = FIRST_WINDOW_S if is_first else WINDOW_S
            await asyncio.sleep(window_s)
            report = self._meter.close_window(self._graph, window_s, read_now())
            if not report.rates and is_first:
                continue  # no traffic yet
            windows += 1
            view = self._own_view
            self._graph.take_report(
                view.node_id, view.service, report, read_now()
            )
            if is_first or self._is_turn(windows):
                self._link_server.publish(report)

    def _is_turn(self, windows: int) -> bool:
        return not windows % max(1, self._peers.count // REPORT_PEERS)
