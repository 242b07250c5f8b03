"""Kinds of broadcasts."""

import enum

__all__ = ["BroadcastKind"]


class BroadcastKind(enum.IntEnum):
    """What the payload of a broadcast means to its receivers."""

    CATALOGUE_RECORD = 1
    CRASH_REPORT = 2
