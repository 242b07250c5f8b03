"""Metrics of a fleet in the surge benchmark."""

import collections
import dataclasses

from benchmarks.surge_load import RequestRecord
from benchmarks.surge_shape import SurgeShape
from kumquatwalk.catalogue import Importance

__all__ = ["SurgeTimes", "describe_surge"]

# Distance between the starts of the sliding windows and their length, in
# seconds.
WINDOW_STEP_S = 0.25
WINDOW_S = 1.0
# Relative deviation from the worst window before the surge at which the fleet
# counts as recovered.
RECOVERY_TOLERANCE = 0.1
# Reported when the fleet did not recover before the load ended, and as the p99
# of a window without completed requests.
NOT_RECOVERED_S = 99.0
WARM_UP_TAG = "warm-up"


@dataclasses.dataclass(frozen=True, slots=True)
class SurgeTimes:
    """Monotonic times of the phases, in seconds.

    Attributes:
        measured_from: End of the warm-up, at which the reference period before
            the surge starts.
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
    """Compute the metrics of one fleet.

    Args:
        shape: Services and request kinds of the fleet.
        records: Requests of the callers.
        runs: Run records of the targets.
        times: Times of the phases.
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
        "important_ratio": _compute_share_done(important),
        "critical_ratio": _compute_share_done(
            [r for r in surge if r.kind.importance is Importance.CRITICAL]
        ),
        "browse_ratio": _compute_share_done(browse),
        "before_ratio": _compute_share_done(
            [
                r
                for r in records
                if times.measured_from <= r.started_at < times.started_at
            ]
        ),
        "attempts_per_request_max": _count_max_runs(runs),
        "wasted_work_ratio": _measure_wasted_work(records, runs),
        "double_runs": _count_double_runs(shape, runs),
        "false_not_run": _count_false_not_run(records, runs),
    }


def _compute_share_done(records: list[RequestRecord]) -> float:
    done = sum(record.is_done for record in records)
    return round(done / max(1, len(records)), 4)


def _measure_capacity(
    shape: SurgeShape, runs: list[dict], times: SurgeTimes
) -> float:
    lengths = [
        run["ended_at"] - run["started_at"]
        for run in runs
        if run["service"] == shape.bottleneck.name
        and run["outcome"] == "done"
        and times.measured_from <= run["started_at"] < times.started_at
    ]
    slots = shape.bottleneck.targets * shape.bottleneck.slots
    return slots * len(lengths) / sum(lengths)


def _measure_recovery(records: list[RequestRecord], times: SurgeTimes) -> float:
    before = _list_windows(records, times.measured_from, times.started_at)
    share = min(window[0] for window in before)
    slowest_s = max(window[1] for window in before)
    after = _list_windows(records, times.ended_at, times.load_ended_at)
    recovered_s = NOT_RECOVERED_S
    for number, (done, p99_s) in reversed(list(enumerate(after))):
        is_served = done >= share * (1 - RECOVERY_TOLERANCE)
        if not is_served or p99_s > slowest_s * (1 + RECOVERY_TOLERANCE):
            break
        recovered_s = number * WINDOW_STEP_S
    return recovered_s


def _list_windows(
    records: list[RequestRecord], start: float, end: float
) -> list[tuple[float, float]]:
    windows = []
    while start + WINDOW_S <= end:
        window = [
            r for r in records if start <= r.started_at < start + WINDOW_S
        ]
        times = sorted(r.ended_at - r.started_at for r in window if r.is_done)
        p99_s = times[int(len(times) * 0.99)] if times else NOT_RECOVERED_S
        windows.append((_compute_share_done(window), p99_s))
        start += WINDOW_STEP_S
    return windows


def _count_max_runs(runs: list[dict]) -> int:
    counts = collections.Counter((run["tag"], run["entry"]) for run in runs)
    return max(counts.values(), default=0)


def _measure_wasted_work(
    records: list[RequestRecord], runs: list[dict]
) -> float:
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
    at_most_once_entries = {
        e for k in shape.kinds if k.is_at_most_once for e in k.list_entries()
    }
    counts = collections.Counter(
        (run["tag"], run["entry"])
        for run in runs
        if run["entry"] in at_most_once_entries
    )
    return sum(1 for count in counts.values() if count > 1)


def _count_false_not_run(records: list[RequestRecord], runs: list[dict]) -> int:
    ran = {(run["tag"], run["entry"]) for run in runs}
    refused = [r for r in records if set(r.outcomes) == {"not_run"}]
    return sum((r.tag, r.kind.list_entries()[0]) in ran for r in refused)
