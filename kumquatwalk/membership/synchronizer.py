"""Anti-entropy: compares tables by digests and transfers what differs."""

import random

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.message import Message
from kumquatwalk.membership.record import MemberRecord
from kumquatwalk.membership.table import BUCKET_COUNT
from kumquatwalk.membership.table import TOMBSTONE_S
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.tier import Tier
from kumquatwalk.membership.timing import Timing
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["Synchronizer"]

# Tombstones older than this are not passed on, so that they end everywhere.
SHARED_TOMBSTONE_S = TOMBSTONE_S / 2
MAX_PAGES = 16
EAGER_INTERVAL_S = 1.0
QUIET_S = 2.0


class Synchronizer:
    """Anti-entropy: compares tables by digests and transfers what differs.

    After Demers et al., "Epidemic Algorithms for Replicated Database
    Maintenance" (PODC 1987). A SYNC carries the digests of some buckets of the
    asker's table; the answer is one PAGE or more with the records of those
    buckets that differ.
    """

    def __init__(
        self,
        table: MemberTable,
        transmitter: Transmitter,
        timing: Timing,
        rng: random.Random,
    ):
        self._table = table
        self._transmitter = transmitter
        self._timing = timing
        self._rng = rng
        self._interval_s = EAGER_INTERVAL_S
        self._next_pull_at = 0.0
        self._latest_pull_at = 0.0
        self._quiet_at = 0.0

    def note_change(self, now: float) -> None:
        """Note that gossip changed the table, and is still spreading.

        Args:
            now: Monotonic time in seconds.
        """
        self._quiet_at = now + QUIET_S

    def compare(self, message: Message, address: Address, now: float) -> None:
        """Ask the sender for what differs, if its table does.

        Args:
            message: Message with the digest of the sender's table.
            address: Address of the sender.
            now: Monotonic time in seconds.
        """
        if message.digest == self._table.digest:
            self._interval_s = EAGER_INTERVAL_S
            return
        if now < self._next_pull_at:
            return
        if now < self._quiet_at and now < self._latest_pull_at:
            return
        jitter = 0.5 + self._rng.random()
        self._next_pull_at = now + self._interval_s * jitter
        longest_s = self._timing.sync_interval_s
        self._latest_pull_at = now + longest_s * jitter
        self._interval_s = min(self._interval_s * 2, longest_s)
        self.request(bytes(range(BUCKET_COUNT)), address, now)

    def hasten(self, now: float) -> None:
        """Compare again soon, because the last comparison brought news.

        Args:
            now: Monotonic time in seconds.
        """
        self._interval_s = EAGER_INTERVAL_S
        soon = now + EAGER_INTERVAL_S
        self._next_pull_at = min(self._next_pull_at, soon)

    def request(self, buckets: bytes, address: Address, now: float) -> bool:
        """Ask a node for the records of some buckets where they differ.

        Args:
            buckets: Bucket numbers, one byte each.
            address: Address of the node to ask.
            now: Monotonic time in seconds.

        Returns:
            Whether the question was sent.
        """
        digests = tuple(self._table.bucket_digest(b) for b in buckets)
        return self._transmitter.send(
            MessageKind.SYNC,
            address,
            now,
            tier=Tier.GOSSIP,
            buckets=buckets,
            digests=digests,
            piggyback=False,
        )

    def answer(self, message: Message, address: Address, now: float) -> None:
        """Send the records of the buckets that differ, as far as budget goes.

        Args:
            message: SYNC message with bucket numbers and their digests.
            address: Address of the asker.
            now: Monotonic time in seconds.
        """
        pairs = zip(message.buckets, message.digests)
        asked = {b: d for b, d in pairs if b < BUCKET_COUNT}
        differing = [
            b for b, d in asked.items() if self._table.bucket_digest(b) != d
        ]
        self._rng.shuffle(differing)
        complete = bytes(asked.keys() - set(differing))
        items = b""
        pages = 0
        space = self._transmitter.measure_space() - BUCKET_COUNT
        for bucket in differing:
            for record in self._encode_bucket(bucket, now):
                if len(items) + len(record) > space:
                    pages += 1
                    if pages >= MAX_PAGES or not self._send_page(
                        address, complete, items, now
                    ):
                        return
                    complete = b""
                    items = b""
                items += record
            complete += bytes((bucket,))
        self._send_page(address, complete, items, now)

    def send_sample(
        self, address: Address, members: list[Member], now: float
    ) -> None:
        """Send some records to a node that joins.

        Args:
            address: Address of the node.
            members: Members to send, as far as they fit.
            now: Monotonic time in seconds.
        """
        items = b""
        space = self._transmitter.measure_space()
        for member in members:
            record = encode_item(MemberRecord(member))
            if len(items) + len(record) <= space:
                items += record
        self._transmitter.send(
            MessageKind.PAGE,
            address,
            now,
            tier=Tier.GOSSIP,
            items=items,
            piggyback=False,
        )

    def _send_page(
        self, address: Address, complete: bytes, items: bytes, now: float
    ) -> bool:
        return self._transmitter.send(
            MessageKind.PAGE,
            address,
            now,
            tier=Tier.BULK,
            buckets=complete,
            items=items,
            piggyback=False,
        )

    def _encode_bucket(self, bucket: int, now: float) -> list[bytes]:
        encoded = []
        for member in self._table.bucket_members(bucket):
            ended_at = self._table.ended.get(member.node_id, now)
            age_s = int(now - ended_at)
            if age_s < SHARED_TOMBSTONE_S:
                encoded.append(encode_item(MemberRecord(member, age_s)))
        return encoded
