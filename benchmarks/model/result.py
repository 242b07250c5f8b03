"""Metrics of one simulated run."""

import dataclasses
import statistics

from benchmarks.model.fleet import ModelFleet
from benchmarks.model.fleet import RequestRecord
from benchmarks.model.pattern import DISTURBANCE_END_S
from benchmarks.model.pattern import DISTURBANCE_START_S
from benchmarks.model.pattern import RUN_LENGTH_S

__all__ = ["Result", "measure", "measure_goodput"]

# Share of one second's requests served in time from which the fleet counts as
# recovered.
RECOVERED_SHARE = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Metrics of a simulated run.

    The shares are of the requests that started during the disturbance.

    Attributes:
        served: Share of requests served within their latency objective.
        important: The same share of the requests of rank 0 alone.
        refused: Share of requests whose last attempt was refused.
        failed: Share of requests whose last attempt failed or timed out.
        p99_s: 99th percentile of the response time of all requests that were
            served, in time or late, retries included, in seconds.
        recovery_s: Time from the end of the disturbance to the first second in
            which ``RECOVERED_SHARE`` of the requests is served in time, in
            seconds; None if there is no such second.
        busy_s: Slot time used at all targets, in seconds.
        goodput: Share of requests served in time, for each second of the run.
    """

    served: float
    important: float
    refused: float
    failed: float
    p99_s: float
    recovery_s: float | None
    busy_s: float
    goodput: tuple[float, ...]


def measure(fleet: ModelFleet) -> Result:
    """Compute the metrics of a fleet whose load pattern has ended.

    Args:
        fleet: Fleet after ``run_pattern``.
    """
    disturbed = [
        e
        for e in fleet.records
        if DISTURBANCE_START_S <= e.started_at < DISTURBANCE_END_S
    ]
    goodput = measure_goodput(fleet.records)
    times = [
        e.ended_at - e.started_at
        for e in fleet.records
        if e.outcome in ("served", "late")
    ]
    return Result(
        served=_compute_share(disturbed, "served"),
        important=_compute_share(
            [e for e in disturbed if not e.route.rank], "served"
        ),
        refused=_compute_share(disturbed, "refused"),
        failed=_compute_share(disturbed, "failed"),
        p99_s=statistics.quantiles(times, n=100)[98],
        recovery_s=_find_recovery_time(goodput),
        busy_s=sum(t.busy_s for t in fleet.targets),
        goodput=goodput,
    )


def measure_goodput(records: list[RequestRecord]) -> tuple[float, ...]:
    """Return the share of requests served in time, for each second of a run.

    Args:
        records: Outcomes of requests, which count in the second of their first
            attempt.
    """
    seconds = range(int(RUN_LENGTH_S))
    groups = [[e for e in records if int(e.started_at) == s] for s in seconds]
    return tuple(_compute_share(group, "served") for group in groups)


def _compute_share(records: list[RequestRecord], outcome: str) -> float:
    if not records:
        return 0.0
    return sum(e.outcome == outcome for e in records) / len(records)


def _find_recovery_time(goodput: tuple[float, ...]) -> float | None:
    for second in range(int(DISTURBANCE_END_S), len(goodput)):
        if goodput[second] >= RECOVERED_SHARE:
            return second - DISTURBANCE_END_S
    return None
