"""Compares what targets report of their load, in virtual time.

    python -m benchmarks.work_left_experiment --nodes 195

prints a table for targets of unlike speed on machines that slow down at times:
times of calls, late calls, and the busiest target over the mean. Each row adds
one part of the report to the count of calls. Runs with the same seed give
identical results.
"""

import dataclasses

import click

from benchmarks.fleet_model.unlike_targets import REPORTS
from benchmarks.fleet_model.unlike_targets import UnlikeResult
from benchmarks.fleet_model.unlike_targets import UnlikeSimulation

__all__ = ["main", "measure_report"]


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
def main(nodes, seconds, rates, seeds) -> None:
    """Compare the reports at several rates."""
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
