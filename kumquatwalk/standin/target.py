"""Simulated target with random service times and nested calls."""

import itertools
import os
import threading
import time

from kumquatwalk.standin.target_answer import TargetAnswer
from kumquatwalk.standin.target_answer import digest_body
from kumquatwalk.standin.target_answer import encode_answer
from kumquatwalk.standin.target_answer import make_padding
from kumquatwalk.standin.target_call import TargetCall
from kumquatwalk.standin.target_call import TargetReply
from kumquatwalk.standin.target_faults import TargetFaults
from kumquatwalk.standin.target_handler import TargetServer
from kumquatwalk.standin.target_reporter import TargetReport
from kumquatwalk.standin.target_reporter import TargetReporter
from kumquatwalk.standin.target_run import TargetRun
from kumquatwalk.standin.target_run import TargetRunLog
from kumquatwalk.standin.target_settings import TargetSettings
from kumquatwalk.standin.target_slots import TargetSlots
from kumquatwalk.standin.target_work import ChildCall
from kumquatwalk.standin.target_work import NodeCaller
from kumquatwalk.standin.target_work import ServiceTime

__all__ = ["StandinTarget"]

COLD_START_FACTOR = 4.0
CRASH_EXIT_STATUS = 70
DRAIN_REPORT_TIMEOUT_S = 3.0
DRAIN_TIMEOUT_S = 30.0
SIGNAL_CHECK_INTERVAL_S = 0.5
DRAIN_IDLE_S = 0.5
LATENCY_SMOOTHING = 0.1
MAX_REQUESTS = 1_000_000
_STATUS = {"done": 200, "failed": 500, "child_failed": 502, "timeout": 504}


