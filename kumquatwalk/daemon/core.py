"""Components of a daemon that do not depend on the formats of its callers."""

import math
import random
import time

from kumquatwalk import codes
from kumquatwalk.address import Address
from kumquatwalk.admission.memory import MemoryAdmission
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.daemon.caller_side import CallerSide
from kumquatwalk.daemon.config_holder import SOURCE_STORE
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.config_pull import ConfigPull
from kumquatwalk.daemon.external_interface import ExternalInterface
from kumquatwalk.daemon.ingress_admission import IngressAdmission
from kumquatwalk.daemon.metrics import DaemonMetrics
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.retry_budgets import RetryBudgets
from kumquatwalk.daemon.roster_sync import RosterSync
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.state_publisher import StatePublisher
from kumquatwalk.daemon.store_watcher import StoreWatcher
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.daemon.team_caps import TeamCaps
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.link_server import LINGER_MAX_S
from kumquatwalk.mesh.link_server import LinkServer
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CapGrant
from kumquatwalk.mesh.message import CapHolder
from kumquatwalk.mesh.message import CrashNotice
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import OwnerQuery
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.schema import load_schema
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.outcome import Outcome
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Deletion
from kumquatwalk.platform.store_items import Snapshot
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.quarantine import CrashTable
from kumquatwalk.quarantine import CrashTracker
from kumquatwalk.retry.fleet_refusals import FleetRefusals
from kumquatwalk.roster.duty import holds_duty
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.routing.known_targets import KnownTargets
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState
from kumquatwalk.tasks import log_errors

__all__ = ["DaemonCore"]

# Timeout of a request to the store, in seconds. Answers usually arrive within
# milliseconds.
STORE_TIMEOUT_S = 1.5
# Interval at which a node that does not watch the store reads the configuration
# there, in seconds: a reserve for when no node that watches is linked.
CONFIG_READ_INTERVAL_S = 10.0
# Nodes that watch the store for the configuration: at least one in each zone,
# and so many in all, as one may be frozen or cut off from the store.
WATCHERS_MIN = 5
# Fraction of the memory of the process that bodies in progress may take. A body
# exists up to four times for a moment: as received, joined, encoded and queued.
BODY_MEMORY_FRACTION = 0.125
# Fraction that answers may take which callers have not taken yet. It is apart
# from the one above, so that slow readers do not keep bodies of requests out.
ANSWER_MEMORY_FRACTION = 0.125
_US = 1_000_000


