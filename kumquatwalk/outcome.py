"""What became of a call, as far as the side that answers can know."""

import enum

__all__ = ["Outcome"]


class Outcome(enum.IntEnum):
    """Outcome of a call.

    ``NOT_RUN`` is a promise: no target ran the call and none will run this
    attempt later. ``UNKNOWN`` is used whenever that cannot be promised.
    """

    DONE = 0
    NOT_RUN = 1
    FAILED = 2
    UNKNOWN = 3
