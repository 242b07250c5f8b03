"""Table of the crashes of which requests are suspects."""

import collections
import dataclasses
import enum

from kumquatwalk.quarantine.crash_report import CRASHES_PER_CLEAR
from kumquatwalk.quarantine.crash_report import ClearReport
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import ReportedCall

__all__ = ["CrashTable", "CrashStatus", "QUARANTINE_TTL_S"]

QUARANTINE_TTL_S = 600.0
QUARANTINE_CRASHES = 2
MAX_FINGERPRINTS = 5_000


class CrashStatus(enum.Enum):
    """Status of a request with regard to crashes of targets."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True)
class _Record:
    """Crashes of one fingerprint.

    Attributes:
        updated_at: Time of the last report, from which the TTL counts.
        crashes: Whether the request ran as the only suspect, by crash
            identifier.
        cleared: Crashes of which the request was cleared; later reports of
            them are ignored.
    """

    updated_at: float
    crashes: dict[bytes, bool] = dataclasses.field(default_factory=dict)
    cleared: set[bytes] = dataclasses.field(default_factory=set)


class CrashTable:
    """Crashes by fingerprint of the requests that are suspects of them.

    A request is quarantined after two distinct crashes if, in at least one of
    them, it ran as the only suspect at its target. Simultaneous crashes of
    many targets, which have another cause, therefore quarantine no request.

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
        if not self._records:
            return CrashStatus.CLEAR
        self._expire(now)
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return CrashStatus.CLEAR
        is_confirmed = any(record.crashes.values())
        if is_confirmed and len(record.crashes) >= QUARANTINE_CRASHES:
            return CrashStatus.QUARANTINED
        return CrashStatus.SUSPECT

    def record(self, report: CrashReport, now: float) -> None:
        """Record a crash report; repeated reports only renew the TTL.

        Args:
            report: Report from this node or another one.
            now: Current time in seconds.
        """
        self._expire(now)
        for call in report.calls:
            self._record_suspect(report.crash_id, call, now)

    def make_clear(self, fingerprint: bytes) -> ClearReport | None:
        """Return a report that clears a request of all recorded crashes.

        The table is not changed.

        Args:
            fingerprint: Fingerprint of a request that ended without a crash.

        Returns:
            Report to be passed to ``clear`` and broadcast; None if the request
            is not a suspect.
        """
        if not self._records:
            return None
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return None
        crash_ids = tuple(record.crashes)[:CRASHES_PER_CLEAR]
        return ClearReport(fingerprint, crash_ids)

    def clear(self, report: ClearReport, now: float) -> None:
        """Clear a request of crashes, even of those not yet reported here.

        Args:
            report: Report from this node or another one.
            now: Current time in seconds.
        """
        self._expire(now)
        record = self._touch(report.fingerprint, now)
        for crash_id in report.crash_ids:
            record.crashes.pop(crash_id, None)
            record.cleared.add(crash_id)

    def __len__(self) -> int:
        return len(self._records)

    def _record_suspect(
        self, crash_id: bytes, call: ReportedCall, now: float
    ) -> None:
        record = self._touch(call.fingerprint, now)
        if crash_id in record.cleared:
            return
        if len(record.crashes) < CRASHES_PER_CLEAR:
            record.crashes[crash_id] = call.is_confirmed

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
