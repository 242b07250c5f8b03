"""Reports of crashes and of sound runs, broadcast to all nodes."""

import dataclasses
import functools
import struct

from kumquatwalk.exception import FrameError
from kumquatwalk.quarantine.fingerprint import FINGERPRINT_BYTES

__all__ = [
    "CALLS_PER_REPORT",
    "CrashReport",
    "LEVEL_MAX",
    "ReportedCall",
    "SoundReport",
    "decode_report",
    "encode_report",
]

CALLS_PER_REPORT = 11
LEVEL_MAX = 0xFFFF
REPORT_MAX_BYTES = 200
_CRASH_KIND = b"L"
_SOUND_KIND = b"S"
_CALL = struct.Struct(f">{FINGERPRINT_BYTES}sH")


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCall:
    """Call in a report, with a level of suspicion.

    Attributes:
        fingerprint: Fingerprint of its request.
        level: Level of the request, 1 to ``LEVEL_MAX``, see ``CrashTable``.
    """

    fingerprint: bytes
    level: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Report that a target crashed while calls were in progress.

    Attributes:
        calls: Suspects, at most ``CALLS_PER_REPORT``, each with the level that
            it has from this crash on.
    """

    calls: tuple[ReportedCall, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SoundReport:
    """Report that a suspect was answered, so that it crashes no target.

    Attributes:
        call: The request, with the level up to which it is cleared.
    """

    call: ReportedCall


@functools.singledispatch
def encode_report(report: object) -> bytes:
    """Encode a report in at most ``REPORT_MAX_BYTES`` bytes."""
    raise TypeError(f"unsupported report type: {type(report).__name__}")


@encode_report.register
def _encode_crash(report: CrashReport) -> bytes:
    calls = [_CALL.pack(c.fingerprint, c.level) for c in report.calls]
    return _CRASH_KIND + b"".join(calls)


@encode_report.register
def _encode_sound(report: SoundReport) -> bytes:
    call = report.call
    return _SOUND_KIND + _CALL.pack(call.fingerprint, call.level)


def decode_report(data: bytes) -> CrashReport | SoundReport:
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
    kind, rows = data[:1], data[1:]
    if not rows or len(rows) % _CALL.size:
        raise FrameError("report_malformed", "report has a wrong length")
    calls = tuple(ReportedCall(*row) for row in _CALL.iter_unpack(rows))
    if not all(call.level for call in calls):
        raise FrameError("report_malformed", "level is 0")
    if kind == _CRASH_KIND:
        return CrashReport(calls)
    if kind == _SOUND_KIND and len(calls) == 1:
        return SoundReport(calls[0])
    raise FrameError("report_malformed", "unknown report kind")
