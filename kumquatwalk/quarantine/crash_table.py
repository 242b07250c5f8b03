"""Table of the requests that are suspects of crashes."""

import collections
import dataclasses
import enum

from kumquatwalk.quarantine.crash_report import CALLS_PER_REPORT
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import ReportedCall
from kumquatwalk.quarantine.crash_report import SoundReport

__all__ = ["CrashTable", "CrashStatus", "QUARANTINE_TTL_S"]

QUARANTINE_TTL_S = 600.0
# Levels above the cleared one at which a request is quarantined.
QUARANTINE_LEVELS = 2
MAX_FINGERPRINTS = 5_000
# Maximum number of suspects in a summary for a new link, the latest ones.
SUMMARY_CALLS_MAX = 20 * CALLS_PER_REPORT


class CrashStatus(enum.Enum):
    """Status of a request with regard to crashes of targets."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True)
class _Record:
    """Levels of one fingerprint.

    Attributes:
        updated_at: Time of the last report, from which the TTL counts.
        level: Highest level reported.
        cleared: Highest level at which a target answered it.
    """

    updated_at: float
    level: int = 0
    cleared: int = 0

    @property
    def status(self) -> CrashStatus:
        """Status at the reported levels."""
        if self.level <= self.cleared:
            return CrashStatus.CLEAR
        if self.level - self.cleared < QUARANTINE_LEVELS:
            return CrashStatus.SUSPECT
        return CrashStatus.QUARANTINED


class CrashTable:
    """Levels of suspicion by fingerprint of a request.

    A request starts at level 0. A crash of a target that runs it raises it to
    the level above the one at which its run began. So crashes of any number of
    targets at one moment raise it by one level only, and quarantine nothing.
    An answer clears it up to the level that it has then. It is a suspect one
    level above the cleared one, and quarantined two above it.

    Both levels only grow, and a report is merged by taking the maximum:
    reports may be lost, late, doubled or in any order, and nodes that have the
    same reports have the same table.

    Args:
        max_fingerprints: Max number of fingerprints; the least recently
            reported ones are evicted first.

    Example:
        >>> table = CrashTable()
        >>> table.classify(b"a" * 16, now=1.0)
        <CrashStatus.CLEAR: 'clear'>
    """

    def __init__(self, max_fingerprints: int = MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        self._records = collections.OrderedDict[bytes, _Record]()

    def classify(self, fingerprint: bytes, now: float) -> CrashStatus:
        """Return the status of a request.

        Args:
            fingerprint: Fingerprint of the request.
            now: Current time in seconds.
        """
        self._expire(now)
        record = self._records.get(fingerprint)
        return CrashStatus.CLEAR if record is None else record.status

    def get_level(self, fingerprint: bytes) -> int:
        """Return the level of a request; 0 when it is not in the table.

        Args:
            fingerprint: Fingerprint of the request.
        """
        record = self._records.get(fingerprint)
        return 0 if record is None else record.level

    def estimate_release(self, fingerprint: bytes, now: float) -> float:
        """Return the time until the record of a request expires, in seconds.

        Args:
            fingerprint: Fingerprint of the request.
            now: Current time in seconds.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return 0.0
        return max(0.0, record.updated_at + QUARANTINE_TTL_S - now)

    def record(self, report: CrashReport, now: float) -> bool:
        """Record a crash report.

        Args:
            report: Report from this node or another one.
            now: Current time in seconds.

        Returns:
            Whether it raised the level of a request.
        """
        self._expire(now)
        has_changed = False
        for call in report.calls:
            if call.level > self.get_level(call.fingerprint):
                self._touch(call.fingerprint, now).level = call.level
                has_changed = True
        return has_changed

    def make_sound_report(self, fingerprint: bytes) -> SoundReport | None:
        """Return a report that clears a request up to its level.

        The table is not changed.

        Args:
            fingerprint: Fingerprint of a request that a target answered.

        Returns:
            Report to be passed to ``clear`` and broadcast; None if the request
            is clear.
        """
        record = self._records.get(fingerprint)
        if record is None or record.status is CrashStatus.CLEAR:
            return None
        return SoundReport(ReportedCall(fingerprint, record.level))

    def clear(self, report: SoundReport, now: float) -> bool:
        """Clear a request, also of crashes that are not reported here yet.

        Args:
            report: Report from this node or another one.
            now: Current time in seconds.

        Returns:
            Whether it raised the cleared level.
        """
        self._expire(now)
        call = report.call
        record = self._records.get(call.fingerprint)
        if record is not None and call.level <= record.cleared:
            return False
        record = self._touch(call.fingerprint, now)
        record.cleared = call.level
        record.level = max(record.level, call.level)
        return True

    def summarize(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of the requests that are not clear, latest first.

        Args:
            now: Current time in seconds.
        """
        self._expire(now)
        calls = []
        for fingerprint, record in reversed(self._records.items()):
            if record.status is not CrashStatus.CLEAR:
                calls.append(ReportedCall(fingerprint, record.level))
            if len(calls) == SUMMARY_CALLS_MAX:
                break
        return tuple(
            CrashReport(tuple(calls[first : first + CALLS_PER_REPORT]))
            for first in range(0, len(calls), CALLS_PER_REPORT)
        )

    def __len__(self) -> int:
        return len(self._records)

    def _touch(self, fingerprint: bytes, now: float) -> _Record:
        record = self._records.pop(fingerprint, None) or _Record(now)
        record.updated_at = now
        self._records[fingerprint] = record
        if len(self._records) > self._max_fingerprints:
            self._records.popitem(last=False)
        return record

    def _expire(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if now - oldest.updated_at <= QUARANTINE_TTL_S:
                return
            self._records.popitem(last=False)
