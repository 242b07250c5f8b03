"""Spreads broadcasts and recognises repeated ones."""

import collections
import hashlib
import random
from collections.abc import Callable

from kumquatwalk.membership.broadcast import Broadcast
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.dissemination import BROADCAST_FACTOR
from kumquatwalk.membership.dissemination import count_transmissions
from kumquatwalk.membership.flush import FlushSchedule
from kumquatwalk.membership.forwarding import Forwarding
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.merger import IMPORTANT_FLUSHES_S
from kumquatwalk.membership.seen import SeenBroadcasts
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.tier import Tier
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["Broadcaster"]

FORWARDING_S = 10.0


class Broadcaster:
    """Spreads broadcasts and recognises repeated ones.

    A broadcast is forwarded to a few random members when it is first received
    and shortly afterwards, and then piggybacked.
    """

    def __init__(
        self,
        table: MemberTable,
        transmitter: Transmitter,
        flushes: FlushSchedule,
        rng: random.Random,
        on_broadcast: Callable[[BroadcastKind, bytes], None],
    ):
        self._table = table
        self._transmitter = transmitter
        self._flushes = flushes
        self._rng = rng
        self._on_broadcast = on_broadcast
        self._seen = SeenBroadcasts()
        self._queued: collections.deque[Forwarding] = collections.deque()

    def send(self, kind: BroadcastKind, payload: bytes, now: float) -> None:
        """Spread a new payload; it is not delivered here.

        Several nodes may spread the same catalogue record: it is identified by
        its content and spreads once.

        Args:
            kind: What the payload means to its receivers.
            payload: At most ``MAX_PAYLOAD_BYTES`` bytes.
            now: Monotonic time in seconds.
        """
        broadcast = Broadcast(self._make_id(kind, payload), kind, payload)
        if self._seen.add(broadcast.broadcast_id, now):
            self._forward(broadcast, now)

    def take(self, broadcast: Broadcast, now: float) -> None:
        """Deliver and forward a received broadcast, unless it is a repetition.

        Args:
            broadcast: The broadcast.
            now: Monotonic time in seconds.
        """
        if not self._seen.add(broadcast.broadcast_id, now):
            return
        self._forward(broadcast, now)
        self._on_broadcast(broadcast.kind, broadcast.payload)

    def expire(self, now: float) -> None:
        """Stop forwarding old broadcasts and forget their identifiers.

        Args:
            now: Monotonic time in seconds.
        """
        self._seen.expire(now)
        while self._queued and self._queued[0].expires_at <= now:
            self._transmitter.queue.discard(self._queued.popleft().broadcast_id)

    def _make_id(self, kind: BroadcastKind, payload: bytes) -> int:
        if kind != BroadcastKind.CATALOGUE_RECORD:
            return self._rng.getrandbits(64)
        digest = hashlib.blake2b(payload, digest_size=8).digest()
        return int.from_bytes(digest, "little")

    def _forward(self, broadcast: Broadcast, now: float) -> None:
        count = count_transmissions(BROADCAST_FACTOR, len(self._table.living))
        encoded = encode_item(broadcast)
        self._transmitter.queue.put(broadcast.broadcast_id, encoded, count)
        forwarding = Forwarding(broadcast.broadcast_id, now + FORWARDING_S)
        self._queued.append(forwarding)
        for delay_s in IMPORTANT_FLUSHES_S:
            self._flushes.request(now + delay_s, Tier.GOSSIP)
