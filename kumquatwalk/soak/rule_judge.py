"""Second judge of lost requests and of departed targets.

It is written from the published rules LOST and DRAIN alone and shares nothing
with ``platform_records``. An impairment of the store excuses nothing here: the
callers of a soak send safe and unsafe requests without a key only.
"""

import math
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from kumquatwalk.history import Violation
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.platform_node import GRACE_S
from kumquatwalk.standin.scripted_target import Run

__all__ = [
    "is_in_touch",
    "judge_closes",
    "judge_departures",
    "judge_manifests",
    "judge_readiness",
    "judge_record",
    "judge_signals",
    "list_disturbances",
]

# Bounds of the rules, in seconds.
STABLE_S = 3.0
DRAIN_S = 2.0
LOSS_SLACK_S = 0.2
CONFIG_APPLY_S = 2.0
# Time after a SIGTERM up to which a request may still be running when the
# grace period ends, and time after planned work that still counts as beside.
_SENT_EARLY_S = 3.0
_AFTER_S = 1.0
_CLOSES_MAX = 3
# Time after a SIGTERM by which a node must not count as ready, in seconds, and
# number of questions in a row without a 200 that take it out.
_READY_S = 4.0
_MISSES_MAX = 2
_LATE_NODES_MIN = 2
_LATE_SHARE = 0.25
_CUT_FACTOR = 3
_TIME_USED = 0.7
# Errors of attempts that the caller ended itself.
_OWN_ENDS = frozenset({"limit", "left"})

Spans = Collection[tuple[str, float, float]]
Runs = Sequence[tuple[str, Run]]


def judge_record(record: PlatformRecord) -> list[Violation]:
    """Return the broken rules of a record.

    Args:
        record: Record of a soak.
    """
    return [
        *judge_closes(record),
        *judge_signals(record),
        *judge_manifests(record),
        *judge_departures(record),
        *judge_readiness(record),
    ]


def list_disturbances(record: PlatformRecord) -> list[tuple[str, float, float]]:
    """Return node, begin and end of all that puts a node out of touch.

    The start of a process is not in the record; its first request stands for
    it. A stop lasts until the start of the next process.

    Args:
        record: Record of a soak.
    """
    starts: dict[tuple[str, int], float] = {}
    for attempt in record.attempts:
        key = (attempt.node, attempt.pid)
        starts[key] = min(starts.get(key, math.inf), attempt.began_at)
    spans = [(i.node, i.began_at, i.ended_at) for i in record.impairments]
    spans += [(node, at, at) for (node, _), at in starts.items()]
    for work in record.works:
        if work.is_stop:
            later = (
                at
                for (node, pid), at in starts.items()
                if node == work.node and pid != work.pid and at >= work.at
            )
            spans.append((work.node, work.at, min(later, default=math.inf)))
    return spans


def is_in_touch(spans: Spans, node: str, now: float) -> bool:
    """Return whether a node is in touch.

    Args:
        spans: Result of ``list_disturbances``.
        node: Name of the node.
        now: Time, in seconds.
    """
    return not _is_disturbed(spans, {node}, now, now)


def judge_closes(record: PlatformRecord) -> list[Violation]:
    """Judge closed connections with requests that were passed on.

    Args:
        record: Record of a soak.
    """
    spans = list_disturbances(record)
    closes = []
    for attempt in record.attempts:
        times = [
            run.at
            for _, run in record.runs.get(attempt.attempt_id, ())
            if not run.is_broken_off
        ]
        if times and _is_cut(attempt):
            moments = (max(times), attempt.ended_at)
            if all(is_in_touch(spans, attempt.node, t) for t in moments):
                closes.append(attempt)
    if len(closes) <= _CLOSES_MAX:
        return []
    return [_make_violation(attempt, "in touch") for attempt in closes]


