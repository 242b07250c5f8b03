"""Callbacks of the membership service."""

import dataclasses
from collections.abc import Callable

from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.member import Member

__all__ = ["MembershipCallbacks"]


def _ignore(*_: object) -> None:
    """Take any arguments and do nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipCallbacks:
    """What the membership service reports.

    All are called in the service's own thread and must return at once.

    Attributes:
        on_broadcast: Called with the kind and payload of each new broadcast.
        on_newer_revision: Called with a member and its catalogue revision when
            that is higher than this node's own.
        on_identity_conflict: Called with the record of another process that
            uses this node's id with a higher incarnation.
    """

    on_broadcast: Callable[[BroadcastKind, bytes], None] = _ignore
    on_newer_revision: Callable[[Member, int], None] = _ignore
    on_identity_conflict: Callable[[Member], None] = _ignore
