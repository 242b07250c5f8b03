"""Author and reason of a change."""

import dataclasses

from kumquatwalk.catalogue import bounds
from kumquatwalk.exception import CatalogueError

__all__ = ["Editor"]


@dataclasses.dataclass(frozen=True, slots=True)
class Editor:
    """Author and reason of a change, as stored in its audit record.

    Attributes:
        author: Team, or team and person, as ``team`` or ``team/person``.
        reason: Reason for the change.
        at_unix_ms: Wall clock time, milliseconds since the epoch.
        as_admin: Whether to skip the ownership check.
    """

    author: str
    reason: str
    at_unix_ms: int
    as_admin: bool = False

    @property
    def team(self) -> str:
        """Team part of the author."""
        return self.author.partition("/")[0]

    def check(self) -> None:
        """Validate the author and the reason.

        Raises:
            CatalogueError: If either is malformed.
        """
        if not bounds.AUTHOR_PATTERN.fullmatch(self.author):
            raise CatalogueError(
                "author_invalid",
                f"{self.author[:80]!r} is not TEAM or TEAM/PERSON",
            )
        too_long = len(self.reason) > bounds.MAX_REASON_CHARACTERS
        if too_long or not self.reason.strip():
            raise CatalogueError(
                "reason_invalid",
                f"a reason of 1 to {bounds.MAX_REASON_CHARACTERS} characters"
                " is needed",
            )
        if not self.reason.isprintable():
            raise CatalogueError(
                "reason_invalid", "the reason has unprintable characters"
            )
