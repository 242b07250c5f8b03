"""Entry of a message about tokens: one team with its numbers."""

import dataclasses

__all__ = ["COUNT_MAX", "TokenEntry"]

# Largest number of tokens in an entry, as it has 16 bits on links.
COUNT_MAX = 0xFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEntry:
    """Tokens of one team that are requested, granted or returned.

    Attributes:
        team: Number of the team, see ``TeamIndex``.
        count: In a request, tokens wanted; in a grant, tokens granted.
        extra: In a request, unused tokens that are returned; in a grant, time
            until the next token is expected, in milliseconds.
    """

    team: int
    count: int
    extra: int = 0