def judge_signals(record: PlatformRecord) -> list[Violation]:
    """Judge requests that were lost beside a SIGTERM or SIGHUP.

    Args:
        record: Record of a soak.
    """
    violations = []
    for attempt in record.attempts:
        runs = record.runs.get(attempt.attempt_id, ())
        is_replaced = _is_replaced(attempt, runs)
        if not is_replaced and not _is_lost(attempt, runs):
            continue
        if _is_excused(record, attempt, runs):
            continue
        nodes = {attempt.node}
        if is_replaced:
            nodes.add(runs[-1][0])
        is_long = _outlasts_own_stop(record.works, attempt, runs)
        for work in record.works:
            if work.node not in nodes or work.at > attempt.ended_at:
                continue
            is_counted = not is_long and _is_beside_stop(work, attempt, runs)
            if work.is_stop and is_counted:
                violations.append(_make_violation(attempt, "beside SIGTERM"))
                break
            is_sent = attempt.began_at <= work.at + CONFIG_APPLY_S
            if not work.is_stop and not is_replaced and is_sent:
                violations.append(_make_violation(attempt, "beside SIGHUP"))
                break
    return violations


def judge_manifests(record: PlatformRecord) -> list[Violation]:
    """Judge requests that a node cut far more often beside a manifest.

    Args:
        record: Record of a soak.
    """
    violations = []
    for node in sorted({attempt.node for attempt in record.attempts}):
        beside, others, lost = [], [], set()
        for attempt in record.attempts:
            if attempt.node != node:
                continue
            is_beside = any(
                0.0 <= attempt.ended_at - at <= CONFIG_APPLY_S + _AFTER_S
                for at in record.manifests
            )
            (beside if is_beside else others).append(attempt)
            runs = record.runs.get(attempt.attempt_id, ())
            if _is_lost(attempt, runs) and not _is_excused(
                record, attempt, runs
            ):
                lost.add(attempt.attempt_id)
        cut = [
            attempt
            for attempt in beside
            if attempt.attempt_id in lost and not _has_used(attempt, _TIME_USED)
        ]
        usual = sum(attempt.attempt_id in lost for attempt in others)
        rate = usual / len(others) if others else 0.0
        if len(cut) > _CUT_FACTOR * rate * len(beside):
            violations += [_make_violation(a, "beside manifest") for a in cut]
    return violations


def judge_departures(record: PlatformRecord) -> list[Violation]:
    """Judge runs at targets whose departure was acknowledged.

    Args:
        record: Record of a soak.
    """
    spans = list_disturbances(record)
    attempts = {a.attempt_id: a for a in record.attempts}
    acked = {d.target_id: d.acked_at for d in record.departures}
    violations = []
    for attempt_id, runs in record.runs.items():
        attempt = attempts.get(attempt_id)
        for name, run in runs:
            after_s = run.at - acked.get(run.target_id, math.inf)
            if attempt is None or after_s <= DRAIN_S:
                continue
            moments = (
                (attempt.node, attempt.began_at),
                (attempt.node, run.at),
                (name, run.at),
            )
            if all(is_in_touch(spans, *moment) for moment in moments):
                detail = f"at {run.target_id} {after_s:.2f} s after its leave"
                violations.append(Violation("DRAIN", attempt_id, detail))
    return violations


def judge_readiness(record: PlatformRecord) -> list[Violation]:
    """Judge nodes that still count as ready some time after a SIGTERM.

    Args:
        record: Record of a soak.
    """
    ends = {(end.node, end.pid): end.seen_at for end in record.ends}
    spans = [(i.node, i.began_at, i.ended_at) for i in record.impairments]
    ready = late = 0
    violations = []
    for work in record.works:
        due_at = work.at + _READY_S
        if not work.is_stop or _is_disturbed(
            spans, {work.node}, work.at, due_at
        ):
            continue
        if not _counts_as_ready(record, work, work.at):
            continue
        ready += 1
        has_ended = ends.get((work.node, work.pid), math.inf) <= due_at
        if not has_ended and _counts_as_ready(record, work, due_at):
            late += 1
            detail = f"process {work.pid} ready {_READY_S} s after SIGTERM"
            violations.append(Violation("DRAIN", work.node, detail))
    nodes = {violation.name for violation in violations}
    is_broken = len(nodes) >= _LATE_NODES_MIN and late > _LATE_SHARE * ready
    return violations if is_broken else []


