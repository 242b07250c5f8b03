"""Log of the runs at a simulated target."""

import dataclasses
import itertools
import json
import threading

__all__ = ["TargetRun", "TargetRunLog"]

MAX_RUNS = 200_000
RUNNING = "running"


@dataclasses.dataclass(slots=True)
class TargetRun:
    """Record of one run at a target.

    Attributes:
        run: Sequence number of the run at the target.
        service: Service of the target.
        port: Port of the target, which identifies its process.
        entry: Entry that was run.
        request_id: Value of ``Kumquat-Request-Id``.
        context: Value of ``Kumquat-Context``.
        tag: First line of the request body, which identifies the call.
        key: Value of ``Idempotency-Key`` or ``Kumquat-Ticket``.
        started_at: Monotonic start time, in seconds.
        ended_at: Monotonic end time, in seconds; None during the run.
        outcome: ``running``, ``done``, ``failed``, ``child_failed`` or
            ``timeout``.
        is_draining: Whether the run started while the target was draining.
    """

    run: int
    service: str
    port: int
    entry: str
    request_id: str
    context: str
    tag: str
    key: str
    started_at: float
    ended_at: float | None = None
    outcome: str = RUNNING
    is_draining: bool = False


class TargetRunLog:
    """Thread-safe log of runs in memory and, optionally, in a file.

    Memory holds the first 200,000 runs; the file holds all.

    Args:
        record_path: File to which each start and end of a run is appended as
            a JSON line; empty for none.
    """

    def __init__(self, record_path: str = ""):
        self._runs: list[TargetRun] = []
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._file = None
        if record_path:
            self._file = open(record_path, "a", encoding="utf-8")

    def start_run(self, run: TargetRun) -> None:
        """Record the start of a run and assign its sequence number."""
        with self._lock:
            run.run = next(self._numbers)
            if len(self._runs) < MAX_RUNS:
                self._runs.append(run)
            self._append(run)

    def end_run(self, run: TargetRun, outcome: str, now: float) -> None:
        """Record the end of a run.

        Args:
            run: Run passed to ``start_run``.
            outcome: Outcome of the run.
            now: Monotonic end time, in seconds.
        """
        with self._lock:
            run.ended_at = now
            run.outcome = outcome
            self._append(run)

    def encode(self) -> bytes:
        """Encode the runs in memory as a JSON array."""
        with self._lock:
            rows = [dataclasses.asdict(run) for run in self._runs]
        return json.dumps(rows).encode()

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._file is not None:
            self._file.close()

    def _append(self, run: TargetRun) -> None:
        if self._file is None:
            return
        self._file.write(json.dumps(dataclasses.asdict(run)) + "\n")
        self._file.flush()
