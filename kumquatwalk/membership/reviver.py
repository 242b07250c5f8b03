"""Probes of members that are held to be dead or whose death is hearsay."""

import collections
import random

from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.prober import address_of
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.tier import Tier
from kumquatwalk.membership.timing import Timing
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["Reviver"]

VERIFY_GAP_S = 0.1


class Reviver:
    """Tells members that they are held to be failed, so that they refute.

    One random DEAD member is contacted every few seconds, so that both sides of
    a healed cut find each other again. A member that another node calls DEAD
    while this node holds it to be ALIVE is contacted at once.
    """

    def __init__(
        self,
        table: MemberTable,
        transmitter: Transmitter,
        timing: Timing,
        rng: random.Random,
        now: float,
    ):
        self._table = table
        self._transmitter = transmitter
        self._timing = timing
        self._rng = rng
        self._revive_at = now + rng.random() * timing.revive_interval_s
        self._verify_at = now
        self._unverified: collections.deque[str] = collections.deque()

    @property
    def due_at(self) -> float:
        """Return when ``tick`` has something to do, monotonic seconds."""
        if self._unverified:
            return min(self._verify_at, self._revive_at)
        return self._revive_at

    def verify(self, node_id: str) -> None:
        """Contact a member soon.

        Args:
            node_id: Node id of the member.
        """
        place = self._rng.randint(0, len(self._unverified))
        self._unverified.insert(place, node_id)

    def tick(self, now: float) -> None:
        """Contact the members that are due.

        Args:
            now: Monotonic time in seconds.
        """
        if now >= self._verify_at:
            self._verify_next(now)
        if now >= self._revive_at:
            self._revive_at = now + self._timing.revive_interval_s
            self._revive_one(now)

    def _verify_next(self, now: float) -> None:
        while self._unverified:
            node_id = self._unverified.popleft()
            member = self._table.get(node_id)
            if member is not None and member.state == MemberState.SUSPECT:
                self._verify_at = now + VERIFY_GAP_S
                self._contact(node_id, now)
                return

    def _revive_one(self, now: float) -> None:
        dead = [
            node_id
            for node_id in self._table.ended
            if self._table.members[node_id].state == MemberState.DEAD
        ]
        if dead:
            self._contact(self._rng.choice(dead), now)

    def _contact(self, node_id: str, now: float) -> None:
        self._transmitter.send(
            MessageKind.PING,
            address_of(self._table.members[node_id]),
            now,
            tier=Tier.GOSSIP,
            sequence=self._transmitter.next_sequence(),
            receiver=node_id,
            piggyback=False,
        )
