"""Builds datagrams within the byte budget and fills them with items."""

import itertools
import random

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.budget import ByteBudget
from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.codec import MAX_DATAGRAM_BYTES
from kumquatwalk.membership.codec import encode
from kumquatwalk.membership.codec import measure_overhead
from kumquatwalk.membership.counters import Counters
from kumquatwalk.membership.datagram import Datagram
from kumquatwalk.membership.dissemination import DisseminationQueue
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.message import Message
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.tier import Tier
from kumquatwalk.membership.timing import Timing

__all__ = ["Transmitter"]

_DIGEST_BYTES = 4
_MAX_SEQUENCE = 0xFFFFFFFF


class Transmitter:
    """Builds datagrams within the byte budget and fills them with items.

    Attributes:
        queue: Items to piggyback.
        revision: Catalogue revision in force at this node.
        counters: Counts of what was dropped.
    """

    def __init__(
        self,
        own: Member,
        table: MemberTable,
        timing: Timing,
        rng: random.Random,
        now: float,
    ):
        self.queue = DisseminationQueue()
        self.revision = own.catalogue_revision
        self.counters = Counters()
        self._own_id = own.node_id
        self._incarnation = own.incarnation
        self._table = table
        self._budget = ByteBudget(timing.bytes_per_s, timing.burst_bytes, now)
        self._sequences = itertools.count(rng.randrange(_MAX_SEQUENCE))
        self._outbox: list[Datagram] = []

    def next_sequence(self) -> int:
        """Return a number for a new question."""
        return next(self._sequences) & _MAX_SEQUENCE

    def drain(self) -> list[Datagram]:
        """Return the datagrams built since the last call."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def send(
        self,
        kind: MessageKind,
        address: Address,
        now: float,
        *,
        tier: Tier = Tier.PROBE,
        sequence: int = 0,
        receiver: str | None = None,
        target: Address | None = None,
        buckets: bytes = b"",
        digests: tuple[int, ...] = (),
        items: bytes = b"",
        piggyback: bool = True,
    ) -> bool:
        """Build a datagram if the budget allows it.

        A receiver that this node does not hold to be ALIVE is told so first,
        so that it can refute.

        Args:
            kind: Kind of the message.
            address: Where to send it.
            now: Monotonic time in seconds.
            tier: Tier of traffic that it counts as.
            sequence: Number that pairs an answer with its question.
            receiver: Node id of the receiver, if known.
            target: Address to probe, for PING_REQUEST.
            buckets: Bucket numbers, for SYNC and PAGE.
            digests: Digests of those buckets, for SYNC.
            items: Encoded items that must be in the message.
            piggyback: Whether to fill the rest with queued items.

        Returns:
            Whether the datagram was built.
        """
        items = self._claim_about(receiver) + items
        size = measure_overhead(self._own_id, target)
        size += len(buckets) + len(digests) * _DIGEST_BYTES + len(items)
        if size > self._allowance(tier, now):
            self.counters.dropped_budget += 1
            return False
        if piggyback:
            gossip = Tier.GOSSIP if tier == Tier.PROBE else tier
            items += self._fill(self._allowance(gossip, now) - size)
        message = Message(
            kind,
            sequence,
            self._own_id,
            self._incarnation,
            self.revision,
            self._table.digest,
            target,
            buckets,
            digests,
            items,
        )
        data = encode(message)
        self._budget.take(len(data), 0, now)
        self._outbox.append(Datagram(data, address))
        return True

    def measure_space(self) -> int:
        """Return the bytes left for items and buckets in one datagram."""
        return MAX_DATAGRAM_BYTES - measure_overhead(self._own_id)

    def _allowance(self, tier: Tier, now: float) -> float:
        reserve = tier.value * self._budget.burst_bytes
        return min(MAX_DATAGRAM_BYTES, self._budget.available(reserve, now))

    def _fill(self, space: float) -> bytes:
        if space <= 0 or not self.queue:
            return b""
        return self.queue.take(space)

    def _claim_about(self, receiver: str | None) -> bytes:
        member = self._table.get(receiver) if receiver else None
        if member is None or member.state == MemberState.ALIVE:
            return b""
        claim = StateClaim(
            member.node_id, member.incarnation, member.version, member.state
        )
        return encode_item(claim)
