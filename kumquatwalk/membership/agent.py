"""The membership protocol of one node, without sockets, threads or clocks."""

import dataclasses
import random

from kumquatwalk.exception import MembershipError
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.broadcast import Broadcast
from kumquatwalk.membership.broadcaster import Broadcaster
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.codec import decode
from kumquatwalk.membership.counters import Counters
from kumquatwalk.membership.datagram import Datagram
from kumquatwalk.membership.item_codec import decode_items
from kumquatwalk.membership.joiner import Joiner
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.merger import Merger
from kumquatwalk.membership.message import Message
from kumquatwalk.membership.prober import Prober
from kumquatwalk.membership.prober import address_of
from kumquatwalk.membership.reviver import Reviver
from kumquatwalk.membership.revisionwatch import RevisionWatch
from kumquatwalk.membership.spread import Spread
from kumquatwalk.membership.synchronizer import Synchronizer
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.timing import Timing
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["Agent"]

FANOUT = 3
SAMPLE_SIZE = 4
STALL_S = 2.0
EXPIRE_INTERVAL_S = 10.0


class Agent:
    """The membership protocol of one node, without sockets, threads or clocks.

    Datagrams go in through ``receive`` and come out through ``drain``; ``tick``
    is to be called by ``due_at`` at the latest.

    Failure detection and piggybacked dissemination follow SWIM (Das, Gupta and
    Motivala, DSN 2002); the forgiveness of a stalled detector is in the spirit
    of Lifeguard (Dadgar, Phillips and Currey, 2017).

    Attributes:
        table: All known members.
    """

    def __init__(
        self,
        own: Member,
        timing: Timing,
        callbacks: MembershipCallbacks,
        rng: random.Random,
        now: float,
    ):
        self.table = MemberTable()
        self.table.merge(own, now)
        self._own_id = own.node_id
        self._callbacks = callbacks
        self._rng = rng
        node_id, table = own.node_id, self.table
        sender = Transmitter(own, table, timing, rng, now)
        self._transmitter = sender
        self._synchronizer = Synchronizer(table, sender, timing, rng)
        self._prober = Prober(node_id, table, sender, timing, rng, now)
        self._reviver = Reviver(table, sender, timing, rng, now)
        self._joiner = Joiner(
            node_id, table, sender, self._synchronizer, timing, rng, now
        )
        parts = (self._prober, self._reviver, timing, self._judge_own)
        self._merger = Merger(node_id, table, sender, *parts)
        self._broadcaster = Broadcaster(
            table, sender, self._merger.flushes, rng, callbacks.on_broadcast
        )
        self._revisions = RevisionWatch(table, callbacks.on_newer_revision)
        self._ticked_at = now
        self._expire_at = now + EXPIRE_INTERVAL_S

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self.table.members[self._own_id]

    @property
    def counters(self) -> Counters:
        """Return the counts of dropped datagrams."""
        return self._transmitter.counters

    @property
    def is_joined(self) -> bool:
        """Return whether the whole table was fetched from other nodes."""
        return self._joiner.is_joined

    @property
    def due_at(self) -> float:
        """Return when ``tick`` is to be called, monotonic seconds."""
        if self.own.state == MemberState.LEFT:
            return self._merger.flushes.due_at
        return min(
            self._expire_at,
            self._prober.due_at,
            self._reviver.due_at,
            self._joiner.due_at,
            self._merger.flushes.due_at,
            self._merger.suspicions.due_at,
        )

    def drain(self) -> list[Datagram]:
        """Return the datagrams to send now."""
        return self._transmitter.drain()

    def set_seeds(self, seeds: frozenset[Address], now: float) -> None:
        """Set the known addresses through which to join.

        Args:
            seeds: Addresses of nodes; this node's own may be among them.
            now: Monotonic time in seconds.
        """
        self._joiner.set_seeds(seeds, now)

    def tick(self, now: float) -> None:
        """Do what is due.

        Args:
            now: Monotonic time in seconds.
        """
        stalled_s = now - self._ticked_at
        self._ticked_at = now
        if stalled_s > STALL_S:
            self._prober.forgive(now)
            self._reviver.forgive()
            self._merger.suspicions.extend(stalled_s)
        if self.own.state == MemberState.LEFT:
            self._flush(now)
            return
        failed = self._prober.tick(now)
        if failed is not None:
            self._merger.suspect(failed, now)
        self._merger.end_suspicions(now)
        self._joiner.tick(now)
        for member in self._reviver.tick(now):
            self._merger.suspect(member, now)
        self._flush(now)
        if now >= self._expire_at:
            self._expire(now)

    def receive(self, datagram: bytes, source: Address, now: float) -> None:
        """Take a datagram; a bad one is counted and dropped.

        Args:
            datagram: Received bytes, of any origin.
            source: Address that they came from.
            now: Monotonic time in seconds.
        """
        try:
            message = decode(datagram)
            items = decode_items(message.items)
        except MembershipError:
            self.counters.dropped_malformed += 1
            return
        if message.sender == self._own_id:
            return
        changed = False
        spread = self._choose_spread(message.kind)
        for item in items:
            if isinstance(item, Broadcast):
                self._broadcaster.take(item, now)
            else:
                changed |= self._merger.apply(item, spread, now)
        if changed and spread == Spread.FULL:
            self._synchronizer.note_change(now)
        self._revisions.note(message, self._transmitter.revision, now)
        self._dispatch(message, source, changed, now)

    def publish(self, target: TargetInfo, now: float) -> None:
        """Change what this node announces of its target.

        Args:
            target: The target's present announcement.
            now: Monotonic time in seconds.
        """
        if target != self.own.target:
            self._raise_version(now, target=target)

    def publish_revision(self, revision: int) -> None:
        """Set the catalogue revision that this node has in force.

        Args:
            revision: The revision; a lower one than before is ignored.
        """
        if revision > self._transmitter.revision:
            self._transmitter.revision = revision
            own = self.own
            self.table.note_revision(own.node_id, own.incarnation, revision)

    def broadcast(
        self, kind: BroadcastKind, payload: bytes, now: float
    ) -> None:
        """Spread a payload to all members; it is not delivered here.

        Args:
            kind: What the payload means to its receivers.
            payload: At most ``MAX_PAYLOAD_BYTES`` bytes.
            now: Monotonic time in seconds.
        """
        self._broadcaster.send(kind, payload, now)

    def leave(self, now: float) -> None:
        """Spread that this node leaves for good.

        Args:
            now: Monotonic time in seconds.
        """
        if self.own.state != MemberState.LEFT:
            self._raise_version(now, state=MemberState.LEFT)

    def _dispatch(
        self, message: Message, source: Address, changed: bool, now: float
    ) -> None:
        kind = message.kind
        if kind == MessageKind.PING:
            self._prober.answer_ping(
                source, message.sequence, message.sender, now
            )
            self._compare(message, source, now)
        elif kind == MessageKind.ACK:
            self._prober.take_ack(message.sequence, now)
            self._reviver.take_ack(message.sequence)
            self._compare(message, source, now)
        elif kind == MessageKind.PING_REQUEST and message.target:
            self._prober.relay_ping(
                source, message.sequence, message.target, now
            )
        elif kind == MessageKind.JOIN:
            members = self.table.sample(self._rng, SAMPLE_SIZE, frozenset())
            self._synchronizer.send_sample(source, [self.own, *members], now)
            self._compare(message, source, now)
        elif kind == MessageKind.SYNC:
            self._synchronizer.answer(message, source, now)
        elif kind == MessageKind.PAGE:
            self._joiner.take_page(message.buckets, source, now)
            if changed:
                self._synchronizer.hasten(now)

    def _choose_spread(self, kind: MessageKind) -> Spread:
        if kind != MessageKind.PAGE:
            return Spread.FULL
        return Spread.LITTLE if self.is_joined else Spread.NONE

    def _compare(self, message: Message, source: Address, now: float) -> None:
        if self._joiner.is_fetching or self.own.state == MemberState.LEFT:
            return
        self._synchronizer.compare(message, source, now)

    def _judge_own(self, said: Member, now: float) -> None:
        """Refute what another node says of this one, if it is wrong."""
        own = self.own
        if said.incarnation > own.incarnation:
            self._callbacks.on_identity_conflict(said)
            return
        if said.incarnation < own.incarnation or said.version < own.version:
            return
        if own.state == MemberState.LEFT:
            return
        if said.version > own.version or said.state != MemberState.ALIVE:
            self.counters.refutations += 1
            self._raise_version(now, version=said.version + 1)

    def _raise_version(self, now: float, **changes) -> None:
        changes.setdefault("version", self.own.version + 1)
        own = dataclasses.replace(self.own, **changes)
        self.table.merge(own, now)
        self._merger.spread(own, Spread.FULL, now)

    def _flush(self, now: float) -> None:
        tier = self._merger.flushes.pop(now)
        if tier is None or not self._transmitter.queue:
            return
        own = frozenset((self._own_id,))
        for member in self.table.sample(self._rng, FANOUT, own):
            self._transmitter.send(
                MessageKind.GOSSIP,
                address_of(member),
                now,
                tier=tier,
                receiver=member.node_id,
            )

    def _expire(self, now: float) -> None:
        self._expire_at = now + EXPIRE_INTERVAL_S
        self.table.expire(now)
        self._broadcaster.expire(now)
        self._prober.expire(now)
