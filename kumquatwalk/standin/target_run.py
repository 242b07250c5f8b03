"""Log of the runs of a stand-in target."""

import dataclasses
import itertools
import json
import threading

__all__ = ["TargetRun", "TargetRunLog"]

MAX_RUNS = 200_000
RUNNING = "running"


@dataclasses.dataclass(slots=True)
class TargetRun:
    """One run at a target.

    Attributes:
        run: Number of the run within the target.
        service: Service of the target.
        port: Port of the target, which tells it from others.
        entry: Entry that was run.
        request_id: Value of ``Kumquat-Request-Id``.
        context: Value of ``Kumquat-Context``.
        tag: First line of the body, which callers make unique.
        key: Value of ``Idempotency-Key`` or ``Kumquat-Ticket``.
        started_at: Monotonic time of the start, in seconds.
        ended_at: Monotonic time of the end; None while it runs.
        outcome: ``running``, ``done``, ``failed``, ``child_failed`` or
            ``timeout``.
        is_draining: Whether the run began after the target said it drains.
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
    """Thread-safe log of runs, kept in memory and appended to a file if asked.

    Args:
        record_path: File to append to; empty for none.
    """

    def __init__(self, record_path: str = ""):
        self._runs: list[TargetRun] = []
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._file = None
        if record_path:
            self._file = open(record_path, "a", encoding="utf-8")

    def start_run(self, run: TargetRun) -> None:
        """Record a start; the log numbers the run."""
        with self._lock:
            run.run = next(self._numbers)
            if len(self._runs) < MAX_RUNS:
                self._runs.append(run)
            self._append(run)

    def end_run(self, run: TargetRun, outcome: str, now: float) -> None:
        """Record the end of a run.

        Args:
            run: Run that was started.
            outcome: How it ended.
            now: Present time, in seconds.
        """
        with self._lock:
            run.ended_at = now
            run.outcome = outcome
            self._append(run)

    def encode(self) -> bytes:
        """Return all runs as a JSON array."""
        with self._lock:
            rows = [dataclasses.asdict(run) for run in self._runs]
        return json.dumps(rows).encode()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _append(self, run: TargetRun) -> None:
        if self._file is None:
            return
        self._file.write(json.dumps(dataclasses.asdict(run)) + "\n")
        self._file.flush()
