"""Applies what other nodes say of members to this node's table."""

import dataclasses
import functools
from collections.abc import Callable

from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.dissemination import LEAVING_FACTOR
from kumquatwalk.membership.dissemination import MEMBER_FACTOR
from kumquatwalk.membership.dissemination import SUSPICION_FACTOR
from kumquatwalk.membership.dissemination import count_transmissions
from kumquatwalk.membership.flush import FlushSchedule
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetState
from kumquatwalk.membership.prober import Prober
from kumquatwalk.membership.record import MemberRecord
from kumquatwalk.membership.reviver import Reviver
from kumquatwalk.membership.spread import Spread
from kumquatwalk.membership.suspicion import SuspicionTimers
from kumquatwalk.membership.suspicion import measure_suspicion
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.table import is_living
from kumquatwalk.membership.tier import Tier
from kumquatwalk.membership.timing import Timing
from kumquatwalk.membership.transmitter import Transmitter

__all__ = ["IMPORTANT_FLUSHES_S", "Merger"]

IMPORTANT_FLUSHES_S = (0.0, 0.3, 0.8)
LITTLE_TRANSMISSIONS = 2


class Merger:
    """Applies what other nodes say of members to this node's table.

    Changes are queued for the other nodes. A member that is said to be DEAD
    while this node holds it to be living is probed, and becomes SUSPECT if it
    does not answer: after a cut heals, each side hears that its own members are
    dead. Only a node's own timer makes a living member DEAD.
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
    def apply(
        self, item: MemberRecord | StateClaim, spread: Spread, now: float
    ) -> bool:
        """Apply a record or a claim that another node sent.

        Args:
            item: Member record or state claim.
            spread: How far to pass on what is new.
            now: Monotonic time in seconds.

        Returns:
            Whether it changed the table.
        """
        raise TypeError(f"neither record nor claim: {item!r}")

    @apply.register
    def _apply_record(
        self, item: MemberRecord, spread: Spread, now: float
    ) -> bool:
        member = item.member
        if member.node_id == self._own_id:
            self._on_own(member, now)
            return False
        old = self._table.get(member.node_id)
        if self._is_hearsay(old, member):
            self._reviver.verify(_claim(member))
            return False
        changed = self._table.merge(member, now, item.age_s)
        self._follow(old, member.node_id, changed, spread, now)
        return changed

    @apply.register
    def _apply_claim(
        self, item: StateClaim, spread: Spread, now: float
    ) -> bool:
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
        if self._is_hearsay(old, dataclasses.replace(old, state=item.state)):
            self._reviver.verify(item)
            return False
        changed = self._table.merge_claim(item, now)
        self._follow(old, item.node_id, changed, spread, now)
        return changed

    def suspect(self, member: Member, now: float) -> None:
        """Suspect a member that did not answer, and tell others.

        Args:
            member: Record of the member at the time of the probe.
            now: Monotonic time in seconds.
        """
        claim = _claim(dataclasses.replace(member, state=MemberState.SUSPECT))
        self.apply(claim, Spread.FULL, now)

    def end_suspicions(self, now: float) -> None:
        """Declare dead the members whose suspicion has run out.

        Args:
            now: Monotonic time in seconds.
        """
        while (claim := self.suspicions.pop(now)) is not None:
            old = self._table.get(claim.node_id)
            if old is not None and self._table.merge_claim(claim, now):
                self._follow(old, claim.node_id, True, Spread.LITTLE, now)

    def spread(self, member: Member, spread: Spread, now: float) -> None:
        """Queue a changed record for the other nodes.

        Args:
            member: The record.
            spread: How far to pass it on.
            now: Monotonic time in seconds.
        """
        if spread == Spread.NONE:
            self._transmitter.queue.discard(member.node_id)
            return
        if member.state in (MemberState.SUSPECT, MemberState.DEAD):
            item = _claim(member)
        else:
            item = MemberRecord(member)
        self._transmitter.queue.put(
            member.node_id,
            encode_item(item),
            self._count_transmissions(member, spread),
        )
        if spread == Spread.LITTLE:
            return
        if not _is_leaving(member):
            self.flushes.request(now, Tier.MEMBER_GOSSIP)
            return
        for delay_s in IMPORTANT_FLUSHES_S:
            self.flushes.request(now + delay_s, Tier.URGENT)

    def _follow(
        self,
        old: Member | None,
        node_id: str,
        changed: bool,
        spread: Spread,
        now: float,
    ) -> None:
        """Spread a change, or count a copy of what is known already."""
        new = self._table.members[node_id]
        if not changed:
            self._transmitter.queue.count_received(node_id)
            return
        if new.state == MemberState.SUSPECT:
            self._start_suspicion(new, now)
        if is_living(new) and (old is None or not is_living(old)):
            self._prober.schedule.insert(node_id)
        self.spread(new, spread, now)

    def _count_transmissions(self, member: Member, spread: Spread) -> int:
        if spread == Spread.LITTLE:
            return LITTLE_TRANSMISSIONS
        factor = MEMBER_FACTOR
        if member.state == MemberState.SUSPECT:
            factor = SUSPICION_FACTOR
        elif _is_leaving(member):
            factor = LEAVING_FACTOR
        return count_transmissions(factor, len(self._table.living))

    def _is_hearsay(self, old: Member | None, said: Member) -> bool:
        dead = said.state == MemberState.DEAD
        return dead and old is not None and is_living(old)

    def _start_suspicion(self, member: Member, now: float) -> None:
        count = len(self._table.living)
        suspicion_s = measure_suspicion(self._timing, count)
        self.suspicions.start(member, now + suspicion_s)


def _claim(member: Member) -> StateClaim:
    return StateClaim(
        member.node_id, member.incarnation, member.version, member.state
    )


def _is_leaving(member: Member) -> bool:
    draining = member.target.state == TargetState.DRAINING
    return draining or member.state == MemberState.LEFT
