"""Kinds of membership messages."""

import enum

__all__ = ["MessageKind"]


class MessageKind(enum.IntEnum):
    """What a membership message asks or answers."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    GOSSIP = 4
    JOIN = 5
    SYNC = 6
    PAGE = 7
