"""Rule that selects the suspects of a crash."""

import dataclasses
import hashlib
from collections.abc import Iterable

from kumquatwalk.quarantine.crash_report import CALLS_PER_REPORT
from kumquatwalk.quarantine.crash_report import CRASH_ID_BYTES
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
        is_suspect: Whether the request was a suspect of an earlier crash when
            its run began.
    """

    fingerprint: bytes
    is_suspect: bool


SuspectCall = ReportedCall


def select_suspects(running: Iterable[RunningCall]) -> tuple[SuspectCall, ...]:
    """Return the suspects of a crash.

    If suspects of earlier crashes were in progress, only they are suspects of
    this one. Otherwise all calls in progress are, since any of them may be the
    cause.

    Args:
        running: Calls in progress when the target crashed.

    Returns:
        The suspects, one for each request. A single suspect of earlier crashes
        is confirmed.

    Example:
        >>> first = RunningCall(b"a" * 16, is_suspect=True)
        >>> other = RunningCall(b"b" * 16, is_suspect=False)
        >>> [call.fingerprint[:1] for call in select_suspects([first, other])]
        [b'a']
    """
    calls = {call.fingerprint: call for call in running}.values()
    known_suspects = [call for call in calls if call.is_suspect]
    is_confirmed = len(known_suspects) == 1
    return tuple(
        SuspectCall(call.fingerprint, is_confirmed)
        for call in known_suspects or calls
    )


def make_crash_reports(
    node_id: str,
    incarnation: int,
    sequence: int,
    suspects: tuple[SuspectCall, ...],
) -> tuple[CrashReport, ...]:
    """Return the reports of one crash.

    Args:
        node_id: Node on the target's VM.
        incarnation: Incarnation of that node.
        sequence: Sequence number of the crash within the incarnation.
        suspects: Suspects of the crash.

    Returns:
        As many reports as hold all suspects, with the same crash identifier.
    """
    name = f"{node_id}\0{incarnation}\0{sequence}".encode()
    crash_id = hashlib.blake2b(name, digest_size=CRASH_ID_BYTES).digest()
    return tuple(
        CrashReport(crash_id, suspects[first : first + CALLS_PER_REPORT])
        for first in range(0, len(suspects), CALLS_PER_REPORT)
    )
