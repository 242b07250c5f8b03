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
from kumquatwalk.link.schema import load_schema
from kumquatwalk.link.server import LinkServer
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.broadcastkind import BroadcastKind
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.config import MembershipConfig
from kumquatwalk.membership.service import Membership
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.node.caller_listener import CallerListener
from kumquatwalk.node.catalogue_sync import CatalogueSync
from kumquatwalk.node.entry import EntrySide
from kumquatwalk.node.gate import GateSide
from kumquatwalk.node.local_listener import LocalListener
from kumquatwalk.node.once import OnceRequests
from kumquatwalk.node.requests import OutsideRequests
from kumquatwalk.node.run_calls import RunCalls
from kumquatwalk.node.runner import Runner
from kumquatwalk.node.runs import RunTable
from kumquatwalk.node.settings import NodeSettings
from kumquatwalk.node.status import NodeStatus
from kumquatwalk.node.target_watch import TargetWatch
from kumquatwalk.platform.client import PlatformClient
from kumquatwalk.retry.budget import RetryBudget
from kumquatwalk.routing.levels import EntryLevels
from kumquatwalk.routing.table import RouteTable

__all__ = ["Node"]

_SWITCH_INTERVAL_S = 0.0005
_STACK_BYTES = 256 * 1024
_ROUTES_INTERVAL_S = 0.05
_FRAME_OVERHEAD_BYTES = 65536
_CLAIMS_PER_S = 20.0
_CLAIM_BURST = 40.0
_MS = 1000


