"""Applies what other nodes say of members to this node's table."""

import dataclasses
import functools
from collections.abc import Callable

from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.dissemination import retransmit_limit
from kumquatwalk.membership.flush import FlushSchedule
from kumquatwalk.membership.itemcodec import encode_item
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetState
from kumquatwalk.membership.prober import Prober
from kumquatwalk.membership.record import MemberRecord
from kumquatwalk.membership.reviver import Reviver
from kumquatwalk.membership.suspicion import SuspicionTimers
from kumquatwalk.membership.suspicion import measure_suspicion
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.table import is_living
from kumquatwalk.membership.timing import Timing
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["IMPORTANT_FLUSHES_S", "Merger"]

IMPORTANT_FLUSHES_S = (0.0, 0.3, 0.8)
HEARSAY_FACTOR = 2.0


class Merger:
    """Applies what other nodes say of members to this node's table.

    Changes are queued for the other nodes. A node that is said to be DEAD
    while this node holds it to be ALIVE becomes SUSPECT only and is contacted:
    after a cut heals, each side hears that its own members are dead.
    """

    def __init__(
        self,
        own_id: str,
        table: MemberTable,
        transmitter: Transmitter,
        prober: Prober,
        reviver: Reviver,
        timing: Timing,
        on_own: Callable[[Member, float], None],
    ):
        self.flushes = FlushSchedule()
        self.suspicions = SuspicionTimers()
        self._own_id = own_id
        self._table = table
        self._transmitter = transmitter
        self._prober = prober
        self._reviver = reviver
        self._timing = timing
        self._on_own = on_own

    @functools.singledispatchmethod
    def apply(self, item: MemberRecord | StateClaim, now: float) -> bool:
        """Apply a record or a claim that another node sent.

        Args:
            item: Member record or state claim.
            now: Monotonic time in seconds.

        Returns:
            Whether it changed the table.
        """
        raise TypeError(f"neither record nor claim: {item!r}")

    @apply.register
    def _apply_record(self, item: MemberRecord, now: float) -> bool:
        member = item.member
        if member.node_id == self._own_id:
            self._on_own(member, now)
            return False
        old = self._table.get(member.node_id)
        if self._is_hearsay(old, member):
            return self._suspect_hearsay(member, now)
        changed = self._table.merge(member, now, item.age_s)
        self._follow(old, member.node_id, changed, now)
        return changed

    @apply.register
    def _apply_claim(self, item: StateClaim, now: float) -> bool:
        old = self._table.get(item.node_id)
        if old is None:
            return False
        if item.node_id == self._own_id:
            claimed = dataclasses.replace(
                old,
                incarnation=item.incarnation,
                version=item.version,
                state=item.state,
            )
            self._on_own(claimed, now)
            return False
        if (item.incarnation, item.version) != (old.incarnation, old.version):
            return False
        claimed = dataclasses.replace(old, state=item.state)
        if self._is_hearsay(old, claimed):
            return self._suspect_hearsay(claimed, now)
        changed = self._table.merge_claim(item, now)
        self._follow(old, item.node_id, changed, now)
        return changed

    def suspect(self, member: Member, now: float) -> None:
        """Suspect a member that did not answer, and tell others.

        Args:
            member: Record of the member at the time of the probe.
            now: Monotonic time in seconds.
        """
        claim = StateClaim(
            member.node_id,
            member.incarnation,
            member.version,
            MemberState.SUSPECT,
        )
        self.apply(claim, now)

    def end_suspicions(self, now: float) -> None:
        """Declare dead the members whose suspicion has run out.

        Args:
            now: Monotonic time in seconds.
        """
        while (claim := self.suspicions.pop(now)) is not None:
            old = self._table.get(claim.node_id)
            if old is not None and self._table.merge_claim(claim, now):
                self._follow(old, claim.node_id, True, now)

    def spread(self, member: Member, now: float) -> None:
        """Queue a changed record for the other nodes.

        Args:
            member: The record.
            now: Monotonic time in seconds.
        """
        if member.state in (MemberState.SUSPECT, MemberState.DEAD):
            item = StateClaim(
                member.node_id,
                member.incarnation,
                member.version,
                member.state,
            )
        else:
            item = MemberRecord(member)
        self._transmitter.queue.put(member.node_id, encode_item(item))
        if member.state == MemberState.SUSPECT:
            return
        flushes = IMPORTANT_FLUSHES_S if _is_leaving(member) else (0.0,)
        for delay_s in flushes:
            self.flushes.request(now + delay_s)

    def _follow(
        self, old: Member | None, node_id: str, changed: bool, now: float
    ) -> None:
        """Spread a change, or count a copy of what is known already."""
        new = self._table.members[node_id]
        if not changed:
            limit = retransmit_limit(len(self._table.living))
            self._transmitter.queue.count_received(node_id, limit)
            return
        if new.state == MemberState.SUSPECT:
            self._start_suspicion(new, 1.0, now)
        if is_living(new) and (old is None or not is_living(old)):
            self._prober.schedule.insert(node_id)
        self.spread(new, now)

    def _is_hearsay(self, old: Member | None, said: Member) -> bool:
        if said.state != MemberState.DEAD or old is None or not is_living(old):
            return False
        known = (old.incarnation, old.version)
        claimed = (said.incarnation, said.version)
        return claimed > known or (
            claimed == known and old.state == MemberState.ALIVE
        )

    def _suspect_hearsay(self, said: Member, now: float) -> bool:
        suspect = dataclasses.replace(said, state=MemberState.SUSPECT)
        if not self._table.merge(suspect, now):
            return False
        self._start_suspicion(suspect, HEARSAY_FACTOR, now)
        self._reviver.verify(said.node_id)
        return True

    def _start_suspicion(
        self, member: Member, factor: float, now: float
    ) -> None:
        count = len(self._table.living)
        suspicion_s = measure_suspicion(self._timing, count)
        self.suspicions.start(member, now + factor * suspicion_s)


def _is_leaving(member: Member) -> bool:
    draining = member.target.state == TargetState.DRAINING
    return draining or member.state == MemberState.LEFT