class DaemonCore:
    """Creates and connects the components of a daemon.

    These are the caller side, the target side, the links to other nodes, the
    roster and the watch of the fleet configuration.

    Args:
        settings: Validated settings.
        interface: Formats of the operators, callers and targets.
        source_host: Local IP address for connections to the store; empty
            leaves the choice to the system.

    Attributes:
        on_config: Called with each fleet configuration that comes into force;
            set by ``Daemon``. Does nothing until then.
        on_restore: Called after the store was restored from a copy; set by
            the composition. Does nothing until then.
        serve_query: Serves another node's query for a request that this node
            may own; set where the interface runs requests at most once. Until
            then it replies that the outcome is unknown.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        interface: ExternalInterface,
        source_host: str = "",
    ):
        load_schema()
        self.settings = settings
        self.incarnation = int(time.time() * _US)
        self._interface = interface
        self._config_pull = ConfigPull()
        self.registry = MetricsRegistry()
        self.metrics = DaemonMetrics(self.registry)
        self.partition = Partition()
        self.body_budget = ByteBudget(
            int(settings.memory_max_bytes * BODY_MEMORY_FRACTION)
        )
        self.answer_budget = ByteBudget(
            int(settings.memory_max_bytes * ANSWER_MEMORY_FRACTION)
        )
        self.memory = MemoryAdmission(self.answer_budget, self.body_budget)
        self.own_view = TargetView(
            settings.node_id,
            settings.availability_zone,
            settings.service,
            is_reachable=True,
        )
        self.configs = ConfigHolder(
            interface.decode_config, self._notify_config
        )
        self.on_config = _ignore_config
        self.on_restore = _ignore_restore
        self.serve_query = _reply_unknown
        self._traffic = TrafficMeter()
        self._graph = CallGraph()
        self._refusals = FleetRefusals()
        self._known_targets = KnownTargets()
        self._crash_tracker = CrashTracker(
            CrashTable(),
            lambda report: self.link_server.broadcast(CrashNotice(report)),
        )
        self.store = StoreClient(settings.store, STORE_TIMEOUT_S, source_host)
        self._make_call_sides()
        self.link_server = LinkServer(
            settings.link_listener,
            self.make_hello,
            self.target_side.serve_peer,
            self.target_side.release_reply,
            self._serve_query,
            self.target_side.get_status,
            self.target_side.get_load,
            lambda: self.configs.document,
            self._list_crash_notices,
            self._add_peer,
            self.partition,
            self.body_budget,
        )
        self.config_watcher = StoreWatcher(
            self.store,
            interface.config_prefix,
            self._apply_config_snapshot,
            self._apply_config_event,
            self.has_watch_duty,
            lambda: CONFIG_READ_INTERVAL_S,
        )
        self.roster = RosterSync(
            self.store, settings.node_id, self._make_entry, self.peers
        )
        self.caps = TeamCaps(
            settings,
            self.incarnation,
            self.store,
            self.peers,
            lambda: self.roster.is_known,
            self.registry,
        )
        self.caller_side.caps = self.caps
        self.link_server.lend_tokens = self.caps.lend_tokens
        self.store.era.on_restore = self._handle_restore
        self.state_publisher = StatePublisher(
            self.own_view,
            self.target_side,
            self._traffic,
            self._graph,
            self.peers,
            self.link_server,
            self._retry_budgets,
            self._refusals,
        )

    async def start(self) -> None:
        """Listen for other nodes and start to watch the store.

        Raises:
            OSError: The address for links cannot be bound.
        """
        await self.link_server.start()
        self.peers.start()
        self.config_watcher.start()
        self.roster.start()
        self.state_publisher.start()

    async def close(self, linger_max_s: float = LINGER_MAX_S) -> None:
        """Stop all tasks and close all sockets; log errors.

        Args:
            linger_max_s: See ``LinkServer.close``.
        """
        for component in (
            self.caps,
            self.state_publisher,
            self.config_watcher,
            self.roster,
            self.peers,
        ):
            with log_errors("close"):
                component.close()
        with log_errors("close"):
            await self.link_server.close(linger_max_s)
        for component in (self.target_side, self.store):
            with log_errors("close"):
                component.close()

    def set_end(
        self,
        ends_at: float,
        typical_until: float = -math.inf,
        certain_from: float = math.inf,
    ) -> None:
        """Set the end of the drain, at which all requests have an answer.

        Args:
            ends_at: End of the drain, in seconds.
            typical_until: See ``StopAdmission.set_end``.
            certain_from: See ``StopAdmission.set_end``; for requests of callers
                on this VM only, as peers choose other targets.
        """
        self.caps.begin_stop()
        self.caller_side.set_end(ends_at, typical_until, certain_from)
        self.target_side.stop_admission.set_end(ends_at, typical_until)

    def make_hello(self, receiver: str = "") -> Hello:
        """Return this node's first message on a link.

        Args:
            receiver: Identifier of the node that it is for. The message says
                which target of that node has left, and which was last ready, as
                a node that has been restarted does not know it.
        """
        settings = self.settings
        left_key, left_start_ms = self.caller_side.leaving.find(receiver)
        known_key, known_service = self._known_targets.find(receiver)
        return Hello(
            node_id=settings.node_id,
            incarnation=self.incarnation,
            availability_zone=settings.availability_zone,
            service=self.target_side.service,
            host=settings.link_listener.host,
            port=self.link_server.port,
            clock_s=read_now(),
            left_target_key=left_key,
            left_target_start_ms=left_start_ms,
            takes_cap_requests=True,
            known_target_key=known_key,
            known_target_service=known_service,
        )

    def _hedge_call(self, call: Call) -> None:
        self.link_server.hedge(call)

    def _make_call_sides(self) -> None:
        metrics = self.metrics
        self.peers = Peers(
            self.own_view,
            self.make_hello,
            PeerCallbacks(
                self._handle_status,
                lambda document: self.configs.update(document.document, "peer"),
                self._handle_traffic_report,
                self._handle_crash_notice,
                self._handle_cap_answer,
                self._recall_target,
            ),
            self.partition,
            self.body_budget,
            self.memory.is_short,
        )
        self.target_side = TargetSide(
            self.settings,
            self._interface,
            self.configs,
            self.peers.count_targets,
            self.peers.has_other_target,
            self._publish_target_change,
            self._hedge_call,
            self._traffic,
            metrics,
            self.body_budget,
            self._crash_tracker,
        )
        self._retry_budgets = RetryBudgets(
            self.settings.bounds,
            self.peers,
            self._graph,
            self.settings.admits_by_retries,
        )
        self.ingress_admission = IngressAdmission(
            self.peers, self._graph, random.Random(), self._refusals
        )
        self._retry_budgets.limits_requests = lambda: bool(
            self.ingress_admission.retry_shares
        )
        self.caller_side = CallerSide(
            self.settings,
            self.target_side,
            self.own_view,
            self.peers,
            self._traffic,
            self._graph,
            self.ingress_admission,
            self._retry_budgets,
            metrics,
            self._crash_tracker,
            self.memory,
        )

    def _make_entry(self) -> RosterEntry:
        settings = self.settings
        return RosterEntry(
            settings.node_id,
            self.incarnation,
            settings.availability_zone,
            self.target_side.service,
            Address(settings.link_listener.host, self.link_server.port),
        )

    def _publish_target_change(self) -> None:
        service = self.target_side.service
        if self.own_view.service != service:
            self.own_view.service = service
            self.link_server.broadcast(self.make_hello())
            self.roster.update_entry()
        self.state_publisher.publish_status()

    async def _serve_query(self, query: OwnerQuery) -> Reply:
        return await self.serve_query(query)

    def _add_peer(self, hello: Hello) -> None:
        self.roster.add_peer(hello)
        self._recall_target(hello)

    def _recall_target(self, hello: Hello) -> None:
        """Apply what a peer remembers of the target beside this node."""
        if hello.left_target_key:
            self.target_side.recall_departure(
                hello.left_target_key, hello.left_target_start_ms
            )
        if hello.known_target_key:
            self.target_side.recall_target(
                hello.known_target_key, hello.known_target_service
            )

    def _handle_status(self, view: TargetView, status: TargetStatus) -> None:
        # Without its start, it could not be told from its next one.
        if status.is_leaving and status.target_start_ms:
            self.caller_side.leaving.record(view.node_id, status)
        if status.state is TargetState.READY and status.target_key:
            self._known_targets.record(
                view.node_id, status.target_key, view.service
            )
        is_due = self._config_pull.is_due(
            status.config_version,
            self.configs.version,
            self.config_watcher.is_watching,
            view.availability_zone == self.settings.availability_zone,
            read_now(),
        )
        link = self.peers.find(view.node_id)
        if is_due and link is not None:
            link.request_config(self.configs.version)

    def _handle_traffic_report(
        self, view: TargetView, report: TrafficReport
    ) -> None:
        now = read_now()
        self._graph.add_report(view.node_id, view.service, report, now)
        self._refusals.add_report(
            view.node_id, view.service, report.refusals, now
        )

    def _handle_crash_notice(self, notice: CrashNotice) -> None:
        self._crash_tracker.handle_broadcast(notice.report, read_now())

    def _handle_cap_answer(self, answer: CapGrant | CapHolder) -> None:
        self.caps.handle_answer(answer)

    def _list_crash_notices(self) -> list[CrashNotice]:
        reports = self._crash_tracker.list_reports(read_now())
        return [CrashNotice(report) for report in reports]

    def _apply_config_snapshot(self, snapshot: Snapshot) -> None:
        for item in snapshot.items:
            self._apply_config_event(item)

    def _apply_config_event(self, event: StoreItem | Deletion) -> None:
        is_item = isinstance(event, StoreItem)
        if is_item and event.key == self._interface.config_key:
            self.configs.update(event.value, SOURCE_STORE)

    def _notify_config(self, config: FleetConfig) -> None:
        self.caps.set_teams(config.teams)
        self.on_config(config)
        # Other nodes read the version in the status and ask for the document.
        self.state_publisher.publish_status()

    def _handle_restore(self) -> None:
        self.caps.handle_restore()
        self.config_watcher.handle_restore()
        self.roster.handle_restore()
        self.on_restore()

    def has_watch_duty(self) -> bool:
        """Return whether this node is to watch the store for its zone."""
        zone = self.settings.availability_zone
        return holds_duty(
            self.settings.node_id,
            self.peers.list_ids_of_zone(zone),
            math.ceil(WATCHERS_MIN / self.peers.count_zones()),
        )


def _ignore_config(_config: FleetConfig) -> None:
    pass


def _ignore_restore() -> None:
    pass


async def _reply_unknown(_query: OwnerQuery) -> Reply:
    return Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)