class StandinTarget:
    """Simulated target with an HTTP server and a load reporter.

    Args:
        settings: Settings of the target.

    Example:
        >>> target = StandinTarget(settings)  # doctest: +SKIP
        >>> target.start()  # doctest: +SKIP
        >>> target.port  # doctest: +SKIP
        40211
    """

    def __init__(self, settings: TargetSettings):
        self._settings = settings
        self._started_at_ms = int(time.time() * 1000)
        self._faults = TargetFaults()
        self._connections = itertools.count(1)
        self._last_silent_connection = 0
        self._latency_s = settings.service_ms / 1000
        self._started_at = time.monotonic()
        self._draining = threading.Event()
        self._closed = threading.Event()
        self._slots = TargetSlots(
            settings.slots, settings.queue, settings.queue_ms / 1000
        )
        self._open_requests = TargetSlots(MAX_REQUESTS, 0, 0.0)
        self._service_time = ServiceTime(
            settings.service_ms / 1000, settings.seed
        )
        self._log = TargetRunLog(settings.record_path)
        self._server = TargetServer((settings.host, settings.port), self)
        self._node_caller = NodeCaller(
            settings.node_host,
            settings.node_port,
            settings.slots,
            settings.is_parallel,
        )
        self._reporter = TargetReporter(
            settings.node_host,
            settings.node_port,
            self._make_report,
            lambda: self._faults,
        )

    @property
    def is_drained(self) -> bool:
        """Whether no request is in progress, or was when the target closed."""
        return not self._open_requests.running

    @property
    def port(self) -> int:
        """Listening port."""
        return self._server.server_address[1]

    def start(self) -> None:
        """Start the server and, if there is a node, the load reports."""
        self._start_thread(self._server.serve_forever)
        if self._settings.node_host:
            self._reporter.start()

    def drain(self) -> None:
        """Report the state ``draining`` and close the target once it is idle.

        Returns at once. The target closes after 30 s at the latest.
        """
        if self._draining.is_set():
            return
        self._draining.set()
        self._reporter.trigger_report()
        self._start_thread(self._close_when_idle)

    def wait_closed(self) -> None:
        """Wait until the target has closed."""
        # The signal of a process that is stopped may go to any thread, and only
        # the main thread runs its handler, once it wakes.
        while not self._closed.wait(SIGNAL_CHECK_INTERVAL_S):
            pass

    def close(self) -> None:
        """Stop the server and the reports without waiting for runs."""
        self._closed.set()
        if self._settings.node_host:
            self._reporter.close()
        self._server.shutdown()
        self._server.server_close()
        self._node_caller.close()
        self._log.close()

    def set_faults(self, faults: TargetFaults) -> None:
        """Replace the injected faults.

        The fault ``silent`` affects only connections that are open now.
        """
        self._faults = faults
        if faults.silent:
            self._last_silent_connection = next(self._connections)

    def encode_runs(self) -> bytes:
        """Return the log of runs as a JSON array."""
        return self._log.encode()

    def begin_request(self) -> None:
        """Record the start of a request, for draining."""
        self._open_requests.acquire()

    def end_request(self) -> None:
        """Record the end of a request, for draining."""
        self._open_requests.release()

    def count_connection(self) -> int:
        """Return the sequence number of a new connection."""
        return next(self._connections)

    def is_silent(self, connection: int, kind: str) -> bool:
        """Return whether a connection must not answer any more.

        Args:
            connection: Sequence number of the connection.
            kind: Value of the fault ``silent``: ``requests`` or ``answers``.
        """
        if connection > self._last_silent_connection:
            return False
        return self._faults.silent == kind

    def run_call(self, call: TargetCall) -> TargetReply:
        """Run a call, or shed it with status 503 if no slot is available."""
        if not self._slots.acquire():
            return TargetReply(503, b'{"code": "shed"}', is_shed=True)
        try:
            return self._run(call)
        finally:
            self._slots.release()

    def _run(self, call: TargetCall) -> TargetReply:
        started_at = time.monotonic()
        run = self._start_run(call, started_at)
        self._crash_if_marked(call)
        deadline = None
        if call.timeout_s is not None:
            deadline = started_at + call.timeout_s
        outcome, calls = self._work(call, deadline)
        ended_at = time.monotonic()
        self._log.end_run(run, outcome, ended_at)
        elapsed_s = ended_at - started_at
        self._latency_s += LATENCY_SMOOTHING * (elapsed_s - self._latency_s)
        echo = digest_body(call.body)
        answer = TargetAnswer(
            service=self._settings.service,
            entry=run.entry,
            port=run.port,
            run=run.run,
            echo=echo,
            outcome=outcome,
            calls=calls,
            padding=make_padding(echo, call.size),
        )
        return TargetReply(_STATUS[outcome], encode_answer(answer))

    def _start_run(self, call: TargetCall, now: float) -> TargetRun:
        run = TargetRun(
            run=0,
            service=self._settings.service,
            port=self.port,
            entry=call.entry,
            request_id=call.request_id,
            context=call.context,
            tag=call.tag.decode(errors="replace"),
            key=call.key,
            started_at=now,
            is_draining=self._draining.is_set(),
        )
        self._log.start_run(run)
        return run

    def _crash_if_marked(self, call: TargetCall) -> None:
        marker = self._faults.crash_marker.encode()
        if marker and marker in call.body:
            os._exit(CRASH_EXIT_STATUS)

    def _work(
        self, call: TargetCall, deadline: float | None
    ) -> tuple[str, tuple[ChildCall, ...]]:
        if not self._simulate_service(deadline):
            return "timeout", ()
        marker = self._faults.fail_marker.encode()
        if marker and marker in call.body:
            return "failed", ()
        entries = self._settings.calls.get(call.entry, ())
        calls = self._node_caller.call_all(
            entries, call.context, call.tag, deadline
        )
        if any(call_result.outcome != "done" for call_result in calls):
            return "child_failed", calls
        return "done", calls

    def _simulate_service(self, deadline: float | None) -> bool:
        duration_s = self._service_time.draw() * self._faults.service_factor
        if self._get_state() == "warming":
            duration_s *= COLD_START_FACTOR
        if deadline is not None:
            remaining_s = max(0.0, deadline - time.monotonic())
            if remaining_s < duration_s:
                time.sleep(remaining_s)
                return False
        time.sleep(duration_s)
        return True

    def _get_state(self) -> str:
        if self._draining.is_set():
            return "draining"
        warm_at = self._started_at + self._settings.cold_start_ms / 1000
        return "warming" if time.monotonic() < warm_at else "ready"

    def _make_report(self) -> TargetReport:
        return TargetReport(
            service=self._settings.service,
            slots=self._settings.slots,
            connections=self._settings.connections,
            port=self.port,
            state=self._get_state(),
            in_flight=self._slots.running,
            latency_ms=self._latency_s * 1000,
            started_at_ms=self._started_at_ms,
        )

    def _close_when_idle(self) -> None:
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        if self._settings.node_host:
            self._reporter.wait_for_state("draining", DRAIN_REPORT_TIMEOUT_S)
        while time.monotonic() < deadline:
            self._open_requests.wait_until_idle(deadline - time.monotonic())
            self._closed.wait(DRAIN_IDLE_S)
            if not self._open_requests.running:
                break
        self.close()

    def _start_thread(self, function) -> None:
        threading.Thread(target=function, daemon=True).start()
