"""Crash marks, which are carried by replies and by retries.

A retry may reach its next target before the broadcast report of the crash. So
the reply carries a mark of the crash, and the next attempt sends it along.
"""

import struct

from kumquatwalk.exception import FrameError

__all__ = ["decode_marks", "encode_mark"]

_MARK = struct.Struct(">cH")
_KIND = b"L"
_MARKS_MAX = 64


def encode_mark(level: int) -> bytes:
    """Return the mark of a call that is a suspect of a crash.

    Args:
        level: Level of its request from the crash on, 1 to ``LEVEL_MAX``.

    Example:
        >>> encode_mark(1)
        b'L\\x00\\x01'
    """
    return _MARK.pack(_KIND, level)


def decode_marks(marks: bytes) -> int:
    """Return the highest level of a call's marks, 0 without any.

    Args:
        marks: Concatenated marks.

    Raises:
        FrameError: The marks are malformed (code ``report_malformed``).
    """
    if len(marks) % _MARK.size or len(marks) > _MARKS_MAX * _MARK.size:
        raise FrameError("report_malformed", "crash marks have a wrong length")
    rows = list(_MARK.iter_unpack(marks))
    if any(kind != _KIND for kind, _ in rows):
        raise FrameError("report_malformed", "unknown kind of crash mark")
    return max((level for _, level in rows), default=0)
