"""Figures of one fleet under surge."""

import collections
import dataclasses

from benchmarks.surge_load import RequestRecord
from benchmarks.surge_shape import SurgeShape
from kumquatwalk.catalogue import Importance

__all__ = ["SurgeTimes", "describe_surge"]

STEP_S = 0.25
SPAN_S = 1.0
TOLERANCE = 0.1
NOT_RECOVERED_S = 99.0
WARM_UP_TAG = "warm-up"


@dataclasses.dataclass(frozen=True, slots=True)
class SurgeTimes:
    """Monotonic times of the surge.

    Attributes:
        measured_from: Time from which the load before counts.
        started_at: Start of the surge.
        ended_at: End of the surge.
        load_ended_at: End of the load.
    """

    measured_from: float
    started_at: float
    ended_at: float
    load_ended_at: float


def describe_surge(
    shape: SurgeShape,
    records: list[RequestRecord],
    runs: list[dict],
    times: SurgeTimes,
) -> dict[str, float]:
    """Return the figures of one fleet.

    Args:
        shape: The fleet.
        records: What callers saw.
        runs: What targets ran.
        times: When the surge was.
    """
    runs = [run for run in runs if run["tag"] != WARM_UP_TAG]
    surge = [
        r for r in records if times.started_at <= r.started_at < times.ended_at
    ]
    important = [r for r in surge if r.kind.importance <= Importance.HIGH]
    browse = [r for r in surge if r.kind.importance is Importance.SHEDDABLE]
    duration_s = times.ended_at - times.started_at
    done = [
        r
        for r in records
        if r.is_done and times.started_at <= r.ended_at < times.ended_at
    ]
    capacity = _measure_capacity(shape, runs, times)
    return {
        "capacity_per_s": round(capacity, 1),
        "goodput_ratio": round(len(done) / duration_s / capacity, 3),
        "recovery_s": _measure_recovery(records, times),
        "important_ratio": _share_done(important),
        "critical_ratio": _share_done(
            [r for r in surge if r.kind.importance is Importance.CRITICAL]
        ),
        "browse_ratio": _share_done(browse),
        "before_ratio": _share_done(
            [
                r
                for r in records
                if times.measured_from <= r.started_at < times.started_at
            ]
        ),
        "attempts_per_request_max": _count_most_runs(runs),
        "wasted_work_ratio": _measure_waste(records, runs),
        "double_runs": _count_double_runs(shape, runs),
        "false_not_run": _count_false_refusals(records, runs),
    }


def _share_done(records: list[RequestRecord]) -> float:
    done = sum(record.is_done for record in records)
    return round(done / max(1, len(records)), 4)


def _measure_capacity(
    shape: SurgeShape, runs: list[dict], times: SurgeTimes
) -> float:
    lengths = [
        run["ended_at"] - run["started_at"]
        for run in runs
        if run["service"] == shape.narrow.name
        and run["outcome"] == "done"
        and times.measured_from <= run["started_at"] < times.started_at
    ]
    slots = shape.narrow.targets * shape.narrow.slots
    return slots * len(lengths) / sum(lengths)


def _measure_recovery(records: list[RequestRecord], times: SurgeTimes) -> float:
    before = _list_windows(records, times.measured_from, times.started_at)
    share = min(window[0] for window in before)
    slowest_s = max(window[1] for window in before)
    after = _list_windows(records, times.ended_at, times.load_ended_at)
    recovered_s = NOT_RECOVERED_S
    for number, (done, p99_s) in reversed(list(enumerate(after))):
        is_good = done >= share * (1 - TOLERANCE)
        if not is_good or p99_s > slowest_s * (1 + TOLERANCE):
            break
        recovered_s = number * STEP_S
    return recovered_s


def _list_windows(
    records: list[RequestRecord], start: float, end: float
) -> list[tuple[float, float]]:
    windows = []
    while start + SPAN_S <= end:
        window = [r for r in records if start <= r.started_at < start + SPAN_S]
        times = sorted(r.ended_at - r.started_at for r in window if r.is_done)
        p99_s = times[int(len(times) * 0.99)] if times else NOT_RECOVERED_S
        windows.append((_share_done(window), p99_s))
        start += STEP_S
    return windows


def _count_most_runs(runs: list[dict]) -> int:
    counts = collections.Counter((run["tag"], run["entry"]) for run in runs)
    return max(counts.values(), default=0)


def _measure_waste(records: list[RequestRecord], runs: list[dict]) -> float:
    done = {record.tag for record in records if record.is_done}
    wasted_s = 0.0
    total_s = 0.0
    for run in runs:
        if run["ended_at"] is None:
            continue
        length_s = run["ended_at"] - run["started_at"]
        total_s += length_s
        if run["tag"] not in done:
            wasted_s += length_s
    return round(wasted_s / total_s, 4) if total_s else 0.0


def _count_double_runs(shape: SurgeShape, runs: list[dict]) -> int:
    once = {e for k in shape.kinds if k.is_once for e in k.list_entries()}
    counts = collections.Counter(
        (run["tag"], run["entry"]) for run in runs if run["entry"] in once
    )
    return sum(1 for count in counts.values() if count > 1)


def _count_false_refusals(
    records: list[RequestRecord], runs: list[dict]
) -> int:
    ran = {(run["tag"], run["entry"]) for run in runs}
    refused = [r for r in records if set(r.outcomes) == {"not_run"}]
    return sum((r.tag, r.kind.list_entries()[0]) in ran for r in refused)
