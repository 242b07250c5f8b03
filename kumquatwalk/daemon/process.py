"""Composition root of the daemon: makes its parts and wires them."""

import asyncio
import random
import time

from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.daemon.caller_side import CallerSide
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.config_pull import ConfigPull
from kumquatwalk.daemon.front_admission import FrontAdmission
from kumquatwalk.daemon.heartbeats import HeartbeatHandler
from kumquatwalk.daemon.news import NodeNews
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.readiness import ReadinessHandler
from kumquatwalk.daemon.retry_spender import RetrySpender
from kumquatwalk.daemon.roster_keeper import RosterKeeper
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.store_watcher import StoreWatcher
from kumquatwalk.daemon.target_prober import TargetProber
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.codec import load_schema
from kumquatwalk.mesh.link_server import LinkServer
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.platform.names import KEY_FLEET_CONFIG
from kumquatwalk.platform.names import PREFIX_OPERATORS
from kumquatwalk.platform.store import Deletion
from kumquatwalk.platform.store import Snapshot
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store import StoreItem
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.roster.entry import RosterEntry

__all__ = ["Daemon"]

# Bound on an answer of the store, in seconds; it answers in milliseconds.
STORE_TIMEOUT_S = 1.5
# Time for which callers are served after SIGTERM, in seconds: they are taken
# away after two readiness checks, which come once a second.
CALLERS_LEAVE_S = 2.6
# Time after SIGTERM at which other nodes are told to choose other targets.
TARGET_LEAVES_S = 1.6
# Time after SIGTERM for which the target's own runs keep the callers' listener
# open, in seconds: they call on through it.
RUNS_END_S = 4.0
# Time before SIGKILL at which a stopping daemon ends all the same, in seconds.
KILL_MARGIN_S = 0.4
_POLL_S = 0.05
_US = 1_000_000


