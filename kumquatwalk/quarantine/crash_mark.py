"""Marks of crashes that travel with a call and its reply.

A retry may reach the next gate before the broadcast of the crash does. So the
reply names the crash, and the next attempt carries it.
"""

import struct

from kumquatwalk.exception import FrameError
from kumquatwalk.quarantine.crash_report import CRASH_ID_BYTES
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import ReportedCall

__all__ = ["decode_marks", "encode_mark"]

_MARK = struct.Struct(f">{CRASH_ID_BYTES}s?")
_MARKS_MAX = 64


def encode_mark(crash_id: bytes, is_confirmed: bool) -> bytes:
    """Return the mark of a call charged with a crash.

    Args:
        crash_id: Identifier of the crash.
        is_confirmed: Whether the call ran as its gate's only suspect.

    Example:
        >>> len(encode_mark(b"c" * 8, True))
        9
    """
    return _MARK.pack(crash_id, is_confirmed)


def decode_marks(marks: bytes, fingerprint: bytes) -> tuple[CrashReport, ...]:
    """Return the reports that the marks of a call stand for.

    Args:
        marks: Marks, one after the other.
        fingerprint: Fingerprint of the call's request.

    Raises:
        FrameError: The marks are malformed.
    """
    if len(marks) % _MARK.size or len(marks) > _MARKS_MAX * _MARK.size:
        raise FrameError("report_malformed", "crash marks of a wrong size")
    return tuple(
        CrashReport(crash_id, (ReportedCall(fingerprint, is_confirmed),))
        for crash_id, is_confirmed in _MARK.iter_unpack(marks)
    )
