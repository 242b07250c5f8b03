"""Attributes crashes of a target to requests and reports them to the fleet."""

import itertools
from collections.abc import Callable

from kumquatwalk.exception import FrameError
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event
from kumquatwalk.quarantine.crash_mark import decode_marks
from kumquatwalk.quarantine.crash_mark import encode_mark
from kumquatwalk.quarantine.crash_report import CrashReport
from kumquatwalk.quarantine.crash_report import decode_report
from kumquatwalk.quarantine.crash_report import encode_report
from kumquatwalk.quarantine.crash_table import CrashTable
from kumquatwalk.quarantine.crash_table import CrashStatus
from kumquatwalk.quarantine.suspect_rule import RunningCall
from kumquatwalk.quarantine.suspect_rule import make_crash_reports
from kumquatwalk.quarantine.suspect_rule import select_suspects

__all__ = ["CrashTracker"]


class CrashTracker:
    """Tracks the runs in progress and attributes crashes of the target to them.

    Args:
        node_id: Name of this node.
        incarnation: Incarnation of this node.
        table: Crashes reported by all nodes.
        broadcast: Sends an encoded report to all nodes.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        table: CrashTable,
        broadcast: Callable[[bytes], None],
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._table = table
        self._broadcast = broadcast
        self._running: dict[str, RunningCall] = {}
        self._marks: dict[str, bytes] = {}
        self._sequence = itertools.count(1)

    def classify(self, fingerprint: bytes, now: float) -> CrashStatus:
        """Return the status of a request.

        Args:
            fingerprint: Fingerprint of the request.
            now: Current time in seconds.
        """
        return self._table.classify(fingerprint, now)

    def begin(
        self, run_id: str, fingerprint: bytes, status: CrashStatus
    ) -> None:
        """Record the start of a run.

        Args:
            run_id: Identifier of the run.
            fingerprint: Fingerprint of its request.
            status: Status of the request at the start of the run.
        """
        is_suspect = status is CrashStatus.SUSPECT
        self._running[run_id] = RunningCall(fingerprint, is_suspect)

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
        if run_id not in self._marks:
            self._report_crash(now)
        return self._marks.get(run_id, b"")

    def record_marks(
        self, marks: bytes, fingerprint: bytes, now: float
    ) -> None:
        """Record the crashes that earlier attempts of a call ran into.

        Malformed marks are logged and ignored.

        Args:
            marks: Crash marks of the call.
            fingerprint: Fingerprint of its request.
            now: Current time in seconds.
        """
        try:
            reports = decode_marks(marks, fingerprint)
        except FrameError as error:
            log_event("report_rejected", Level.WARNING, error=error.message)
            return
        for report in reports:
            self._table.record(report, now)

    def _report_crash(self, now: float) -> None:
        running = dict(self._running)
        self._marks.update((run_id, b"") for run_id in running)
        sequence = next(self._sequence)
        suspects = select_suspects(running.values())
        log_event("target_crashed", Level.ERROR, charged=len(suspects))
        for report in make_crash_reports(
            self._node_id, self._incarnation, sequence, suspects
        ):
            self._table.record(report, now)
            self._broadcast(encode_report(report))
            self._set_marks(report, running)

    def _set_marks(
        self, report: CrashReport, running: dict[str, RunningCall]
    ) -> None:
        marks = {
            call.fingerprint: encode_mark(report.crash_id, call.is_confirmed)
            for call in report.calls
        }
        for run_id, call in running.items():
            if call.fingerprint in marks:
                self._marks[run_id] = marks[call.fingerprint]

    def end(self, run_id: str, has_answer: bool, now: float) -> None:
        """Record the end of a run.

        If the request was a suspect and the target answered, the request is
        cleared here and on all other nodes.

        Args:
            run_id: Identifier of the run.
            has_answer: Whether the target answered.
            now: Current time in seconds.
        """
        call = self._running.pop(run_id, None)
        self._marks.pop(run_id, None)
        if call is None or not has_answer or not call.is_suspect:
            return
        report = self._table.make_clear(call.fingerprint)
        if report is not None:
            self._table.clear(report, now)
            self._broadcast(encode_report(report))

    def handle_broadcast(self, payload: bytes, now: float) -> None:
        """Record a report broadcast by another node.

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
        if isinstance(report, CrashReport):
            self._table.record(report, now)
        else:
            self._table.clear(report, now)
