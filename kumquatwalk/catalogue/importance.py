"""Priority classes of requests."""

import enum

__all__ = ["Importance"]


class Importance(enum.IntEnum):
    """Priority class; load shedding starts with the highest number.

    The classes follow the criticality levels described in Beyer et al.,
    "Site Reliability Engineering", chapter 21 (O'Reilly, 2016).

    Example:
        >>> Importance.CRITICAL < Importance.SHEDDABLE
        True
    """

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    SHEDDABLE = 3
