"""Kinds of frames between nodes."""

import enum

__all__ = ["FrameKind"]


class FrameKind(enum.IntEnum):
    """Kind of a frame, the fifth byte of its header."""

    HELLO = 1
    WELCOME = 2
    CALL = 3
    REPLY = 4
    RUNNING = 5
    FORWARD = 6
    CATALOGUE_REQUEST = 7
    CATALOGUE_REPLY = 8
