"""Composition root: makes the parts of a node and wires them."""

import functools
import random
import sys
import threading
import time
from typing import Any

from kumquatwalk.admission.gate import AdmissionGate
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.catalogue.watcher import CatalogueWatcher
from kumquatwalk.exception import FrameError
from kumquatwalk.gateway.server import HttpServer
from kumquatwalk.gateway.workers import WorkerPool
from kumquatwalk.idempotency.attempt_table import AttemptTable
from kumquatwalk.idempotency.claim_budget import ClaimBudget
from kumquatwalk.idempotency.claim_keeper import ClaimKeeper
from kumquatwalk.idempotency.claim_keeper import NodeIdentity
from kumquatwalk.idempotency.request_table import RequestTable
from kumquatwalk.idempotency.ticket_issuer import TicketIssuer
from kumquatwalk.link.call import Call
from kumquatwalk.link.catalogue_request import CatalogueRequest
from kumquatwalk.link.forward import Forward
from kumquatwalk.link.identity import Identity
from kumquatwalk.link.partition import Partition
from kumquatwalk.link.pool import LinkPool
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.reply import measure_reply
from kumquatwalk.link.schema import load_schema
from kumquatwalk.link.server import LinkServer
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.config import MembershipConfig
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.rendezvous import Rendezvous
from kumquatwalk.membership.rendezvous_config import RendezvousConfig
from kumquatwalk.membership.service import Membership
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.node.caller_listener import CallerListener
from kumquatwalk.node.catalogue_sync import CatalogueSync
from kumquatwalk.node.crash_watch import CrashWatch
from kumquatwalk.node.entry import EntrySide
from kumquatwalk.node.gate import GateSide
from kumquatwalk.node.local_listener import LocalListener
from kumquatwalk.node.meters import NodeMeters
from kumquatwalk.node.meters import add_state_gauges
from kumquatwalk.node.once import OnceRequests
from kumquatwalk.node.rejection import log_rejection
from kumquatwalk.node.requests import OutsideRequests
from kumquatwalk.node.run_calls import RunCalls
from kumquatwalk.node.runner import Runner
from kumquatwalk.node.runs import RunTable
from kumquatwalk.node.settings import NodeSettings
from kumquatwalk.node.status import NodeStatus
from kumquatwalk.node.target_watch import TargetWatch
from kumquatwalk.node.zone_role import ZoneRole
from kumquatwalk.platform.client import PlatformClient
from kumquatwalk.quarantine import CrashTable
from kumquatwalk.retry.budget import RetryBudget
from kumquatwalk.routing.levels import EntryLevels
from kumquatwalk.routing.table import RouteTable

__all__ = ["Composition"]

_SWITCH_INTERVAL_S = 0.0005
_STACK_BYTES = 256 * 1024
_FRAME_OVERHEAD_BYTES = 65536
_CLAIMS_PER_S = 20.0
_CLAIM_BURST = 40.0
_MS = 1000


