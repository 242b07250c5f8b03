"""Probes of members that are held to be dead or whose death is hearsay."""

import random

from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.probe import Probe
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
        self._unverified: dict[str, StateClaim] = {}
        self._verifying: dict[int, Probe] = {}

    @property
    def due_at(self) -> float:
        """Return when ``tick`` has something to do, monotonic seconds."""
        due_at = self._revive_at
        if self._unverified:
            due_at = min(due_at, self._verify_at)
        if self._verifying:
            oldest = self._verifying[next(iter(self._verifying))]
            due_at = min(due_at, oldest.waits_until)
        return due_at

    def verify(self, claim: StateClaim) -> None:
        """Contact a member soon that is said to be DEAD.

        Args:
            claim: What is said of it.
        """
        self._unverified[claim.node_id] = claim

    def take_ack(self, sequence: int) -> None:
        """Take the answer of a member that was said to be DEAD.

        Args:
            sequence: Number of the probe.
        """
        self._verifying.pop(sequence, None)

    def forgive(self) -> None:
        """Drop the probes in progress; their answers may have been missed."""
        self._verifying.clear()

    def tick(self, now: float) -> list[Member]:
        """Contact the members that are due.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Members that were said to be DEAD and did not answer.
        """
        if self._unverified and now >= self._verify_at:
            self._verify_next(now)
        if now >= self._revive_at:
            self._revive_at = now + self._timing.revive_interval_s
            self._revive_one(now)
        return self._pop_failed(now)

    def _pop_failed(self, now: float) -> list[Member]:
        failed = []
        while self._verifying:
            sequence = next(iter(self._verifying))
            probe = self._verifying[sequence]
            if probe.waits_until > now:
                break
            del self._verifying[sequence]
            failed.append(probe.member)
        return failed

    def _verify_next(self, now: float) -> None:
        while self._unverified:
            node_id = self._rng.choice(tuple(self._unverified))
            claim = self._unverified.pop(node_id)
            member = self._table.get(node_id)
            if self._is_open(claim, member):
                self._verify_at = now + VERIFY_GAP_S
                sequence = self._contact(node_id, now, encode_item(claim))
                if sequence is not None:
                    ends_at = now + self._timing.probe_interval_s
                    probe = Probe(member, sequence, ends_at)
                    self._verifying[sequence] = probe
                return

    def _is_open(self, claim: StateClaim, member: Member | None) -> bool:
        if member is None or member.state != MemberState.ALIVE:
            return False
        known = (member.incarnation, member.version)
        return (claim.incarnation, claim.version) >= known

    def _revive_one(self, now: float) -> None:
        dead = [
            node_id
            for node_id in self._table.ended
            if self._table.members[node_id].state == MemberState.DEAD
        ]
        if dead:
            self._contact(self._rng.choice(dead), now)

    def _contact(
        self, node_id: str, now: float, items: bytes = b""
    ) -> int | None:
        sequence = self._transmitter.next_sequence()
        sent = self._transmitter.send(
            MessageKind.PING,
            address_of(self._table.members[node_id]),
            now,
            tier=Tier.GOSSIP,
            sequence=sequence,
            receiver=node_id,
            items=items,
            piggyback=False,
        )
        return sequence if sent else None
