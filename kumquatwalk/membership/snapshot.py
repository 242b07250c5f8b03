"""Immutable view of the membership at one moment."""

import dataclasses
import types
from collections.abc import Iterable
from collections.abc import Mapping

from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState

__all__ = ["EMPTY_SNAPSHOT", "Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Immutable view of the membership; safe to share between threads.

    Attributes:
        sequence: Number that changes only when the membership changes.
        members: All known members by node id, DEAD and LEFT ones included.
        by_service: Members that are ALIVE or SUSPECT, by their service.
    """

    sequence: int
    members: Mapping[str, Member]
    by_service: Mapping[str, tuple[Member, ...]]

    @classmethod
    def of(cls, sequence: int, members: Iterable[Member]) -> "Snapshot":
        """Return the view of some members.

        Args:
            sequence: Number of the membership's last change.
            members: All known members.

        Returns:
            The snapshot.
        """
        by_id = {}
        by_service: dict[str, list[Member]] = {}
        for member in members:
            by_id[member.node_id] = member
            if member.state <= MemberState.SUSPECT and member.target.service:
                by_service.setdefault(member.target.service, []).append(member)
        return cls(
            sequence,
            types.MappingProxyType(by_id),
            types.MappingProxyType(
                {name: tuple(group) for name, group in by_service.items()}
            ),
        )

    def members_of(self, service: str) -> tuple[Member, ...]:
        """Return the members whose target serves a service.

        Args:
            service: Name of the service.

        Returns:
            Members that are ALIVE or SUSPECT, whatever their target's state.
        """
        return self.by_service.get(service, ())

    def get(self, node_id: str) -> Member | None:
        """Return a member.

        Args:
            node_id: Node id of the member.

        Returns:
            The member in any state; None when it is not known.
        """
        return self.members.get(node_id)


EMPTY_SNAPSHOT = Snapshot.of(0, ())
