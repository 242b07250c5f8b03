"""Requests without a true answer, by side, stage and cause."""

import collections
import pathlib
import re
from collections.abc import Sequence

from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.soak.platform_records import find_excuse
from kumquatwalk.soak.platform_records import find_planned_loss
from kumquatwalk.soak.platform_records import is_answered
from kumquatwalk.soak.platform_records import is_read
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.platform_node import GRACE_S
from kumquatwalk.standin.scripted_target import Run

__all__ = ["count_losses"]

# Time after the end of a run in which its caller's end is seen, in seconds.
SEEN_S = 0.1
_UNANSWERED = re.compile(r"event=request_unanswered .*stage=(\S+) end=(\S+)")
_UNKNOWN = re.compile(r"event=request_outcome_unknown .*code=(\S+)")


def count_losses(
    record: PlatformRecord, folder: pathlib.Path
) -> dict[str, int]:
    """Count what was accepted and got no true answer.

    The keys are ``SIDE STAGE CAUSE``. Side ``caller`` has the requests of
    callers, ``call`` the calls of targets, ``target`` the runs that were broken
    off before their callers had left, and ``log`` what daemons logged. Key
    ``machine long_waits`` has the waits of processes for a processor.

    Args:
        record: Record after all callers and runs have ended.
        folder: Folder of the daemons' logs.
    """
    counts = collections.Counter()
    attempts = {a.attempt_id: a for a in record.attempts}
    for attempt in record.attempts:
        runs = record.runs.get(attempt.attempt_id, ())
        stage = "" if is_answered(attempt) else _find_stage(attempt, runs)
        if stage:
            side = "call" if attempt.habit == "call" else "caller"
            counts[f"{side} {stage} {_find_cause(attempt, runs, record)}"] += 1
    for attempt_id, runs in record.runs.items():
        attempt = attempts.get(attempt_id)
        for _, run in runs:
            if attempt is not None and _is_broken_off(run, attempt):
                end = "answered" if is_answered(attempt) else "not_answered"
                cause = _find_cause(attempt, runs, record)
                counts[f"target {end} {cause}"] += 1
    counts["machine long_waits"] = len(record.waits)
    for path in folder.glob("*.log"):
        text = path.read_text(encoding="utf-8", errors="replace")
        for stage, end in _UNANSWERED.findall(text):
            counts[f"log {stage} {end}"] += 1
        for code in _UNKNOWN.findall(text):
            counts[f"log outcome_unknown {code}"] += 1
    return {name: count for name, count in sorted(counts.items()) if count}


def _find_stage(attempt: Attempt, runs: Sequence[tuple[str, Run]]) -> str:
    """Return how far a request had come; "" for one that was not accepted."""
    if attempt.status:
        is_own = bool(runs) or attempt.status in (502, 504)
        return f"own_{attempt.status}" if is_own else ""
    if attempt.received:
        return "answering"
    if runs:
        return "running" if runs[-1][1].is_aborted else "run"
    return "read" if is_read(attempt) else ""


def _find_cause(
    attempt: Attempt, runs: Sequence[tuple[str, Run]], record: PlatformRecord
) -> str:
    cause = find_excuse(attempt, runs, record)
    if cause:
        return cause
    if find_planned_loss(attempt, runs, record.works):
        return "LOST"
    if _is_stopping(record.works, {attempt.pid}, attempt.ended_at):
        return "stop"
    nodes = {node for node, _ in runs}
    pids = {work.pid for work in record.works if work.node in nodes}
    if _is_stopping(record.works, pids, attempt.ended_at):
        return "stop_elsewhere"
    return "none"


def _is_stopping(
    works: Sequence[PlannedWork], pids: set[int], now: float
) -> bool:
    return any(
        work.is_stop and work.pid in pids and 0.0 <= now - work.at <= GRACE_S
        for work in works
    )


def _is_broken_off(run: Run, attempt: Attempt) -> bool:
    """Return whether a run was broken off though its caller had not left."""
    if not run.is_aborted or run.is_broken_off:
        return False
    has_left = attempt.error in ("left", "limit")
    return not has_left or attempt.ended_at > run.ended_at + SEEN_S
