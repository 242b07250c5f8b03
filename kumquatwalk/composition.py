"""Composition root: creates a daemon from its settings."""

import functools
import resource

from kumquatwalk.address import Address
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.daemon.heartbeats import HeartbeatHandler
from kumquatwalk.daemon.core import DaemonCore
from kumquatwalk.daemon.optional_server import OptionalServer
from kumquatwalk.daemon.platform_interface import PlatformInterface
from kumquatwalk.daemon.process import Daemon
from kumquatwalk.daemon.readiness import ReadinessHandler
from kumquatwalk.daemon.route_handler import RouteHandler
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.status import StatusHandler
from kumquatwalk.daemon.target_prober import TargetProber
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.caller_connection import Handler
from kumquatwalk.http1.connection_account import ConnectionAccount
from kumquatwalk.http1.connection_account import count_connections_max
from kumquatwalk.http1.connection_account import count_reserved_descriptors
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.native.settings import NodeSettings
from kumquatwalk.platform.request_headers import find_attempt_id

__all__ = ["make_daemon"]

# Initial rate and burst of a node's claim writes. The rate then adapts to the
# responses of the store.
INITIAL_CLAIMS_PER_S = 20.0
CLAIM_BURST = 40.0
# Limits on requests of the target, of health checks and of operators: their
# bodies are small.
AUXILIARY_LIMITS = CallerLimits(body_bytes_max=64 * 1024)
# Fraction of the memory of the process that each of their listeners may take.
AUXILIARY_MEMORY_FRACTION = 1 / 64
# Fraction of the memory of the process for callers' connections, their heads
# and what is received and not parsed yet.
CONNECTION_MEMORY_FRACTION = 0.125
# Fraction of the reserved descriptors for the connections of each auxiliary
# listener.
AUXILIARY_DESCRIPTORS_FRACTION = 0.125


@functools.singledispatch
def make_daemon(settings: object) -> Daemon:
    """Create a daemon without starting it.

    Args:
        settings: Validated settings. Their type selects the interface to
            callers, targets and operators.

    Raises:
        TypeError: There is no daemon for settings of this type.
    """
    raise TypeError(f"not the settings of a daemon: {type(settings).__name__}")


