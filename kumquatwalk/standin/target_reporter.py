"""Load reports from a simulated target to its node."""

import collections
import dataclasses
import json
import threading
import time
from collections.abc import Callable

from kumquatwalk.standin.target_faults import TargetFaults

__all__ = ["TargetReport", "TargetReporter"]

REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 2.0
MAX_REPORT_HISTORY = 256


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """Announcement and load report of a target, sent as JSON.

    Attributes:
        service: Service of the target.
        slots: Concurrency limit of the target.
        connections: Number of connections that the target accepts.
        port: Port of the target.
        state: ``warming``, ``ready`` or ``draining``.
        in_flight: Number of runs in progress.
        latency_ms: Moving average of the run time, in milliseconds.
        started_at_ms: Start time of the target, in Unix milliseconds.
    """

    service: str
    slots: int
    connections: int
    port: int
    state: str
    in_flight: int
    latency_ms: float
    started_at_ms: int


class TargetReporter:
    """Sends reports every 0.5 s from its own thread and connection.

    Args:
        host: Address of the node's local listener.
        port: Port of the node's local listener.
        make_report: Returns the present report, before faults are applied.
        get_faults: Returns the injected faults.
    """

    def __init__(
        self,
        host: str,
        port: int,
        make_report: Callable[[], TargetReport],
        get_faults: Callable[[], TargetFaults],
    ):
        self._host = host
        self._port = port
        self._make_report = make_report
        self._get_faults = get_faults
        self._sent = collections.deque[tuple[float, TargetReport]](
            maxlen=MAX_REPORT_HISTORY
        )
        self._wake = threading.Event()
        self._closed = threading.Event()
        self._accepted = threading.Condition()
        self._accepted_state = ""
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the reporting thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread; wait at most 2 s for it to end."""
        self._closed.set()
        self._wake.set()
        self._thread.join(REPORT_TIMEOUT_S)

    def trigger_report(self) -> None:
        """Trigger the next report without waiting for the interval."""
        self._wake.set()

    def wait_for_state(self, state: str, timeout_s: float) -> bool:
        """Wait until the node has accepted a report of a given state.

        Args:
            state: State in the report.
            timeout_s: Timeout, in seconds.

        Returns:
            Whether the node accepted such a report in time.
        """
        with self._accepted:
            return self._accepted.wait_for(
                lambda: self._accepted_state == state, timeout_s
            )

    def _run(self) -> None:
        import urllib3  # pylint: disable=import-outside-toplevel

        pool = urllib3.HTTPConnectionPool(
            self._host,
            self._port,
            timeout=REPORT_TIMEOUT_S,
            retries=False,
            maxsize=1,
        )
        while not self._closed.is_set():
            self._wake.clear()
            report = self._apply_faults(time.monotonic())
            if report is not None:
                self._send(pool, report)
            self._wake.wait(REPORT_INTERVAL_S)
        pool.close()

    def _apply_faults(self, now: float) -> TargetReport | None:
        faults = self._get_faults()
        if faults.is_report_stopped:
            return None
        report = self._make_report()
        if faults.is_report_frozen and self._sent:
            return self._sent[-1][1]
        self._sent.append((now, report))
        due = [r for at, r in self._sent if at <= now - faults.report_lag_s]
        report = due[-1] if due else self._sent[0][1]
        slots = max(1, round(report.slots * faults.slots_factor))
        return dataclasses.replace(report, slots=slots)

    def _send(self, pool, report: TargetReport) -> None:
        from urllib3 import exceptions  # pylint: disable=C0415

        body = json.dumps(dataclasses.asdict(report)).encode()
        try:
            response = pool.request("PUT", "/kumquatwalk/target", body=body)
        except exceptions.HTTPError:
            return
        if response.status >= 300:
            return
        with self._accepted:
            self._accepted_state = report.state
            self._accepted.notify_all()