def _counts_as_ready(
    record: PlatformRecord, work: PlannedWork, now: float
) -> bool:
    """Return whether a stopped process counts as ready at a time."""
    statuses = [
        answer.status
        for answer in record.readiness
        if (answer.node, answer.pid) == (work.node, work.pid)
        and answer.at <= now
    ]
    return 200 in statuses[-_MISSES_MAX:]


def _is_disturbed(
    spans: Spans, nodes: Iterable[str], begin: float, end: float
) -> bool:
    """Return whether a node was disturbed from ``STABLE_S`` before a time."""
    return any(
        node in nodes and began_at <= end and ended_at >= begin - STABLE_S
        for node, began_at, ended_at in spans
    )


def _is_cut(attempt: Attempt) -> bool:
    return not attempt.status and attempt.error not in _OWN_ENDS


def _is_lost(attempt: Attempt, runs: Runs) -> bool:
    """Return whether a request was read and cut."""
    if not _is_cut(attempt) or runs:
        return _is_cut(attempt)
    return (
        not attempt.is_behind
        and attempt.sent_at is not None
        and attempt.ended_at > attempt.sent_at + LOSS_SLACK_S
    )


def _is_replaced(attempt: Attempt, runs: Runs) -> bool:
    """Return whether the node answered while the target was at work."""
    if not attempt.status or attempt.has_seal or not runs:
        return False
    _, run = runs[-1]
    is_at_work = run.ended_at is None or run.ended_at > attempt.ended_at
    return run.at <= attempt.ended_at and (run.is_aborted or is_at_work)


def _is_excused(record: PlatformRecord, attempt: Attempt, runs: Runs) -> bool:
    """Return whether an impairment, a target or the time ended a request."""
    if runs and runs[-1][1].is_broken_off or _has_used(attempt, 1.0):
        return True
    spans = [(i.node, i.began_at, i.ended_at) for i in record.impairments]
    nodes = {attempt.node, *(name for name, _ in runs)}
    return _is_disturbed(spans, nodes, attempt.began_at, attempt.ended_at)


def _has_used(attempt: Attempt, share: float) -> bool:
    return attempt.ended_at - attempt.began_at >= share * attempt.limit_s


def _outlasts_own_stop(
    works: Iterable[PlannedWork], attempt: Attempt, runs: Runs
) -> bool:
    """Return whether a request outlasts the stop of the process that took it.

    Its end is that stop's then, whatever other stops are beside it.
    """
    return any(
        work.is_stop
        and work.pid == attempt.pid
        and work.at <= attempt.ended_at
        and _is_long(work, attempt, runs)
        for work in works
    )


def _is_beside_stop(work: PlannedWork, attempt: Attempt, runs: Runs) -> bool:
    if attempt.began_at > work.at + GRACE_S + _AFTER_S:
        return False
    return not _is_long(work, attempt, runs)


def _is_long(work: PlannedWork, attempt: Attempt, runs: Runs) -> bool:
    """Return whether an early request still ran at the end of a stop."""
    if not runs or attempt.sent_at is None:
        return False
    _, run = runs[-1]
    is_early = attempt.sent_at <= work.at + _SENT_EARLY_S
    ended_at = math.inf if run.ended_at is None else run.ended_at
    is_late = ended_at >= work.at + GRACE_S * 5 / 6
    return is_early and is_late and run.at <= work.at + GRACE_S


def _make_violation(attempt: Attempt, where: str) -> Violation:
    end = attempt.status or attempt.error
    return Violation(
        "LOST", attempt.attempt_id, f"at {attempt.node} {where}: {end}"
    )
