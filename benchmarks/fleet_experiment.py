"""Compares designs of a large fleet in virtual time.

    python -m benchmarks.fleet_experiment --nodes 195

prints a table: spread of the load over targets, waits, the time until a target
that joins has work, the time until a surge is known, and the links and status
messages of a node. The decisions are the product's own. Runs with the same seed
give identical results.
"""

import dataclasses
import json

import click

from benchmarks.fleet_model.design import DESIGNS
from benchmarks.fleet_model.design import Design
from benchmarks.fleet_model.simulation import CallSimulation
from benchmarks.fleet_model.surge import measure_surge_delay

__all__ = ["FleetResult", "main", "measure_design"]

JOIN_AT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetResult:
    """Figures of one design at one size.

    Attributes:
        links: Links that a node opens, mean.
        messages_per_s: Status messages that a node receives, per second.
        spread: Highest load of a target over the mean of its service.
        wait_p99_ms: 99th percentile of the waits at targets, in milliseconds.
        join_s: Time until a joining target has work, in seconds; None if it
            had none by the end.
        surge_s: Time until a surge is known everywhere, in seconds; None if
            not within two minutes.
    """

    links: float
    messages_per_s: float
    spread: float
    wait_p99_ms: float
    join_s: float | None
    surge_s: float | None


def measure_design(
    design: Design, nodes: int, seconds: float, calls_per_s: float, seed: int
) -> FleetResult:
    """Simulate one design and return its figures.

    Args:
        design: Design of the fleet.
        nodes: Number of nodes.
        seconds: Length of the run in virtual time; a target joins after three.
        calls_per_s: Calls of each node, per second.
        seed: Seed of all random choices.
    """
    simulation = CallSimulation(nodes, design, calls_per_s, seed)
    links = sum(
        len(views)
        for node in simulation.nodes.values()
        for views in node.views.values()
    )
    simulation.play(JOIN_AT_S)
    spread = simulation.measure_spread()
    waits = sorted(simulation.waits)
    simulation.join()
    simulation.play(seconds)
    joined_at = simulation.first_call_at
    return FleetResult(
        links=links / nodes,
        messages_per_s=links / nodes / design.status_interval_s,
        spread=spread,
        wait_p99_ms=1000.0 * waits[int(0.99 * len(waits))],
        join_s=None if joined_at is None else joined_at - JOIN_AT_S,
        surge_s=measure_surge_delay(nodes, design, seed),
    )


@click.command()
@click.option("--nodes", multiple=True, type=int, default=(30, 195))
@click.option("--seconds", type=float, default=12.0, show_default=True)
@click.option(
    "--rate", type=float, default=18.0, help="Calls of a node, per second."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--plot", type=click.Path(), help="Picture file to draw.")
def main(nodes, seconds, rate, seed, as_json, plot) -> None:
    """Compare the designs at several sizes."""
    rows = [
        (n, name, measure_design(design, n, seconds, rate, seed))
        for n in nodes
        for name, design in DESIGNS.items()
    ]
    if as_json:
        click.echo(
            json.dumps(
                [
                    {"nodes": n, "design": name, **dataclasses.asdict(result)}
                    for n, name, result in rows
                ]
            )
        )
    else:
        _print_table(rows)
    if plot:
        _plot(rows, plot)


def _print_table(rows) -> None:
    fields = [f.name for f in dataclasses.fields(FleetResult)]
    click.echo("| nodes | design | " + " | ".join(fields) + " |")
    click.echo("| --- " * (2 + len(fields)) + "|")
    for nodes, name, result in rows:
        cells = [_format(getattr(result, field)) for field in fields]
        click.echo(f"| {nodes} | {name} | {' | '.join(cells)} |")


def _format(value: float | None) -> str:
    return "never" if value is None else f"{value:.2f}"


def _plot(rows, path: str) -> None:
    # matplotlib is an optional dependency, so it is imported only here.
    # pylint: disable=import-outside-toplevel,import-error
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    fields = ("messages_per_s", "spread", "join_s", "surge_s")
    figure, axes = pyplot.subplots(1, len(fields), figsize=(13, 3))
    for field, axis in zip(fields, axes):
        for name in DESIGNS:
            points = [
                (n, getattr(r, field))
                for n, design, r in rows
                if design == name and getattr(r, field) is not None
            ]
            axis.plot(*zip(*points), marker="o", label=name)
        axis.set_title(field, fontsize=9)
        axis.set_xscale("log")
        axis.set_xlabel("nodes")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    main.main()
