"""Notices members that have a newer catalogue revision."""

from collections.abc import Callable

from kumquatwalk.membership.member import Member
from kumquatwalk.membership.message import Message
from kumquatwalk.membership.table import MemberTable

__all__ = ["RevisionWatch"]

REPEAT_INTERVAL_S = 1.0


class RevisionWatch:
    """Notices members that have a newer catalogue revision.

    The same revision is reported again only after ``REPEAT_INTERVAL_S``.
    """

    def __init__(
        self,
        table: MemberTable,
        on_newer_revision: Callable[[Member, int], None],
    ):
        self._table = table
        self._on_newer_revision = on_newer_revision
        self._reported = 0
        self._repeat_at = 0.0

    def note(self, message: Message, own_revision: int, now: float) -> None:
        """Record the sender's revision, and report it if it is newer.

        Args:
            message: Message from another node.
            own_revision: Catalogue revision in force at this node.
            now: Monotonic time in seconds.
        """
        revision = message.catalogue_revision
        self._table.note_revision(message.sender, message.incarnation, revision)
        if revision <= own_revision:
            return
        if revision <= self._reported and now < self._repeat_at:
            return
        member = self._table.get(message.sender)
        if member is not None:
            self._reported = revision
            self._repeat_at = now + REPEAT_INTERVAL_S
            self._on_newer_revision(member, revision)
