"""Rule that selects the suspects of a crash."""

import dataclasses
from collections.abc import Iterable

from kumquatwalk.quarantine.crash_report import CALLS_PER_REPORT
from kumquatwalk.quarantine.crash_report import LEVEL_MAX
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import ReportedCall

__all__ = [
    "RunningCall",
    "SuspectCall",
    "make_crash_reports",
    "select_suspects",
]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCall:
    """Call in progress at a target.

    Attributes:
        fingerprint: Fingerprint of its request.
        began_as_suspect: Whether the request was a suspect of an earlier crash
            when its run began.
        is_suspect: Whether it is one now. Another target may have crashed
            meanwhile.
        level: Level of the request when its run began.
    """

    fingerprint: bytes
    began_as_suspect: bool
    is_suspect: bool
    level: int = 0


SuspectCall = ReportedCall


def select_suspects(running: Iterable[RunningCall]) -> tuple[SuspectCall, ...]:
    """Return the suspects of a crash, with their new levels.

    A run that began as a suspect began alone, with no other suspect beside
    it. If it is still the only one, it is the only suspect of this crash too.
    Otherwise any call in progress may be the cause, and none of them rises
    above the level next to the one at which its run began.

    Args:
        running: Calls in progress when the target crashed.

    Returns:
        The suspects, one for each request, some perhaps at a level that they
        already have.

    Example:
        >>> first = RunningCall(b"a" * 16, True, True, level=1)
        >>> other = RunningCall(b"b" * 16, False, False)
        >>> [call.level for call in select_suspects([first, other])]
        [2]
    """
    calls = list(running)
    began = {c.fingerprint: c for c in calls if c.began_as_suspect}
    suspects = {c.fingerprint for c in calls if c.is_suspect}
    if len(began) == 1 and suspects <= began.keys():
        return tuple(_raise_level(call) for call in began.values())
    others = {c.fingerprint: c for c in calls if not c.began_as_suspect}
    return tuple(_raise_level(call) for call in others.values())


def make_crash_reports(
    suspects: tuple[SuspectCall, ...],
) -> tuple[CrashReport, ...]:
    """Return the reports of one crash, as many as hold all suspects.

    Args:
        suspects: Suspects of the crash.
    """
    return tuple(
        CrashReport(suspects[first : first + CALLS_PER_REPORT])
        for first in range(0, len(suspects), CALLS_PER_REPORT)
    )


def _raise_level(call: RunningCall) -> SuspectCall:
    return SuspectCall(call.fingerprint, min(call.level + 1, LEVEL_MAX))