class Daemon:
    """One node: both ends of each call on one event loop.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: DaemonSettings):
        load_schema()
        self._settings = settings
        self._incarnation = int(time.time() * _US)
        self._is_stopping = False
        self._config_pull = ConfigPull()
        self._own_view = TargetView(
            settings.node_id,
            settings.availability_zone,
            settings.service,
            is_reachable=True,
        )
        self._meter = TrafficMeter()
        self._graph = CallGraph()
        self.configs = ConfigHolder(self._apply_config)
        self.target_side = TargetSide(
            settings,
            lambda: self.configs.version,
            self._publish_status,
            self._meter,
        )
        self.peers = Peers(
            self._own_view,
            self._make_hello,
            self._take_status,
            lambda document: self.configs.take(document.document, "peer"),
            self._take_traffic,
        )
        self.caller_side = CallerSide(
            settings,
            self.target_side,
            self._own_view,
            self.peers,
            self._meter,
            self._graph,
            FrontAdmission(self.peers, self._graph, random.Random()),
            RetrySpender(settings.bounds, self.peers, self._graph),
        )
        self.store = StoreClient(settings.store, STORE_TIMEOUT_S)
        self.roster = RosterKeeper(self.store, self._make_entry(), self.peers)
        self._config_watcher = StoreWatcher(
            self.store,
            PREFIX_OPERATORS,
            self._take_config_snapshot,
            self._take_config_event,
        )
        self._prober = TargetProber(settings, self.target_side, self.configs)
        self._make_servers()
        self._news = NodeNews(
            self._own_view,
            self.target_side,
            self._meter,
            self._graph,
            self.peers,
            self._link_server,
        )

    async def start(self) -> None:
        """Begin to serve.

        Raises:
            OSError: An address cannot be listened on.
        """
        await self._link_server.start()
        await self._heartbeat_server.start()
        await self._caller_server.start()
        self._config_watcher.start()
        self.roster.start()
        self._prober.start()
        await self._readiness_server.start()
        self._news.start()
        log_event(
            "daemon_started",
            incarnation=self._incarnation,
            zone=self._settings.availability_zone,
            service=self._settings.service,
            callers=self._settings.caller_listener,
            links=self._settings.link_listener,
        )

    async def drain(self) -> None:
        """Stop gracefully: finish what has arrived, then return."""
        began_at = read_now()
        self._is_stopping = True
        self._caller_server.is_stopping = True
        log_event("daemon_stopping")
        last_s = self._settings.bounds.grace_s - KILL_MARGIN_S
        is_accepting = True
        while True:
            await asyncio.sleep(_POLL_S)
            elapsed_s = read_now() - began_at
            if elapsed_s > TARGET_LEAVES_S and not self.target_side.is_stopping:
                self.target_side.stop()
                self._news.publish_status()
            if is_accepting and self._can_leave_callers(elapsed_s):
                # Callers that still come would be cut off at the end.
                self._caller_server.stop_accepting()
                is_accepting = False
            is_done = not is_accepting and not self._count_in_progress()
            if is_done or elapsed_s > last_s:
                break
        log_event(
            "daemon_drained",
            seconds=read_now() - began_at,
            in_progress=self._count_in_progress(),
        )

    def apply_settings(self, settings: DaemonSettings) -> None:
        """Take changed settings.

        What names this process (its node, service and addresses) holds until
        it ends.

        Args:
            settings: The new settings.
        """
        self.caller_side.set_bounds(settings.bounds)
        self.store.set_address(settings.store)
        log_event("settings_in_force", store=settings.store)

    async def close(self) -> None:
        """End all tasks and close all sockets."""
        self._news.close()
        self._config_watcher.close()
        self.roster.close()
        self._prober.close()
        await self._caller_server.close()
        await self._readiness_server.close()
        await self._heartbeat_server.close()
        self.peers.close()
        await self._link_server.close()
        self.target_side.close()
        self.store.close()
        log_event("daemon_stopped")

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self._is_stopping
            and self.configs.config is not None
            and self.roster.is_known
        )

    def _can_leave_callers(self, elapsed_s: float) -> bool:
        if elapsed_s < CALLERS_LEAVE_S:
            return False
        return not self.target_side.gate.running or elapsed_s > RUNS_END_S

    def _count_in_progress(self) -> int:
        return (
            self._caller_server.requests_in_progress
            + self._link_server.calls_in_progress
        )

    def _make_servers(self) -> None:
        settings = self._settings
        self._link_server = LinkServer(
            settings.link_listener,
            self._make_hello,
            self.target_side.serve,
            self.target_side.get_status,
            self.target_side.get_load,
            lambda: self.configs.document,
            self.roster.take_peer,
        )
        self._caller_server = HttpServer(
            settings.caller_listener, self.caller_side.serve
        )
        self._heartbeat_server = HttpServer(
            settings.heartbeat_listener,
            HeartbeatHandler(self.target_side).handle,
        )
        self._readiness_server = HttpServer(
            settings.readiness_listener,
            ReadinessHandler(lambda: self.is_ready).handle,
        )

    def _make_hello(self) -> Hello:
        settings = self._settings
        return Hello(
            node_id=settings.node_id,
            incarnation=self._incarnation,
            availability_zone=settings.availability_zone,
            service=settings.service,
            host=settings.link_listener.host,
            port=settings.link_listener.port,
            clock_s=read_now(),
        )

    def _make_entry(self) -> RosterEntry:
        settings = self._settings
        return RosterEntry(
            settings.node_id,
            self._incarnation,
            settings.availability_zone,
            settings.service,
            settings.link_listener,
        )

    def _take_status(self, link: PeerLink, status: TargetStatus) -> None:
        is_due = self._config_pull.is_due(
            status.config_version,
            self.configs.version,
            self._config_watcher.is_reached,
            read_now(),
        )
        if is_due:
            link.request_config(self.configs.version)

    def _take_config_snapshot(self, snapshot: Snapshot) -> None:
        for item in snapshot.items:
            self._take_config_event(item)

    def _take_config_event(self, event: StoreItem | Deletion) -> None:
        if isinstance(event, StoreItem) and event.key == KEY_FLEET_CONFIG:
            self.configs.take(event.value, "store")

    def _apply_config(self, config: FleetConfig) -> None:
        self.caller_side.config = config
        self._caller_server.limits = config.limits

    def _publish_status(self) -> None:
        self._news.publish_status()

    def _take_traffic(self, link: PeerLink, report: TrafficReport) -> None:
        view = link.view
        self._graph.take_report(view.node_id, view.service, report, read_now())
