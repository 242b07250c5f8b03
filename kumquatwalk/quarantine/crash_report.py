"""Reports of crashes and of cleared suspects, broadcast to all nodes."""

import dataclasses
import functools
import struct

from kumquatwalk.exception import FrameError
from kumquatwalk.quarantine.fingerprint import FINGERPRINT_BYTES

__all__ = [
    "CALLS_PER_REPORT",
    "CRASHES_PER_CLEAR",
    "ClearReport",
    "CrashReport",
    "ReportedCall",
    "decode_report",
    "encode_report",
]

CRASH_ID_BYTES = 8
CALLS_PER_REPORT = 11
CRASHES_PER_CLEAR = 16
REPORT_MAX_BYTES = 200
_CRASH_KIND = b"C"
_CLEAR_KIND = b"K"
_CALL = struct.Struct(f">{FINGERPRINT_BYTES}s?")


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCall:
    """Call that is a suspect of a crash.

    Attributes:
        fingerprint: Fingerprint of its request.
        is_confirmed: Whether it ran as the only suspect at the target, that is,
            the only call already suspected of an earlier crash.
    """

    fingerprint: bytes
    is_confirmed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Report that a target crashed while calls were in progress.

    Attributes:
        crash_id: Identifier of the crash, the same in all its reports.
        calls: Suspects of the crash, at most ``CALLS_PER_REPORT``.
    """

    crash_id: bytes
    calls: tuple[ReportedCall, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearReport:
    """Report that a suspect ended without a crash.

    Attributes:
        fingerprint: Fingerprint of its request.
        crash_ids: Crashes of which the request is no longer a suspect, at most
            ``CRASHES_PER_CLEAR``.
    """

    fingerprint: bytes
    crash_ids: tuple[bytes, ...]


@functools.singledispatch
def encode_report(report: object) -> bytes:
    """Encode a report in at most ``REPORT_MAX_BYTES`` bytes."""
    raise TypeError(f"unsupported report type: {type(report).__name__}")


@encode_report.register
def _encode_crash(report: CrashReport) -> bytes:
    calls = [_CALL.pack(c.fingerprint, c.is_confirmed) for c in report.calls]
    return _CRASH_KIND + report.crash_id + b"".join(calls)


@encode_report.register
def _encode_clear(report: ClearReport) -> bytes:
    return _CLEAR_KIND + report.fingerprint + b"".join(report.crash_ids)


def decode_report(data: bytes) -> CrashReport | ClearReport:
    """Decode a report.

    Args:
        data: Bytes returned by ``encode_report``.

    Returns:
        The report.

    Raises:
        FrameError: The bytes are not a report (code ``report_malformed``).
    """
    if len(data) > REPORT_MAX_BYTES:
        raise FrameError("report_malformed", "report is too long")
    if data[:1] == _CRASH_KIND:
        return _decode_crash(data[1:])
    if data[:1] == _CLEAR_KIND:
        return _decode_clear(data[1:])
    raise FrameError("report_malformed", "unknown report kind")


def _decode_crash(data: bytes) -> CrashReport:
    calls = data[CRASH_ID_BYTES:]
    if not calls or len(calls) % _CALL.size:
        raise FrameError("report_malformed", "crash report has a wrong length")
    if any(flag > 1 for flag in calls[_CALL.size - 1 :: _CALL.size]):
        raise FrameError(
            "report_malformed", "confirmed flag is neither 0 nor 1"
        )
    reported = tuple(ReportedCall(*row) for row in _CALL.iter_unpack(calls))
    return CrashReport(data[:CRASH_ID_BYTES], reported)


def _decode_clear(data: bytes) -> ClearReport:
    ids = data[FINGERPRINT_BYTES:]
    if not ids or len(ids) % CRASH_ID_BYTES:
        raise FrameError("report_malformed", "clear report has a wrong length")
    starts = range(0, len(ids), CRASH_ID_BYTES)
    crash_ids = tuple(ids[i : i + CRASH_ID_BYTES] for i in starts)
    return ClearReport(data[:FINGERPRINT_BYTES], crash_ids)
