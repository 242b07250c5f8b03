"""Compares what targets report of their load, in virtual time.

    python -m benchmarks.work_left_experiment --nodes 195

prints a table for targets of unlike speed on machines that slow down at times:
times of calls, late calls, and the busiest target over the mean. Each row adds
one part of the report to the count of calls. Runs with the same seed give
identical results.

    python -m benchmarks.work_left_experiment --predictors

prints what part of the variance of run times is explained by what a node knows
when a run starts.
"""

import collections
import dataclasses

import click

from benchmarks.fleet_model.unlike_targets import REPORTS
from benchmarks.fleet_model.unlike_targets import UnlikeResult
from benchmarks.fleet_model.unlike_targets import UnlikeSimulation

__all__ = ["explain_runs", "main", "measure_report"]

# Multiple of the mean at which run times are cut, as in the product's gains.
OUTLIER_FACTOR = 4.0
# Width of the classes of slowness.
CLASS_WIDTH = 0.25


def measure_report(
    report: str, nodes: int, seconds: float, calls_per_s: float, seeds: int
) -> UnlikeResult:
    """Simulate what targets report and return the mean over several seeds.

    Args:
        report: What targets report, one of ``REPORTS``.
        nodes: Number of nodes.
        seconds: Length of a run in virtual time.
        calls_per_s: Calls of each node, per second.
        seeds: Number of runs; they have the seeds from 1 on.
    """
    results = [
        UnlikeSimulation(nodes, report, calls_per_s, seed).play(seconds)
        for seed in range(1, seeds + 1)
    ]
    return UnlikeResult(
        *(
            sum(getattr(r, field.name) for r in results) / len(results)
            for field in dataclasses.fields(UnlikeResult)
        )
    )


def explain_runs(
    runs: list[tuple[str, float, float]],
) -> dict[str, float]:
    """Return the part of the variance of run times that keys explain.

    Args:
        runs: Target, slowness as estimated at the start, and time of each run.
    """
    mean_s = sum(run[2] for run in runs) / len(runs)
    runs = [(t, s, min(r, OUTLIER_FACTOR * mean_s)) for t, s, r in runs]
    keys = {
        "target": lambda t, _: t,
        "slowness": lambda _, s: round(s / CLASS_WIDTH),
        "target and slowness": lambda t, s: (t, round(s / CLASS_WIDTH)),
    }
    total = _sum_squares([run[2] for run in runs])
    explained = {}
    for name, find_key in keys.items():
        groups = collections.defaultdict(list)
        for target, slowness, run_s in runs:
            groups[find_key(target, slowness)].append(run_s)
        # Each group has a mean of its own, which takes away a little by chance.
        rest = sum(
            _sum_squares(g) * len(g) / (len(g) - 1)
            for g in groups.values()
            if len(g) > 1
        )
        explained[name] = 1.0 - rest / total
    return explained


def _sum_squares(values: list[float]) -> float:
    mean = sum(values) / len(values)
    return sum((value - mean) ** 2 for value in values)


@click.command()
@click.option("--nodes", type=int, default=195, show_default=True)
@click.option("--seconds", type=float, default=14.0, show_default=True)
@click.option(
    "--rate",
    "rates",
    multiple=True,
    type=float,
    default=(14.0, 18.0, 21.0),
    help="Calls of a node, per second.",
)
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--predictors", is_flag=True, help="Explain run times instead.")
def main(nodes, seconds, rates, seeds, predictors) -> None:
    """Compare the reports at several rates."""
    if predictors:
        simulation = UnlikeSimulation(nodes, "work", rates[0], 1)
        simulation.play(seconds)
        for name, part in explain_runs(simulation.runs).items():
            click.echo(f"{name}: {100.0 * part:.1f}%")
        return
    fields = [f.name for f in dataclasses.fields(UnlikeResult)]
    click.echo("| rate | report | " + " | ".join(fields) + " |")
    click.echo("| --- " * (2 + len(fields)) + "|")
    for rate in rates:
        for report in REPORTS:
            result = measure_report(report, nodes, seconds, rate, seeds)
            cells = [f"{getattr(result, f):.2f}" for f in fields]
            click.echo(f"| {rate:g} | {report} | {' | '.join(cells)} |")


if __name__ == "__main__":
    main.main()
