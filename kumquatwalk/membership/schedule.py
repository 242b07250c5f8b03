"""Order in which members are probed."""

import random

from kumquatwalk.membership.member import Member
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.table import is_living

__all__ = ["ProbeSchedule"]


class ProbeSchedule:
    """Round robin over a shuffled list of the living members.

    Each member is probed once in a round, so the time until a failed member is
    probed is bounded (Das, Gupta and Motivala, DSN 2002, section 4.3).
    """

    def __init__(self, own_id: str, rng: random.Random):
        self._own_id = own_id
        self._rng = rng
        self._round: list[str] = []

    def choose(self, table: MemberTable) -> Member | None:
        """Return the next member to probe.

        Args:
            table: All known members.

        Returns:
            A living member other than this node; None when there is none.
        """
        member = self._pop(table)
        if member is None:
            self._round = list(table.living)
            self._rng.shuffle(self._round)
            member = self._pop(table)
        return member

    def insert(self, node_id: str) -> None:
        """Put a new member at a random place of the present round.

        Args:
            node_id: Node id of the member.
        """
        place = self._rng.randint(0, len(self._round))
        self._round.insert(place, node_id)

    def _pop(self, table: MemberTable) -> Member | None:
        while self._round:
            node_id = self._round.pop()
            member = table.get(node_id)
            if node_id != self._own_id and member and is_living(member):
                return member
        return None
