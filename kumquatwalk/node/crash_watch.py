"""Finds the requests that crash targets and tells the fleet of them."""

import itertools
import threading
from collections.abc import Callable

from kumquatwalk.exception import FrameError
from kumquatwalk.link.identity import Identity
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event
from kumquatwalk.quarantine import CrashReport
from kumquatwalk.quarantine import CrashTable
from kumquatwalk.quarantine import CrashVerdict
from kumquatwalk.quarantine import RunningCall
from kumquatwalk.quarantine import decode_report
from kumquatwalk.quarantine import encode_report
from kumquatwalk.quarantine import make_crash_reports
from kumquatwalk.quarantine import select_charged

__all__ = ["CrashWatch"]


class CrashWatch:
    """Runs in progress by fingerprint, and the crashes they are charged with.

    Args:
        identity: This node.
        table: Crashes known here.
        broadcast: Spreads an encoded report to all nodes.
    """

    def __init__(
        self,
        identity: Identity,
        table: CrashTable,
        broadcast: Callable[[bytes], None],
    ):
        self._identity = identity
        self._table = table
        self._broadcast = broadcast
        self._lock = threading.Lock()
        self._running: dict[str, RunningCall] = {}
        self._charged: set[str] = set()
        self._sequence = itertools.count(1)

    def judge(self, fingerprint: bytes, now: float) -> CrashVerdict:
        """Return what may be done with a request."""
        return self._table.judge(fingerprint, now)

    def begin(
        self, run_id: str, fingerprint: bytes, verdict: CrashVerdict
    ) -> None:
        """Record that a run starts."""
        is_suspect = verdict is CrashVerdict.SUSPECT
        self._running[run_id] = RunningCall(fingerprint, is_suspect)

    def note_crash(self, run_id: str, now: float) -> None:
        """Charge the runs in progress with a crash of the target.

        The first of them to be reported charges all; the others then change
        nothing.

        Args:
            run_id: A run whose connection broke while the target was gone.
            now: Present time.
        """
        with self._lock:
            if run_id in self._charged:
                return
            running = dict(self._running)
            self._charged.update(running)
            sequence = next(self._sequence)
        charged = select_charged(running.values())
        log_event("target_crashed", Level.ERROR, charged=len(charged))
        identity = self._identity
        for report in make_crash_reports(
            identity.node_id, identity.incarnation, sequence, charged
        ):
            self._table.note(report, now)
            self._broadcast(encode_report(report))

    def end(self, run_id: str, has_answer: bool, now: float) -> None:
        """Record that a run ended; an answer clears a suspect.

        Args:
            run_id: The run.
            has_answer: Whether the target answered.
            now: Present time.
        """
        call = self._running.pop(run_id, None)
        with self._lock:
            self._charged.discard(run_id)
        if call is None or not has_answer or not call.is_suspect:
            return
        report = self._table.make_clear(call.fingerprint)
        if report is not None:
            self._table.clear(report, now)
            self._broadcast(encode_report(report))

    def take_broadcast(self, payload: bytes, now: float) -> None:
        """Take a report of another node."""
        try:
            report = decode_report(payload)
        except FrameError as error:
            log_event("report_rejected", Level.WARNING, error=error.message)
            return
        if isinstance(report, CrashReport):
            self._table.note(report, now)
        else:
            self._table.clear(report, now)
