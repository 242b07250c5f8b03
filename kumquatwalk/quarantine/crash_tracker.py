"""Attributes crashes of a target to requests and reports them to the fleet."""

import dataclasses
from collections.abc import Callable

from kumquatwalk.exception import FrameError
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event
from kumquatwalk.quarantine.content import RequestContent
from kumquatwalk.quarantine.crash_mark import decode_marks
from kumquatwalk.quarantine.crash_mark import encode_mark
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import ReportedCall
from kumquatwalk.quarantine.crash_report import decode_report
from kumquatwalk.quarantine.crash_report import encode_report
from kumquatwalk.quarantine.crash_table import CrashStatus
from kumquatwalk.quarantine.crash_table import CrashTable
from kumquatwalk.quarantine.fingerprint import abbreviate
from kumquatwalk.quarantine.suspect_rule import RunningCall
from kumquatwalk.quarantine.suspect_rule import make_crash_reports
from kumquatwalk.quarantine.suspect_rule import select_suspects

__all__ = ["CrashTracker"]

# Suspects that the log line of a crash names.
LOGGED_SUSPECTS_MAX = 4


@dataclasses.dataclass(slots=True)
class _RunningRequest:
    """Run in progress.

    Attributes:
        content: Content of its request.
        level: Level of the request when the run began.
        began_as_suspect: Whether it was a suspect then.
        mark: Mark of the crash that interrupted it; empty when it is no
            suspect, None before a crash.
    """

    content: RequestContent
    level: int
    began_as_suspect: bool
    mark: bytes | None = None


class CrashTracker:
    """Tracks the runs in progress and attributes crashes of the target to them.

    Args:
        table: Crashes reported by all nodes.
        broadcast: Sends an encoded report to the nodes that are linked to this
            one. Each node passes on what is new to it, so that a report
            reaches nodes that have no link to its origin.
    """

    def __init__(self, table: CrashTable, broadcast: Callable[[bytes], None]):
        self._table = table
        self._broadcast = broadcast
        self._running: dict[str, _RunningRequest] = {}

    def classify(self, content: RequestContent, now: float) -> CrashStatus:
        """Return the status of a request.

        Args:
            content: Content of the request.
            now: Current time in seconds.
        """
        if not self._table:
            return CrashStatus.CLEAR
        return self._table.classify(content.fingerprint, now)

    def estimate_release(self, content: RequestContent, now: float) -> float:
        """Return the time until a quarantine expires, in seconds.

        Args:
            content: Content of the quarantined request.
            now: Current time in seconds.
        """
        return self._table.estimate_release(content.fingerprint, now)

    def begin(self, run_id: str, content: RequestContent, now: float) -> None:
        """Record the start of a run.

        Args:
            run_id: Identifier of the run.
            content: Content of its request.
            now: Current time in seconds.
        """
        is_suspect = self.classify(content, now) is not CrashStatus.CLEAR
        level = self._table.get_level(content.fingerprint) if self._table else 0
        self._running[run_id] = _RunningRequest(content, level, is_suspect)

    def record_crash(self, run_id: str, now: float) -> bytes:
        """Attribute a crash of the target to the runs in progress.

        Each run that the crash interrupted calls this. The first call reports
        the crash for all runs in progress; the others only return their marks.

        Args:
            run_id: Run whose connection broke and whose target does not listen
                any more.
            now: Current time in seconds.

        Returns:
            Mark of the crash for the reply; empty if the run is not a suspect.
        """
        if self._running[run_id].mark is None:
            self._report_crash(now)
        return self._running[run_id].mark or b""

    def record_marks(
        self, marks: bytes, content: RequestContent, now: float
    ) -> None:
        """Record the crashes that earlier attempts of a call ran into.

        Malformed marks are logged and ignored.

        Args:
            marks: Crash marks of the call.
            content: Content of its request.
            now: Current time in seconds.
        """
        try:
            level = decode_marks(marks)
        except FrameError as error:
            log_event("report_rejected", Level.WARNING, error=error.message)
            return
        if level:
            call = ReportedCall(content.fingerprint, level)
            self._merge(CrashReport((call,)), now)

    def end(self, run_id: str, is_sound: bool, now: float) -> None:
        """Record the end of a run.

        If the request is a suspect and the target answered, the request is
        cleared here and on all other nodes.

        Args:
            run_id: Identifier of the run.
            is_sound: Whether the target answered, and not with a failure.
            now: Current time in seconds.
        """
        request = self._running.pop(run_id)
        if not is_sound or not self._table:
            return
        report = self._table.make_sound_report(request.content.fingerprint)
        if report is not None:
            self._merge(report, now)

    def handle_broadcast(self, payload: bytes, now: float) -> None:
        """Record a report from another node; pass it on if it is new here.

        A malformed report is logged and ignored.

        Args:
            payload: Encoded report.
            now: Current time in seconds.
        """
        try:
            report = decode_report(payload)
        except FrameError as error:
            log_event("report_rejected", Level.WARNING, error=error.message)
            return
        self._merge(report, now)

    def list_reports(self, now: float) -> tuple[bytes, ...]:
        """Return encoded reports of what a node that just linked must know.

        Args:
            now: Current time in seconds.
        """
        return tuple(encode_report(r) for r in self._table.summarize(now))

    def _merge(self, report, now: float) -> None:
        """Merge a report into the table; broadcast it if it changed it."""
        if isinstance(report, CrashReport):
            is_new = self._table.record(report, now)
        else:
            is_new = self._table.clear(report, now)
        if is_new:
            self._broadcast(encode_report(report))

    def _report_crash(self, now: float) -> None:
        running = [r for r in self._running.values() if r.mark is None]
        suspects = select_suspects(
            RunningCall(
                request.content.fingerprint,
                request.began_as_suspect,
                self.classify(request.content, now) is not CrashStatus.CLEAR,
                request.level,
            )
            for request in running
        )
        log_event(
            "target_crashed",
            Level.ERROR,
            runs=len(running),
            suspects=len(suspects),
            highest=max((call.level for call in suspects), default=0),
            content=",".join(
                abbreviate(call.fingerprint)
                for call in suspects[:LOGGED_SUSPECTS_MAX]
            ),
        )
        for report in make_crash_reports(suspects):
            self._merge(report, now)
        marks = {c.fingerprint: encode_mark(c.level) for c in suspects}
        for request in running:
            request.mark = marks.get(request.content.fingerprint, b"")