def _find_descriptors_max(settings: DaemonSettings) -> int:
    """Return the descriptors that settings and kernel allow."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return settings.fds_max
    return min(settings.fds_max, soft)


def _make_caller_account(core: DaemonCore) -> ConnectionAccount:
    """Return the account of the connections of all callers."""
    settings = core.settings
    return ConnectionAccount(
        int(settings.memory_max_bytes * CONNECTION_MEMORY_FRACTION),
        count_connections_max(_find_descriptors_max(settings)),
        core.metrics.record_closed,
    )


def _make_auxiliary_server(
    core: DaemonCore, address: Address, handler: Handler
) -> HttpServer:
    """Return a server whose memory does not depend on that of others."""
    settings = core.settings
    size = int(settings.memory_max_bytes * AUXILIARY_MEMORY_FRACTION)
    reserved = count_reserved_descriptors(_find_descriptors_max(settings))
    account = ConnectionAccount(
        size,
        max(2, int(reserved * AUXILIARY_DESCRIPTORS_FRACTION)),
        core.metrics.record_closed,
    )
    return HttpServer(
        address, handler, AUXILIARY_LIMITS, ByteBudget(size), account=account
    )


@make_daemon.register
def _make_platform_daemon(settings: DaemonSettings) -> Daemon:
    core = DaemonCore(settings, PlatformInterface())
    callers = RouteHandler(core.configs, core.caller_side)
    heartbeats = HeartbeatHandler(core.target_side)
    readiness = ReadinessHandler(lambda: daemon.is_ready)
    auxiliary_services = [
        TargetProber(settings, core.target_side, core.configs),
        _make_auxiliary_server(
            core, settings.readiness_listener, readiness.handle
        ),
    ]
    if settings.metrics_listener is not None:
        status = StatusHandler(core)
        metrics_server = _make_auxiliary_server(
            core, settings.metrics_listener, status.handle
        )
        auxiliary_services.append(OptionalServer(metrics_server))
    server = HttpServer(
        settings.caller_listener,
        callers.handle,
        budget=core.body_budget,
        answer_budget=core.answer_budget,
        refuse=callers.refuse,
        estimate_answer=callers.estimate_answer,
        identify=find_attempt_id,
        on_unanswered=core.metrics.record_unanswered,
        account=_make_caller_account(core),
    )
    target_server = _make_auxiliary_server(
        core, settings.heartbeat_listener, heartbeats.handle
    )
    daemon = Daemon(core, server, target_server, tuple(auxiliary_services))
    return daemon


@make_daemon.register
def _make_native_daemon(settings: NodeSettings) -> Daemon:
    # A node with the platform's interface does not need these.
    # pylint: disable=import-outside-toplevel, too-many-locals
    from kumquatwalk.idempotency.claim_budget import ClaimBudget
    from kumquatwalk.idempotency.claim_restorer import ClaimRestorer
    from kumquatwalk.idempotency.claim_store import ClaimStore
    from kumquatwalk.idempotency.claim_store import NodeIdentity
    from kumquatwalk.idempotency.claim_sweeper import ClaimSweeper
    from kumquatwalk.idempotency.request_table import RequestTable
    from kumquatwalk.idempotency.ticket_issuer import TicketIssuer
    from kumquatwalk.native.announcements import AnnouncementHandler
    from kumquatwalk.native.catalogue_restorer import CatalogueRestorer
    from kumquatwalk.native.entry_handler import EntryHandler
    from kumquatwalk.native.entry_handler import RootRequests
    from kumquatwalk.native.interface import NativeInterface
    from kumquatwalk.native.local_handler import LocalHandler
    from kumquatwalk.native.at_most_once import AtMostOnceRequests
    from kumquatwalk.native.nested_calls import NestedCalls
    from kumquatwalk.targets.run import measure_reply

    core = DaemonCore(
        settings.make_daemon_settings(),
        NativeInterface(settings.make_caller_limits()),
        source_host=settings.host,
    )
    issuer = TicketIssuer(settings.node_id, core.incarnation)
    identity = NodeIdentity(settings.node_id, core.incarnation)
    claim_store = ClaimStore(
        core.store, identity, ClaimBudget(INITIAL_CLAIMS_PER_S, CLAIM_BURST)
    )
    root_requests = RootRequests(core.caller_side)
    once_requests = AtMostOnceRequests(
        identity,
        core.configs,
        core.peers.connect,
        root_requests.run,
        issuer,
        RequestTable(measure_reply),
        claim_store,
    )
    core.serve_query = once_requests.serve_query
    entries = EntryHandler(core.configs, root_requests, once_requests, issuer)
    local = LocalHandler(
        NestedCalls(core.configs, core.target_side.runs, core.caller_side),
        AnnouncementHandler(
            settings.local_host, settings.zone, core.target_side
        ),
        StatusHandler(core),
        core.partition if settings.enable_faults else None,
    )
    limits = settings.make_caller_limits()
    account = _make_caller_account(core)
    server = HttpServer(
        Address(settings.host, settings.http_port),
        entries.handle,
        limits,
        core.body_budget,
        core.answer_budget,
        entries.refuse,
        on_unanswered=core.metrics.record_unanswered,
        account=account,
    )
    local_server = HttpServer(
        Address(settings.local_host, settings.local_port),
        local.handle,
        limits,
        core.body_budget,
        core.answer_budget,
        on_unanswered=core.metrics.record_unanswered,
        account=account,
    )
    restorer = CatalogueRestorer(core.store, core.configs, core.has_watch_duty)
    claim_restorer = ClaimRestorer(core.store, claim_store.held)

    def handle_restore():
        claim_store.handle_restore()
        claim_restorer.handle_restore()
        restorer.handle_restore()

    core.on_restore = handle_restore
    sweeper = ClaimSweeper(
        core.store, lambda: core.peers.has_lowest_reachable_id
    )
    return Daemon(
        core, server, local_server, (sweeper, restorer, claim_restorer)
    )
