"""Joining: contacts known addresses and fetches the table from many members."""

import math
import random

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.prober import address_of
from kumquatwalk.membership.record import MemberRecord
from kumquatwalk.membership.synchronizer import Synchronizer
from kumquatwalk.membership.table import BUCKET_COUNT
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.table import is_living
from kumquatwalk.membership.tier import Tier
from kumquatwalk.membership.timing import Timing
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["Joiner"]

CONTACTS_AT_ONCE = 1
FIRST_BACKOFF_S = 0.3
MAX_BACKOFF_S = 5.0
BUCKETS_PER_FETCH = 8
MAX_FETCHES = 4
FETCH_TIMEOUT_S = 0.4


class Joiner:
    """Joins the fleet, and later keeps contact with the known addresses.

    A JOIN to a known address is answered with some living members. The table is
    then fetched in parts from members chosen at random, so that many nodes
    that join at once do not overload the known addresses. Afterwards known
    addresses that belong to no living member are contacted now and then, so
    that cuts heal.
    """

    def __init__(
        self,
        own_id: str,
        table: MemberTable,
        transmitter: Transmitter,
        synchronizer: Synchronizer,
        timing: Timing,
        rng: random.Random,
        now: float,
    ):
        self._own_id = own_id
        self._table = table
        self._transmitter = transmitter
        self._synchronizer = synchronizer
        self._timing = timing
        self._rng = rng
        self._seeds: frozenset[Address] = frozenset()
        self._contact_at = now
        self._backoff_s = FIRST_BACKOFF_S
        self._source: Address | None = None
        self._missing = set(range(BUCKET_COUNT))
        self._fetches: dict[bytes, float] = {}

    @property
    def is_joined(self) -> bool:
        """Return whether the whole table was fetched."""
        return not self._missing

    @property
    def is_fetching(self) -> bool:
        """Return whether the table is being fetched."""
        return self._source is not None and bool(self._missing)

    @property
    def due_at(self) -> float:
        """Return when ``tick`` has something to do, monotonic seconds."""
        fetch_at = min(self._fetches.values(), default=math.inf)
        return min(self._contact_at, fetch_at)

    def set_seeds(self, seeds: frozenset[Address], now: float) -> None:
        """Set the known addresses.

        Args:
            seeds: Addresses of nodes that are asked to let this node join.
            now: Monotonic time in seconds.
        """
        if seeds - self._seeds and self._source is None:
            self._contact_at = now
        self._seeds = seeds

    def tick(self, now: float) -> None:
        """Contact known addresses and fetch what is missing.

        Args:
            now: Monotonic time in seconds.
        """
        if now >= self._contact_at:
            self._contact(now)
        if self.is_fetching:
            self._fetch(now)

    def take_page(self, buckets: bytes, source: Address, now: float) -> None:
        """Note which buckets a page completed.

        Args:
            buckets: Numbers of the buckets that are now complete.
            source: Address of the page's sender.
            now: Monotonic time in seconds.
        """
        if not self._missing:
            return
        if self._source is None:
            self._source = source
            self._contact_at = now + self._timing.seed_interval_s
        self._missing.difference_update(buckets)
        done = [f for f in self._fetches if self._missing.isdisjoint(f)]
        for fetch in done:
            del self._fetches[fetch]
        self._fetch(now)

    def _contact(self, now: float) -> None:
        addresses = self._choose_contacts()
        own = self._table.members[self._own_id]
        record = encode_item(MemberRecord(own))
        for address in addresses:
            self._transmitter.send(
                MessageKind.JOIN,
                address,
                now,
                tier=Tier.GOSSIP,
                items=record,
                piggyback=False,
            )
        jitter = 0.5 + self._rng.random()
        if self._source is not None:
            self._contact_at = now + self._timing.seed_interval_s * jitter
            return
        self._contact_at = now + self._backoff_s * jitter
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _choose_contacts(self) -> list[Address]:
        members = self._table.members.values()
        known = {address_of(m) for m in members if is_living(m)}
        candidates = sorted(self._seeds - known)
        count = CONTACTS_AT_ONCE if self._source is None else 1
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _fetch(self, now: float) -> None:
        late = [f for f, ends_at in self._fetches.items() if ends_at <= now]
        for fetch in late:
            del self._fetches[fetch]
        asked = set().union(*self._fetches)
        wanted = sorted(self._missing - asked)
        while wanted and len(self._fetches) < MAX_FETCHES:
            buckets = bytes(wanted[:BUCKETS_PER_FETCH])
            wanted = wanted[BUCKETS_PER_FETCH:]
            self._fetches[buckets] = now + FETCH_TIMEOUT_S
            self._synchronizer.request(buckets, self._choose_source(), now)

    def _choose_source(self) -> Address:
        own = frozenset((self._own_id,))
        members = self._table.sample(self._rng, 1, own)
        return address_of(members[0]) if members else self._source
