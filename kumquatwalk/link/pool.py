"""Idle connections to peers, kept for the next exchange."""

import collections
import threading
import time
from typing import Any

from kumquatwalk.exception import LinkError
from kumquatwalk.link.call import Call
from kumquatwalk.link.connection import LinkConnection
from kumquatwalk.link.connection import open_connection
from kumquatwalk.link.identity import Identity
from kumquatwalk.link.partition import Partition
from kumquatwalk.link.peer import Peer

__all__ = ["LinkPool"]

_IDLE_MAX_S = 30.0
_IDLE_PER_PEER_MAX = 64
_RECONNECT_PAUSE_S = 0.1
_US = 1_000_000


class LinkPool:
    """Connections to all peers.

    A thread that takes a connection owns it until it gives it back.
    """

    def __init__(
        self, identity: Identity, partition: Partition, payload_bytes_max: int
    ):
        self._identity = identity
        self._partition = partition
        self._payload_bytes_max = payload_bytes_max
        self._idle: dict[Peer, collections.deque[LinkConnection]] = {}
        self._lock = threading.Lock()
        self._is_closed = False

    def call(self, peer: Peer, call: Call, deadline: float) -> Any:
        """Run one attempt at the peer's gate.

        A link that falls silent or fails after sending is replaced, and the
        same attempt is sent again: the gate attaches it to its first run. So
        a resend never runs a call twice. Each copy carries the time of the
        first, so that the gate can tell one that outlived its record.

        Args:
            peer: Node of the chosen target.
            call: The attempt.
            deadline: Monotonic time after which no reply is waited for.

        Returns:
            The gate's reply.

        Raises:
            LinkError: No reply; ``sent`` tells whether the gate may have got
                the call.
        """
        link = self._take(peer)
        incarnation = link.incarnation
        sent_at = time.monotonic()
        remaining_us = int((deadline - sent_at) * _US)
        while True:
            reply = self._try_exchange(link, call, remaining_us, sent_at)
            if reply is not None:
                return reply
            link = self._reconnect(peer, call, deadline)
            if link.incarnation != incarnation:
                self._give_back(link)
                raise LinkError("target_crashed", "the node restarted", True)

    def request(self, peer: Peer, message: Any) -> Any:
        """Exchange one message other than a call.

        Raises:
            LinkError: No reply.
        """
        link = self._take(peer)
        try:
            reply = link.exchange(message)
        except TimeoutError as error:
            self._discard(link)
            raise LinkError("link_silent", "no reply", sent=True) from error
        except LinkError:
            self._discard(link)
            raise
        self._give_back(link)
        return reply

    def close(self) -> None:
        """Close all idle connections; taken ones close when given back."""
        with self._lock:
            self._is_closed = True
            idle = [link for links in self._idle.values() for link in links]
            self._idle.clear()
        for link in idle:
            link.close()

    def _reconnect(
        self, peer: Peer, call: Call, deadline: float
    ) -> LinkConnection:
        """Connect again after an attempt may have reached the peer.

        A call that must not run elsewhere is worth waiting for; an idempotent
        one is better tried at another target.
        """
        while True:
            if time.monotonic() >= deadline:
                raise LinkError("link_silent", "no reply in time", sent=True)
            try:
                return self._take(peer)
            except LinkError as error:
                if call.idempotent or error.code == "link_refused":
                    raise LinkError(error.code, error.message, True) from error
            time.sleep(_RECONNECT_PAUSE_S)

    def _try_exchange(
        self,
        link: LinkConnection,
        call: Call,
        remaining_us: int,
        sent_at: float,
    ) -> Any:
        try:
            reply = link.call(call, remaining_us, sent_at)
        except (TimeoutError, LinkError):
            self._discard(link)
            return None
        self._give_back(link)
        return reply

    def _take(self, peer: Peer) -> LinkConnection:
        oldest_use = time.monotonic() - _IDLE_MAX_S
        while True:
            with self._lock:
                links = self._idle.get(peer)
                link = links.pop() if links else None
            if link is None:
                return open_connection(
                    peer,
                    self._identity,
                    self._partition,
                    self._payload_bytes_max,
                )
            if link.last_used >= oldest_use and not link.is_stale():
                return link
            link.close()

    def _give_back(self, link: LinkConnection) -> None:
        link.last_used = time.monotonic()
        with self._lock:
            links = self._idle.setdefault(link.peer, collections.deque())
            is_kept = not self._is_closed and len(links) < _IDLE_PER_PEER_MAX
            if is_kept:
                links.append(link)
        if not is_kept:
            link.close()

    def _discard(self, link: LinkConnection) -> None:
        """Close a failed link and the idle ones, which share its fate."""
        with self._lock:
            idle = self._idle.pop(link.peer, ())
        link.close()
        for other in idle:
            other.close()
