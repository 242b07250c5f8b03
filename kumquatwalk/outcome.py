"""Outcome of a call, as far as the replying side knows it."""

import enum

__all__ = ["Outcome"]


class Outcome(enum.IntEnum):
    """Outcome of a call.

    ``DONE`` means that the target answered. ``NOT_RUN`` guarantees that no
    target ran the call and that none will run this attempt later. ``UNKNOWN``
    is used whenever this cannot be guaranteed.
    """

    DONE = 0
    NOT_RUN = 1
    FAILED = 2
    UNKNOWN = 3
