"""Promises to the callers of the platform's interface, checked on a record."""

import math
from collections.abc import Sequence

from kumquatwalk.history import Violation
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.platform_node import GRACE_S
from kumquatwalk.standin.scripted_target import Run

__all__ = [
    "check_record",
    "find_excuse",
    "find_planned_loss",
    "is_answered",
    "is_read",
    "list_abandoned",
]

# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Bounds of the operators' rules, in seconds.
STABLE_S = 3.0
LOSS_SLACK_S = 0.2
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
SENT_EARLY_S = 3.0
# Resolution of the timers of an event loop, in seconds.
TIMER_RESOLUTION_S = 0.001
LAST_PART_S = GRACE_S / 6
# Requests that machines may leave without an answer at any time, in all.
UNANSWERED_MAX = 3


def check_record(record: PlatformRecord) -> list[Violation]:
    """Check rules LOST and DRAIN and what answers promise.

    Args:
        record: Record after all callers and runs have ended.
    """
    violations = []
    unanswered = []
    abandoned = list_abandoned(record.attempts)
    for attempt in record.attempts:
        runs = record.runs.get(attempt.attempt_id, ())
        for rule in _list_broken(attempt, runs):
            violations.append(_describe(rule, attempt, runs, ""))
        if is_answered(attempt) or find_excuse(attempt, runs, record):
            continue
        if attempt.attempt_id in abandoned:
            continue
        cause = find_planned_loss(attempt, runs, record.works)
        if cause:
            violations.append(_describe("lost", attempt, runs, cause))
        elif runs and not attempt.status:
            unanswered.append(attempt.node)
    if len(unanswered) > UNANSWERED_MAX:
        detail = f"{len(unanswered)} requests that ran, without planned work"
        nodes = " ".join(sorted(set(unanswered)))
        violations.append(Violation("lost_at_any_time", nodes, detail))
    return violations + _list_late_runs(record)


def _list_late_runs(record: PlatformRecord) -> list[Violation]:
    """Return the runs at targets that had left, sent by sound nodes."""
    callers = {a.attempt_id: a.node for a in record.attempts}
    acked_at = {d.target_id: d.acked_at for d in record.departures}
    violations = []
    for attempt_id, runs in record.runs.items():
        for name, run in runs:
            nodes = {name, callers.get(attempt_id, name)}
            if _is_impaired(nodes, run.at, run.at, record.impairments):
                continue
            late_s = run.at - acked_at.get(run.target_id, math.inf)
            if late_s > DRAIN_S:
                detail = f"{late_s:.2f} s after the acknowledgement at {name}"
                violations.append(Violation("late_run", attempt_id, detail))
    return violations


def _is_impaired(
    nodes: set[str],
    began_at: float,
    ended_at: float,
    impairments: Sequence[Impairment],
) -> bool:
    """Return whether a node was impaired in a time or shortly before it."""
    return any(
        impairment.node in nodes
        and impairment.began_at <= ended_at
        and impairment.ended_at >= began_at - STABLE_S
        for impairment in impairments
    )


def _get_connection(attempt: Attempt) -> tuple[str, int]:
    """Return the caller and the number of its connection."""
    return attempt.attempt_id.rpartition("-")[0], attempt.connection


def list_abandoned(attempts: Sequence[Attempt]) -> set[str]:
    """Return the requests on connections that their callers closed at a limit.

    What stands behind the request whose limit it was ends with its connection.
    That request itself may have had the rest of its answer in its caller's
    buffer.

    Args:
        attempts: Requests of the callers, ended.
    """
    closed = {
        _get_connection(attempt)
        for attempt in attempts
        if attempt.ended_at - attempt.began_at >= attempt.limit_s
    }
    return {
        attempt.attempt_id
        for attempt in attempts
        if attempt.error == "limit" and _get_connection(attempt) in closed
    }


def is_answered(attempt: Attempt) -> bool:
    """Return whether the answer is the target's and complete.

    Args:
        attempt: Request that has ended.
    """
    return bool(attempt.status) and attempt.has_seal and attempt.has_body


