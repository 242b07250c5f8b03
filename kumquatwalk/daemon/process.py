"""Life cycle of a daemon: start, graceful stop, close."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.daemon.core import DaemonCore
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.event_loop import handle_pending_events
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.link_server import LINGER_MAX_S
from kumquatwalk.tasks import log_errors

__all__ = ["Component", "Daemon"]

# Minimum time after SIGTERM for which callers are accepted, in seconds. They
# are sent elsewhere after two failed readiness checks, made once a second.
CALLER_DRAIN_S = 2.6
# Time after SIGTERM from which a request is taken only if it ends in time
# whatever its target does, in seconds.
CERTAIN_AFTER_S = 2.8
# Time after SIGTERM at which other nodes are told to choose other targets, in
# seconds.
TARGET_DRAIN_DELAY_S = 1.6
# Time before SIGKILL at which requests have ended, in seconds: well within the
# last sixth of the usual grace period, in which a target may be cut off.
ANSWER_MARGIN_S = 0.6
# Time before SIGKILL until which callers may take their answers, in seconds.
SETTLE_MARGIN_S = 0.3
# Time before SIGKILL until which other nodes may take their replies, in
# seconds.
CLOSE_MARGIN_S = 0.2
# Time before the end of the drain at which calls in the queue of the target are
# refused, in seconds, so that the refusals still reach their callers.
QUEUE_MARGIN_S = 0.15
# Time for which calls are still refused after the drain, in seconds: those that
# other nodes send before they see that this one takes no more.
REFUSAL_S = 0.1
_POLL_S = 0.05


class Component(Protocol):
    """Listener or task that starts and closes with the daemon."""

    async def start(self) -> None:
        """Start the component."""

    async def close(self) -> None:
        """Close the component."""


class Daemon:
    """One node: caller side and target side on one event loop.

    Args:
        core: Components that do not depend on the formats of the callers.
        caller_server: Listener for callers.
        target_server: Listener for heartbeats of the target; on the native
            interface also for its nested calls.
        components: Other listeners and tasks, in starting order.

    Attributes:
        core: Components that do not depend on the formats of the callers.
        is_stopping: Whether the graceful stop has begun.
        check_settings: Called as the stop begins, to apply settings that have
            changed and have not been noticed yet.
    """

    def __init__(
        self,
        core: DaemonCore,
        caller_server: HttpServer,
        target_server: HttpServer,
        components: tuple[Component, ...],
    ):
        self.core = core
        self.is_stopping = False
        self.check_settings: Callable[[], None] = _do_nothing
        self._grace_s = core.settings.bounds.grace_s
        self._closes_by = math.inf
        self._caller_server = caller_server
        self._target_server = target_server
        self._components = (target_server, *components)
        servers = (caller_server, *self._components)
        self._servers = tuple(s for s in servers if isinstance(s, HttpServer))
        core.on_config = self._apply_config

    @property
    def caller_port(self) -> int:
        """Port that callers connect to."""
        return self._caller_server.port

    @property
    def local_port(self) -> int:
        """Port to which the target on this VM sends its heartbeats."""
        return self._target_server.port

    @property
    def is_ready(self) -> bool:
        """Whether the node is ready for callers.

        It is when it has a configuration and a roster and is not stopping.
        """
        return (
            not self.is_stopping
            and self.core.configs.config is not None
            and self.core.roster.is_known
        )

    async def bind(self) -> None:
        """Bind all addresses that the daemon needs to serve.

        To be awaited before ``start``, whose connections to others could take a
        port. May be cancelled; the daemon is then to be closed.

        Raises:
            OSError: An address could not be had, see ``Listener``.
        """
        await self.core.link_server.bind()
        for server in self._servers:
            await server.bind()

    async def start(self) -> None:
        """Start all components and begin to serve.

        Raises:
            OSError: An address cannot be bound.
        """
        await self.core.start()
        await self._caller_server.start()
        for component in self._components:
            await component.start()
        settings = self.core.settings
        log_event(
            "daemon_started",
            incarnation=self.core.incarnation,
            zone=settings.availability_zone,
            service=settings.service,
            callers=settings.caller_listener,
            links=settings.link_listener,
        )

    async def drain(self, signalled_at: float = math.inf) -> None:
        """Stop gracefully: finish requests in progress, then return.

        Callers are still accepted for a while, until they are sent elsewhere,
        and requests of theirs that can end in time. Requests that cannot end
        before SIGKILL is due have got an answer that says so. An error in a
        step is logged, and the others are taken. The grace period is that of
        the settings as the stop begins.

        Args:
            signalled_at: Time of the signal, from which SIGKILL is due, in
                seconds; the current time if that is earlier.
        """
        began_at = read_now()
        with log_errors("drain_settings"):
            self.check_settings()
        grace_s = self._grace_s
        # A process that still runs was signalled within the grace period.
        signalled_at = max(began_at - grace_s, min(signalled_at, began_at))
        killed_at = signalled_at + grace_s
        ends_at = killed_at - ANSWER_MARGIN_S
        self._closes_by = killed_at - CLOSE_MARGIN_S
        self.is_stopping = True
        with log_errors("drain_callers"):
            self._caller_server.begin_stop(killed_at - SETTLE_MARGIN_S, ends_at)
        with log_errors("drain_requests"):
            # Callers that come before this time are not sent elsewhere yet.
            self.core.set_end(
                ends_at,
                began_at + CALLER_DRAIN_S,
                signalled_at + CERTAIN_AFTER_S,
            )
        self._publish_status()
        log_event("daemon_stopping", late_s=began_at - signalled_at)
        await self._wait_until_quiet(began_at, ends_at)
        await self._end_requests(killed_at - SETTLE_MARGIN_S)
        self._log_end(began_at)

    async def _wait_until_quiet(self, began_at: float, ends_at: float) -> None:
        """Wait until no request is in progress, at most until the end."""
        is_accepting = True
        while True:
            await asyncio.sleep(_POLL_S)
            now = read_now()
            elapsed_s = now - began_at
            with log_errors("drain_target"):
                self._drain_target(elapsed_s)
            if now > ends_at - QUEUE_MARGIN_S:
                with log_errors("drain_queue"):
                    self.core.target_side.refuse_queued_calls()
            if is_accepting and self._can_stop_accepting(elapsed_s):
                # Connections accepted from here on would be cut off at the end.
                self._stop_accepting()
                is_accepting = False
            if now > ends_at or not (is_accepting or self._is_owing(now)):
                return

    def _drain_target(self, elapsed_s: float) -> None:
        target_side = self.core.target_side
        if elapsed_s > TARGET_DRAIN_DELAY_S and not target_side.is_stopping:
            target_side.mark_stopping()
            self._publish_status()
        target_side.hedge_runs()

    async def _end_requests(self, settles_at: float) -> None:
        """Take no more requests, and wait until the answers are taken.

        Args:
            settles_at: Time at which to return at the latest, in seconds.
        """
        ended_at = read_now()
        self._stop_accepting()
        with log_errors("drain_requests"):
            self.core.set_end(ended_at)
        self._publish_status()
        while True:
            await asyncio.sleep(_POLL_S)
            now = read_now()
            is_settled = not self._is_owing(now) and now > ended_at + REFUSAL_S
            if is_settled or now > settles_at:
                break
        # What came while the process was not scheduled is still passed on.
        await handle_pending_events()

    def _publish_status(self) -> None:
        with log_errors("drain_status"):
            self.core.state_publisher.publish_status()

    def _stop_accepting(self) -> None:
        with log_errors("drain_listener"):
            self._caller_server.stop_accepting()

    def _is_owing(self, now: float) -> bool:
        """Return whether answers are owed, or whether that cannot be told."""
        is_owing = True
        with log_errors("drain_owed"):
            is_owing = self._count_owed(now) > 0
        return is_owing

    def _log_end(self, began_at: float) -> None:
        caller_side = self.core.caller_side
        now = read_now()
        with log_errors("drain_log"):
            log_event(
                "daemon_drained",
                seconds=now - began_at,
                owed=self._count_owed(now),
                refused=caller_side.stop_admission.refused
                + self.core.target_side.stop_admission.refused,
                capped=caller_side.capped,
            )

    def apply_settings(self, settings: DaemonSettings) -> None:
        """Apply changed settings.

        Applies the retry bounds, the grace period of the next stop and the
        address of the store. The identity of the process (its node, service and
        addresses) is fixed until it ends.

        Args:
            settings: New settings, already validated.
        """
        self.core.caller_side.set_bounds(settings.bounds)
        self.core.store.set_address(settings.store)
        self._grace_s = settings.bounds.grace_s
        log_event(
            "settings_in_force", store=settings.store, grace_s=self._grace_s
        )

    async def close(self) -> None:
        """Stop all tasks and close all sockets; log errors."""
        # First, so that nothing is read or passed on meanwhile.
        for component in (self._caller_server, *reversed(self._components)):
            with log_errors("close"):
                await component.close()
        linger_max_s = LINGER_MAX_S
        if self.is_stopping:
            linger_max_s = max(0.0, self._closes_by - read_now())
        await self.core.close(linger_max_s)
        log_event("daemon_stopped")

    def _can_stop_accepting(self, elapsed_s: float) -> bool:
        # Runs at the target make their nested calls at this listener.
        running = self.core.target_side.limiter.running
        return elapsed_s > CALLER_DRAIN_S and not running

    def _count_owed(self, now: float) -> int:
        """Return how many callers and calls may still lack their answer."""
        return (
            self._caller_server.busy_connections
            + self.core.link_server.calls_in_progress
            + self.core.target_side.count_owed(now)
        )

    def _apply_config(self, config: FleetConfig) -> None:
        self._caller_server.limits = config.limits


def _do_nothing() -> None:
    pass