class Node:
    """One node; all of its parts are made here and nowhere else.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: NodeSettings):
        sys.setswitchinterval(_SWITCH_INTERVAL_S)
        threading.stack_size(_STACK_BYTES)
        load_schema()
        self._settings = settings
        now = time.monotonic()
        incarnation = int(time.time() * _MS)
        identity = Identity(settings.node_id, incarnation, settings.host)
        payload_max = settings.body_bytes_max + _FRAME_OVERHEAD_BYTES
        self.registry = MetricsRegistry()
        self._partition = Partition()
        self._replica = CatalogueReplica()
        self._levels = EntryLevels()
        self._routes = RouteTable(settings.zone, random.Random())
        self._links = LinkPool(identity, self._partition, payload_max)
        self._admission = AdmissionGate(now)
        self._runs = RunTable()
        self._runner = Runner(self._runs, self._admission)
        self._gate = GateSide(
            self._replica,
            self._admission,
            self._runner,
            AttemptTable(measure_reply),
            self._levels,
        )
        self._entry = EntrySide(
            settings.node_id,
            self._gate,
            self._routes,
            self._levels,
            self._links,
            RetryBudget(),
        )
        self._link_server = LinkServer(
            identity,
            settings.link_port,
            self._handle_link,
            _log_bad_frame,
            self._partition,
            payload_max,
            settings.link_connections_max,
        )
        self._membership = self._make_membership(incarnation)
        self._sync = CatalogueSync(self._replica, self._membership, self._links)
        self._client = self._make_client()
        self._once = self._make_once(identity)
        self._watcher = self._make_watcher()
        self._caller_workers = WorkerPool("caller", settings.workers_max)
        self._local_workers = WorkerPool("local", settings.workers_max)
        self._caller_server = self._make_caller_server()
        self._local_server = self._make_local_server()
        self._routes_sequence = -1
        self._is_closed = threading.Event()

    @property
    def http_port(self) -> int:
        """TCP port for outside callers."""
        return self._caller_server.port

    @property
    def local_port(self) -> int:
        """TCP port of the local listener."""
        return self._local_server.port

    @property
    def link_port(self) -> int:
        """TCP port for other nodes."""
        return self._link_server.port

    @property
    def gossip_port(self) -> int:
        """UDP port for membership messages."""
        return self._membership.gossip_port

    def start(self) -> None:
        """Bind all listeners and start serving.

        Raises:
            OSError: An address cannot be bound.
            MembershipError: The gossip address cannot be bound.
        """
        self._membership.start()
        self._sync.start()
        self._link_server.start()
        self._local_server.start()
        if self._watcher is not None:
            self._watcher.start()
        thread = threading.Thread(
            target=self._follow_members, name="routes", daemon=True
        )
        thread.start()
        self._caller_server.start()
        log_event(
            "node_started",
            zone=self._settings.zone,
            http=self.http_port,
            local=self.local_port,
            link=self.link_port,
            gossip=self.gossip_port,
        )

    def close(self) -> None:
        """Stop without waiting for requests in progress."""
        self._is_closed.set()
        if self._watcher is not None:
            self._watcher.close()
        self._sync.close()
        self._caller_server.close(0.0)
        self._local_server.close(0.0)
        self._link_server.close()
        self._links.close()
        self._membership.close()
        log_event("node_stopped")

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
        return self._sync.reply(message)

    def _make_membership(self, incarnation: int) -> Membership:
        settings = self._settings
        config = MembershipConfig(
            node_id=settings.node_id,
            incarnation=incarnation,
            zone=settings.zone,
            host=settings.host,
            link_port=self._link_server.port,
            gossip_port=settings.gossip_port,
            peers=tuple(Address(p.host, p.port) for p in settings.peers),
        )
        callbacks = MembershipCallbacks(
            on_broadcast=self._take_broadcast,
            on_newer_revision=self._note_newer,
        )
        return Membership(config, callbacks, self._partition.blocks)

    def _take_broadcast(self, kind: BroadcastKind, payload: bytes) -> None:
        if kind is BroadcastKind.CATALOGUE_RECORD:
            self._sync.take_broadcast(payload)

    def _note_newer(self, member, revision: int) -> None:
        self._sync.note_newer(member, revision)

    def _make_client(self) -> PlatformClient | None:
        if not self._settings.platform:
            return None
        addresses = ",".join(str(a) for a in self._settings.platform)
        return PlatformClient(addresses, self._settings.host)

    def _make_watcher(self) -> CatalogueWatcher | None:
        if self._client is None:
            return None
        return CatalogueWatcher(
            self._client,
            self._replica,
            lambda: True,
            self._sync.spread,
            self._sync.report,
        )

    def _make_once(self, identity: Identity) -> OnceRequests:
        owner = NodeIdentity(
            identity.node_id,
            identity.incarnation,
            identity.host,
            self.link_port,
        )
        keeper = None
        if self._client is not None:
            budget = ClaimBudget(_CLAIMS_PER_S, _CLAIM_BURST)
            keeper = ClaimKeeper(self._client, owner, budget)
        self._requests = OutsideRequests(self._replica, self._entry)
        self._issuer = TicketIssuer(
            owner.node_id, owner.incarnation, owner.host, owner.link_port
        )
        return OnceRequests(
            identity,
            self._requests,
            self._issuer,
            RequestTable(measure_reply),
            keeper,
            self._links,
        )

    def _make_caller_server(self) -> HttpServer:
        settings = self._settings
        listener = CallerListener(self._requests, self._once, self._issuer)
        return HttpServer(
            settings.host,
            settings.http_port,
            listener.handle,
            self._caller_workers,
            settings.body_bytes_max,
            settings.header_bytes_max,
        )

    def _make_local_server(self) -> HttpServer:
        settings = self._settings
        target_watch = TargetWatch(
            settings.local_host, self._admission, self._runner, self._membership
        )
        listener = LocalListener(
            RunCalls(self._replica, self._runs, self._entry),
            target_watch,
            NodeStatus(settings, self._membership, self._replica),
            self.registry,
            self._partition if settings.enable_faults else None,
        )
        return HttpServer(
            settings.local_host,
            settings.local_port,
            listener.handle,
            self._local_workers,
            settings.body_bytes_max,
            settings.header_bytes_max,
        )

    def _follow_members(self) -> None:
        while not self._is_closed.wait(_ROUTES_INTERVAL_S):
            snapshot = self._membership.snapshot()
            if snapshot.sequence == self._routes_sequence:
                continue
            self._routes_sequence = snapshot.sequence
            self._routes.update(snapshot.members.values())
            own = snapshot.members[self._settings.node_id]
            targets = len(snapshot.members_of(own.target.service))
            self._admission.set_shares(max(targets, 1))


def measure_reply(reply: Reply) -> int:
    """Return the bytes that a kept reply holds."""
    return len(reply.headers) + len(reply.body)


def _log_bad_frame(host: str, error: FrameError) -> None:
    log_event(
        "frame_rejected",
        Level.WARNING,
        peer=host,
        code=error.code,
        error=error.message,
    )