def _list_broken(attempt: Attempt, runs: Sequence) -> list[str]:
    """Return the promises that are broken whatever has happened meanwhile."""
    is_whole = attempt.has_seal and attempt.has_body
    is_success = 200 <= attempt.status < 300
    statuses = {run.status for _, run in runs}
    is_changed = bool(runs) and attempt.status not in statuses
    broken = {
        "run_though_refused": attempt.status in NOT_RUN_STATUSES and runs,
        "run_twice": not attempt.is_safe and len(runs) > 1,
        "not_the_target's": (is_success or attempt.has_seal)
        and (not is_whole or is_changed),
        "not_run_but_answered": is_success and not runs,
        "not_the_last_answer": attempt.is_followed,
    }
    return [rule for rule, is_broken in broken.items() if is_broken]


def find_excuse(
    attempt: Attempt, runs: Sequence[tuple[str, Run]], record: PlatformRecord
) -> str:
    """Return what other than the nodes explains a loss; "" for nothing.

    Args:
        attempt: Request without an answer of its target.
        runs: Its runs.
        record: What was seen.
    """
    if attempt.error == "left":
        return "left"
    elapsed_s = attempt.ended_at - attempt.began_at
    if elapsed_s >= attempt.limit_s - TIMER_RESOLUTION_S:
        return "limit"
    if runs and runs[-1][1].is_broken_off:
        return "target"
    nodes = {attempt.node, *(node for node, _ in runs)}
    times = attempt.began_at, attempt.ended_at
    return "impaired" if _is_impaired(nodes, *times, record.impairments) else ""


def find_planned_loss(
    attempt: Attempt,
    runs: Sequence[tuple[str, Run]],
    works: Sequence[PlannedWork],
) -> str:
    """Return the planned work around which a request was lost; "" for none.

    Args:
        attempt: Request without an answer of its target.
        runs: Its runs.
        works: Planned work.
    """
    if not runs and not is_read(attempt):
        return ""
    is_excused = any(
        work.is_stop
        and work.pid == attempt.pid
        and work.at <= attempt.ended_at
        and _outlasts(work, attempt, runs)
        for work in works
    )
    for work in sorted(works, key=lambda work: not work.is_stop):
        after_s = attempt.ended_at - work.at
        if work.node != attempt.node or after_s < 0.0:
            continue
        sent_after_s = (attempt.sent_at or attempt.began_at) - work.at
        if work.is_stop:
            # An answer of the node's own in place of the target's counts too.
            is_lost = after_s <= GRACE_S + 1.0 and not (
                is_excused or _outlasts(work, attempt, runs)
            )
        else:
            is_lost = not attempt.status and sent_after_s <= CONFIG_APPLY_S
        if is_lost:
            name = "SIGTERM" if work.is_stop else "SIGHUP"
            return f"sent {sent_after_s:.2f} s, ended {after_s:.2f} s" + (
                f" after {name}"
            )
    return ""


def is_read(attempt: Attempt) -> bool:
    """Return whether a request that never ran was read, but not answered.

    Args:
        attempt: Request that has ended.
    """
    return (
        not attempt.status
        and not attempt.is_behind
        and not attempt.is_after_close
        and attempt.sent_at is not None
        and attempt.ended_at - attempt.sent_at > LOSS_SLACK_S
    )


def _outlasts(
    work: PlannedWork, attempt: Attempt, runs: Sequence[tuple[str, Run]]
) -> bool:
    """Return whether an early request still ran at the end of a stop."""
    sent_after_s = (attempt.sent_at or attempt.began_at) - work.at
    return sent_after_s <= SENT_EARLY_S and _is_late(runs, work.at)


def _is_late(runs: Sequence[tuple[str, Run]], stopped_at: float) -> bool:
    """Return whether a target was at work in the last sixth of the stop."""
    from_at = stopped_at + GRACE_S - LAST_PART_S
    return any(
        run.at <= stopped_at + GRACE_S
        and (run.ended_at is None or run.ended_at >= from_at)
        for _, run in runs
    )


def _describe(
    rule: str, attempt: Attempt, runs: Sequence, cause: str
) -> Violation:
    detail = (
        f"{attempt.habit} at {attempt.node} ({attempt.pid}), number"
        f" {attempt.position} on its connection, behind={attempt.is_behind}"
        f" after_close={attempt.is_after_close} status={attempt.status}"
        f" received={attempt.received} {attempt.error}, {len(runs)} runs; "
    )
    return Violation(rule, attempt.attempt_id, detail + cause)
