"""Rule that tells which calls are charged with a crash."""

import dataclasses
import hashlib
from collections.abc import Iterable

from kumquatwalk.quarantine.crash_report import CALLS_PER_REPORT
from kumquatwalk.quarantine.crash_report import CRASH_ID_BYTES
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import ReportedCall

__all__ = ["ChargedCall", "RunningCall", "make_crash_reports", "select_charged"]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCall:
    """A call in progress at a target.

    Attributes:
        fingerprint: Fingerprint of its request.
        is_suspect: Whether it was a suspect when its run began.
    """

    fingerprint: bytes
    is_suspect: bool


ChargedCall = ReportedCall


def select_charged(running: Iterable[RunningCall]) -> tuple[ChargedCall, ...]:
    """Return the calls charged with a crash.

    Suspects alone are charged when there is one; otherwise all calls become
    suspects, since any of them may be the cause.

    Args:
        running: Calls in progress when the target crashed.

    Example:
        >>> first = RunningCall(b"a" * 16, is_suspect=True)
        >>> other = RunningCall(b"b" * 16, is_suspect=False)
        >>> [call.fingerprint[:1] for call in select_charged([first, other])]
        [b'a']
    """
    calls = {call.fingerprint: call for call in running}.values()
    suspects = [call for call in calls if call.is_suspect]
    is_confirmed = len(suspects) == 1
    return tuple(
        ChargedCall(call.fingerprint, is_confirmed)
        for call in suspects or calls
    )


def make_crash_reports(
    node_id: str,
    incarnation: int,
    sequence: int,
    charged: tuple[ChargedCall, ...],
) -> tuple[CrashReport, ...]:
    """Return the reports of one crash.

    Args:
        node_id: Node of the target's VM.
        incarnation: Incarnation of that node.
        sequence: Number of the crash within the incarnation.
        charged: Calls charged.
    """
    name = f"{node_id}\0{incarnation}\0{sequence}".encode()
    crash_id = hashlib.blake2b(name, digest_size=CRASH_ID_BYTES).digest()
    return tuple(
        CrashReport(crash_id, charged[first : first + CALLS_PER_REPORT])
        for first in range(0, len(charged), CALLS_PER_REPORT)
    )
