"""Life of a node process: start, graceful stop, close."""

import gc
import threading
import time

from kumquatwalk import codes
from kumquatwalk.logs import log_event
from kumquatwalk.node.composition import Composition
from kumquatwalk.node.settings import NodeSettings

__all__ = ["Node"]

_GC_ALLOCATIONS = 50_000
_LEAVE_NOTICE_S = 1.0
_ROUTES_INTERVAL_S = 0.05
_TARGET_CHECK_INTERVAL_S = 1.0


class Node:
    """One node.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: NodeSettings):
        self._settings = settings
        self._parts = Composition(settings)
        self._routes_sequence = -1
        self._is_closed = threading.Event()

    @property
    def http_port(self) -> int:
        """TCP port for outside callers."""
        return self._parts.caller_server.port

    @property
    def local_port(self) -> int:
        """TCP port of the local listener."""
        return self._parts.local_server.port

    @property
    def link_port(self) -> int:
        """TCP port for other nodes."""
        return self._parts.link_server.port

    @property
    def gossip_port(self) -> int:
        """UDP port for membership messages."""
        return self._parts.membership.gossip_port

    def start(self) -> None:
        """Bind all listeners and start serving.

        Raises:
            OSError: An address cannot be bound.
            MembershipError: The gossip address cannot be bound.
        """
        self._parts.membership.start()
        self._parts.sync.start()
        self._parts.link_server.start()
        self._parts.local_server.start()
        if self._parts.watcher is not None:
            self._parts.watcher.start()
            self._parts.rendezvous.start()
        for name, task in (
            ("routes", self._follow_members),
            ("target-check", self._check_target),
        ):
            threading.Thread(target=task, name=name, daemon=True).start()
        self._parts.caller_server.start()
        gc.freeze()
        gc.set_threshold(_GC_ALLOCATIONS)
        log_event(
            "node_started",
            zone=self._settings.zone,
            http=self.http_port,
            local=self.local_port,
            link=self.link_port,
            gossip=self.gossip_port,
        )

    def drain(self) -> None:
        """Finish what is in progress while others learn that this node leaves.

        New calls for the target are refused as not run at once. Outside
        callers are served during the notice, each connection once more, and
        then the listener closes. Takes at most the settings' bound.
        """
        started = time.monotonic()
        deadline = started + self._settings.shutdown_timeout_s
        log_event("node_draining")
        self._parts.admission.close_to_new(codes.TARGET_LEAVING)
        self._parts.target_watch.leave(started)
        self._parts.caller_server.drain()
        notice_s = min(_LEAVE_NOTICE_S, self._settings.shutdown_timeout_s / 2)
        self._is_closed.wait(notice_s)
        self._parts.caller_server.close(max(deadline - time.monotonic(), 0.0))
        self._parts.link_server.drain(deadline)

    def close(self) -> None:
        """Stop without waiting for requests in progress."""
        self._is_closed.set()
        if self._parts.watcher is not None:
            self._parts.watcher.close()
            self._parts.rendezvous.close()
        self._parts.sync.close()
        self._parts.caller_server.close(0.0)
        self._parts.local_server.close(0.0)
        self._parts.link_server.close()
        self._parts.links.close()
        self._parts.membership.leave()
        self._parts.membership.close()
        log_event("node_stopped")

    def _check_target(self) -> None:
        while not self._is_closed.wait(_TARGET_CHECK_INTERVAL_S):
            self._parts.target_watch.check(time.monotonic())

    def _follow_members(self) -> None:
        while not self._is_closed.wait(_ROUTES_INTERVAL_S):
            snapshot = self._parts.membership.snapshot()
            if snapshot.sequence == self._routes_sequence:
                continue
            self._routes_sequence = snapshot.sequence
            self._parts.routes.update(snapshot.members.values())
            own = snapshot.members[self._settings.node_id]
            targets = len(snapshot.members_of(own.target.service))
            self._parts.admission.set_shares(max(targets, 1))
