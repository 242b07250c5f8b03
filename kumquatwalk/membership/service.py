"""The membership service: one thread that owns the socket and the table."""

import dataclasses
import functools
import queue
import random
import select
import socket
import sys
import threading
import time
from collections.abc import Callable

from kumquatwalk.exception import MembershipError
from kumquatwalk.membership import command
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.agent import Agent
from kumquatwalk.membership.broadcast import MAX_PAYLOAD_BYTES
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.codec import load_schema
from kumquatwalk.membership.config import MembershipConfig
from kumquatwalk.membership.counters import Counters
from kumquatwalk.membership.endpoint import Endpoint
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.snapshot import EMPTY_SNAPSHOT
from kumquatwalk.membership.snapshot import Snapshot

__all__ = ["Membership"]

WAKE_BYTES = 4096
SNAPSHOT_INTERVAL_S = 0.05
REVISION_INTERVAL_S = 1.0
LEAVE_FLUSH_S = 1.0
FAILURE_PAUSE_S = 0.05
MAX_WAIT_S = 5.0


class Membership:
    """The membership service: one thread that owns the socket and the table.

    All methods may be called from any thread.

    Example:
        >>> config = MembershipConfig("a", 1, "zone-1", "127.0.0.1", 9000, 0)
        >>> membership = Membership(config)
        >>> membership.start()
        >>> sorted(membership.snapshot().members)
        ['a']
        >>> membership.close()
    """

    def __init__(
        self,
        config: MembershipConfig,
        callbacks: MembershipCallbacks = MembershipCallbacks(),
        is_blocked: Callable[[str], bool] = lambda _: False,
    ):
        self._config = config
        self._callbacks = callbacks
        self._is_blocked = is_blocked
        self._commands: queue.SimpleQueue[command.Command] = queue.SimpleQueue()
        self._snapshot = EMPTY_SNAPSHOT
        self._joined = threading.Event()
        self._closing = False
        self._failures = 0
        self._leave_until = 0.0
        self._snapshot_at = 0.0
        self._revision_sequence = 0
        self._endpoint: Endpoint | None = None
        self._wake_reader: socket.socket | None = None
        self._wake_writer: socket.socket | None = None
        self._agent: Agent | None = None
        self._thread: threading.Thread | None = None

    @property
    def gossip_port(self) -> int:
        """Return the UDP port that is bound, after ``start``."""
        return self._endpoint.port

    def start(self) -> None:
        """Bind the socket and start the thread.

        Raises:
            MembershipError: If the address cannot be bound.
        """
        load_schema()
        address = Address(self._config.host, self._config.gossip_port)
        self._endpoint = Endpoint(address, self._is_blocked)
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        now = time.monotonic()
        self._agent = Agent(
            self._make_own_record(),
            self._config.timing,
            self._callbacks,
            random.Random(),
            now,
        )
        self._agent.set_seeds(frozenset(self._config.peers), now)
        self._publish_snapshot(now)
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and close the socket; waits for a leave to spread."""
        if self._thread is None:
            return
        self._command(command.Close())
        self._thread.join()
        self._thread = None
        self._endpoint.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def snapshot(self) -> Snapshot:
        """Return the present view of the membership, without a lock."""
        return self._snapshot

    def wait_joined(self, timeout_s: float) -> bool:
        """Wait until the whole table was fetched from other nodes.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether it was fetched.
        """
        return self._joined.wait(timeout_s)

    def counters(self) -> Counters:
        """Return a copy of the counts of traffic."""
        if self._agent is None:
            return Counters()
        protocol = self._agent.counters
        return dataclasses.replace(
            self._endpoint.counters,
            dropped_malformed=protocol.dropped_malformed,
            dropped_budget=protocol.dropped_budget,
            refutations=protocol.refutations,
            failures=self._failures,
        )

    def publish(self, target: TargetInfo) -> None:
        """Change what the node announces of its target.

        Args:
            target: The target's present announcement.
        """
        self._command(command.PublishTarget(target))

    def publish_revision(self, revision: int) -> None:
        """Set the catalogue revision that the node has in force.

        Args:
            revision: The revision.
        """
        self._command(command.PublishRevision(revision))

    def broadcast(self, kind: BroadcastKind, payload: bytes) -> None:
        """Spread a payload to all other members.

        Args:
            kind: What the payload means to its receivers.
            payload: At most ``MAX_PAYLOAD_BYTES`` bytes.

        Raises:
            MembershipError: If the payload is too long.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise MembershipError("payload_too_long", f"{len(payload)} bytes")
        self._command(command.SendBroadcast(kind, payload))

    def set_seeds(self, addresses: frozenset[Address]) -> None:
        """Set the addresses found by rendezvous, besides the settings' peers.

        Args:
            addresses: UDP addresses of nodes.
        """
        self._command(command.SetSeeds(addresses))

    def leave(self) -> None:
        """Spread that the node leaves for good."""
        self._command(command.Leave())

    def _command(self, message: command.Command) -> None:
        self._commands.put(message)
        try:
            self._wake_writer.send(b"\0")
        except BlockingIOError:
            pass  # The thread has wake-ups waiting already.

    def _make_own_record(self) -> Member:
        config = self._config
        return Member(
            config.node_id,
            config.incarnation,
            0,
            config.zone,
            config.host,
            config.link_port,
            self.gossip_port,
        )

    def _run(self) -> None:
        while not self._closing or time.monotonic() < self._leave_until:
            try:
                self._step()
            except Exception:  # pylint: disable=broad-exception-caught
                self._report_failure()

    def _report_failure(self) -> None:
        """Report an error without ending the thread, and not in a busy loop."""
        self._failures += 1
        exception = (*sys.exc_info(), threading.current_thread())
        threading.excepthook(threading.ExceptHookArgs(exception))
        time.sleep(FAILURE_PAUSE_S)

    def _step(self) -> None:
        timeout_s = max(0.0, self._next_due() - time.monotonic())
        timeout_s = min(timeout_s, MAX_WAIT_S)
        readable, _, _ = select.select(
            (self._endpoint, self._wake_reader), (), (), timeout_s
        )
        now = time.monotonic()
        self._agent.tick(now)
        if self._wake_reader in readable:
            self._take_commands(now)
        if self._endpoint in readable:
            for datagram in self._endpoint.receive():
                self._agent.receive(datagram.data, datagram.address, now)
        self._endpoint.send(self._agent.drain())
        self._publish_snapshot(now)

    def _next_due(self) -> float:
        due_at = self._agent.due_at
        if self._snapshot_is_old():
            due_at = min(due_at, self._snapshot_at)
        if self._closing:
            due_at = min(due_at, self._leave_until)
        return due_at

    def _take_commands(self, now: float) -> None:
        self._wake_reader.recv(WAKE_BYTES)
        while not self._commands.empty():
            self._execute(self._commands.get(), now)

    @functools.singledispatchmethod
    def _execute(self, message: command.Command, now: float) -> None:
        raise TypeError(f"not a command: {message!r}")

    @_execute.register
    def _publish_target(self, message: command.PublishTarget, now: float):
        self._agent.publish(message.target, now)

    @_execute.register
    def _set_revision(self, message: command.PublishRevision, _: float):
        self._agent.publish_revision(message.revision)

    @_execute.register
    def _send_broadcast(self, message: command.SendBroadcast, now: float):
        self._agent.broadcast(message.kind, message.payload, now)

    @_execute.register
    def _set_seeds(self, message: command.SetSeeds, now: float):
        seeds = message.addresses | frozenset(self._config.peers)
        self._agent.set_seeds(seeds, now)

    @_execute.register
    def _leave(self, _: command.Leave, now: float):
        self._agent.leave(now)
        self._leave_until = now + LEAVE_FLUSH_S

    @_execute.register
    def _close(self, _: command.Close, now: float):
        self._closing = True
        self._leave_until = max(self._leave_until, now)

    def _snapshot_is_old(self) -> bool:
        return self._snapshot.sequence != self._agent.table.sequence

    def _publish_snapshot(self, now: float) -> None:
        if self._agent.is_joined:
            self._joined.set()
        table = self._agent.table
        is_old = self._snapshot_is_old()
        unchanged = table.revision_sequence == self._revision_sequence
        if now < self._snapshot_at or (unchanged and not is_old):
            return
        interval_s = SNAPSHOT_INTERVAL_S if is_old else REVISION_INTERVAL_S
        self._snapshot_at = now + interval_s
        self._revision_sequence = table.revision_sequence
        self._snapshot = Snapshot.of(table.sequence, table.members.values())
