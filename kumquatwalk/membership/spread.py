"""How far a change is passed on."""

import enum

__all__ = ["Spread"]


class Spread(enum.Enum):
    """How far a change is passed on to other nodes.

    FULL is for news. LITTLE is for what most others find out for themselves:
    the end of a suspicion, or what a comparison of tables brought. NONE is for
    what a joining node fetches.
    """

    NONE = 0
    LITTLE = 1
    FULL = 2
