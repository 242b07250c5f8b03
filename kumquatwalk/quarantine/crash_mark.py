"""Crash marks, which are carried by replies and by retries.

A retry may reach its next target before the broadcast report of the crash. So
the reply carries a mark of the crash, and the next attempt sends it along.
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
    """Return the mark of a call that is a suspect of a crash.

    Args:
        crash_id: Identifier of the crash, ``CRASH_ID_BYTES`` long.
        is_confirmed: Whether the call ran as the only suspect at its target.

    Example:
        >>> len(encode_mark(b"c" * 8, True))
        9
    """
    return _MARK.pack(crash_id, is_confirmed)


def decode_marks(marks: bytes, fingerprint: bytes) -> tuple[CrashReport, ...]:
    """Decode the marks of a call into one crash report per mark.

    Args:
        marks: Concatenated marks.
        fingerprint: Fingerprint of the call's request.

    Returns:
        The reports, each with this call as its only suspect.

    Raises:
        FrameError: The marks are malformed (code ``report_malformed``).
    """
    if len(marks) % _MARK.size or len(marks) > _MARKS_MAX * _MARK.size:
        raise FrameError("report_malformed", "crash marks have a wrong length")
    return tuple(
        CrashReport(crash_id, (ReportedCall(fingerprint, is_confirmed),))
        for crash_id, is_confirmed in _MARK.iter_unpack(marks)
    )