class Composition:
    """Makes all parts of a node, in the order in which they need each other.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: NodeSettings):
        sys.setswitchinterval(_SWITCH_INTERVAL_S)
        threading.stack_size(_STACK_BYTES)
        load_schema()
        self.settings = settings
        now = time.monotonic()
        incarnation = int(time.time() * _MS)
        identity = Identity(settings.node_id, incarnation, settings.host)
        payload_max = settings.body_bytes_max + _FRAME_OVERHEAD_BYTES
        self.registry = MetricsRegistry()
        self._meters = NodeMeters(self.registry)
        self.partition = Partition()
        self.replica = CatalogueReplica()
        self._levels = EntryLevels(lambda: self.replica.current().entries)
        self.routes = RouteTable(settings.zone, random.Random())
        self.links = LinkPool(identity, self.partition, payload_max)
        self.admission = AdmissionGate(now)
        self._runs = RunTable()
        self._crash_watch = CrashWatch(
            identity, CrashTable(), self._broadcast_crash
        )
        self._runner = Runner(self._runs, self.admission, self._crash_watch)
        self._gate = GateSide(
            self.replica,
            self.admission,
            self._runner,
            AttemptTable(measure_reply),
            self._crash_watch,
            self._levels,
            self._meters,
        )
        self._entry = EntrySide(
            settings.node_id,
            self._gate,
            self.routes,
            self._levels,
            self.links,
            RetryBudget(),
            self._meters,
        )
        self.link_server = LinkServer(
            identity,
            settings.link_port,
            self._handle_link,
            log_rejection,
            self.partition,
            payload_max,
            settings.link_connections_max,
        )
        self.membership = self._make_membership(incarnation)
        self.sync = CatalogueSync(self.replica, self.membership, self.links)
        self._client = self._make_client()
        self._once = self._make_once(identity)
        self._role = ZoneRole(
            settings.node_id, settings.zone, self.membership, now
        )
        self.watcher = self._make_watcher()
        self.rendezvous = self._make_rendezvous()
        self._caller_workers = WorkerPool("caller", settings.workers_max)
        self._local_workers = WorkerPool("local", settings.workers_max)
        add_state_gauges(
            self.registry,
            self.admission,
            self._runs,
            self.replica,
            self.membership,
        )
        self.caller_server = self._make_caller_server()
        self.local_server = self._make_local_server()

    @functools.singledispatchmethod
    def _handle_link(self, message: Any) -> Any:
        raise FrameError(
            "frame_unexpected", f"not a request: {type(message).__name__}"
        )

    @_handle_link.register
    def _handle_call(self, message: Call) -> Reply:
        return self._gate.handle(message)

    @_handle_link.register
    def _handle_forward(self, message: Forward) -> Reply:
        return self._once.serve_forward(message)

    @_handle_link.register
    def _handle_catalogue(self, message: CatalogueRequest) -> Any:
        return self.sync.reply(message)

    def _make_membership(self, incarnation: int) -> Membership:
        settings = self.settings
        config = MembershipConfig(
            node_id=settings.node_id,
            incarnation=incarnation,
            zone=settings.zone,
            host=settings.host,
            link_port=self.link_server.port,
            gossip_port=settings.gossip_port,
            peers=tuple(Address(p.host, p.port) for p in settings.peers),
        )
        callbacks = MembershipCallbacks(
            on_broadcast=self._take_broadcast,
            on_newer_revision=self._note_newer,
        )
        return Membership(config, callbacks, self.partition.blocks)

    def _take_broadcast(self, kind: BroadcastKind, payload: bytes) -> None:
        if kind is BroadcastKind.CATALOGUE_RECORD:
            self.sync.take_broadcast(payload)
        else:
            self._crash_watch.take_broadcast(payload, time.monotonic())

    def _broadcast_crash(self, payload: bytes) -> None:
        self.membership.broadcast(BroadcastKind.CRASH_REPORT, payload)

    def _note_newer(self, member, revision: int) -> None:
        self.sync.note_newer(member, revision)

    def _make_client(self) -> PlatformClient | None:
        if not self.settings.platform:
            return None
        addresses = ",".join(str(a) for a in self.settings.platform)
        return PlatformClient(addresses, self.settings.host)

    def _make_watcher(self) -> CatalogueWatcher | None:
        if self._client is None:
            return None
        return CatalogueWatcher(
            self._client,
            self.replica,
            self._role.is_representative,
            self.sync.spread,
            self.sync.report,
        )

    def _make_rendezvous(self) -> Rendezvous | None:
        if self._client is None:
            return None
        settings = self.settings
        config = RendezvousConfig(
            settings.node_id, settings.zone, settings.zones
        )
        return Rendezvous(config, self.membership, self._client)

    def _make_once(self, identity: Identity) -> OnceRequests:
        owner = NodeIdentity(
            identity.node_id,
            identity.incarnation,
            identity.host,
            self.link_server.port,
        )
        keeper = None
        if self._client is not None:
            budget = ClaimBudget(_CLAIMS_PER_S, _CLAIM_BURST)
            keeper = ClaimKeeper(self._client, owner, budget)
        self._requests = OutsideRequests(self.replica, self._entry)
        self._issuer = TicketIssuer(
            owner.node_id, owner.incarnation, owner.host, owner.link_port
        )
        return OnceRequests(
            identity,
            self._find_member,
            self._requests,
            self._issuer,
            RequestTable(measure_reply),
            keeper,
            self.links,
        )

    def _find_member(self, node_id: str) -> Member | None:
        return self.membership.snapshot().get(node_id)

    def _make_caller_server(self) -> HttpServer:
        settings = self.settings
        listener = CallerListener(
            self._requests, self._once, self._issuer, self._meters
        )
        return HttpServer(
            settings.host,
            settings.http_port,
            listener.handle,
            self._caller_workers,
            settings.body_bytes_max,
            settings.header_bytes_max,
        )

    def _make_local_server(self) -> HttpServer:
        settings = self.settings
        self.target_watch = TargetWatch(
            settings.local_host,
            self.admission,
            self._runner,
            self.membership,
            settings.body_bytes_max,
        )
        listener = LocalListener(
            RunCalls(self.replica, self._runs, self._entry),
            self.target_watch,
            NodeStatus(settings, self.membership, self.replica, self.routes),
            self.registry,
            self.partition if settings.enable_faults else None,
        )
        return HttpServer(
            settings.local_host,
            settings.local_port,
            listener.handle,
            self._local_workers,
            settings.body_bytes_max,
            settings.header_bytes_max,
        )
