"""Classes of importance of a request."""

import enum

__all__ = ["Importance"]


class Importance(enum.IntEnum):
    """Class of importance; under overload the highest number is shed first.

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
