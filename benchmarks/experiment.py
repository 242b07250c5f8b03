"""Compares overload controls under load patterns, in virtual time.

    python -m benchmarks.experiment --shape kigali --pattern surge

prints a table of the metrics of each control. With --plot it also draws the
goodput over time to an image file, which needs matplotlib (the extra
``plots``). Runs with the same seed give identical results.
"""

import json

import click

from benchmarks.model.control import CONTROLS
from benchmarks.model.fleet import ModelFleet
from benchmarks.model.pattern import DISTURBANCE_END_S
from benchmarks.model.pattern import DISTURBANCE_START_S
from benchmarks.model.pattern import PATTERNS
from benchmarks.model.result import Result
from benchmarks.model.result import measure
from benchmarks.model.shape import SHAPES
from benchmarks.model.virtual_loop import VirtualLoop

__all__ = ["main", "simulate"]

_COLUMNS = (
    "served",
    "important",
    "refused",
    "failed",
    "p99_s",
    "recovery_s",
    "busy_s",
)


def simulate(shape: str, pattern: str, control: str, seed: int) -> Result:
    """Simulate a fleet under a load pattern and return its metrics.

    Args:
        shape: Name of the fleet, a key of ``SHAPES``.
        pattern: Name of the load pattern, a key of ``PATTERNS``.
        control: Name of the overload control, a key of ``CONTROLS``.
        seed: Seed of arrivals, run times and the control's choices.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(_simulate(shape, pattern, control, seed))
    finally:
        loop.close()


async def _simulate(
    shape: str, pattern: str, control: str, seed: int
) -> Result:
    fleet = ModelFleet(
        SHAPES[shape], PATTERNS[pattern], CONTROLS[control], seed
    )
    await fleet.run_pattern()
    return measure(fleet)


@click.command()
@click.option("--shape", type=click.Choice(sorted(SHAPES)), default="kigali")
@click.option(
    "--pattern",
    "patterns",
    type=click.Choice(sorted(PATTERNS)),
    multiple=True,
    help="May be repeated; all by default.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--plot", type=click.Path(), help="Picture file to draw.")
def main(shape, patterns, seed, as_json, plot) -> None:
    """Compare the controls on load patterns."""
    results = {
        pattern: {c: simulate(shape, pattern, c, seed) for c in CONTROLS}
        for pattern in patterns or sorted(PATTERNS)
    }
    if as_json:
        click.echo(json.dumps(_make_document(results)))
    else:
        _print_table(results)
    if plot:
        _plot_goodput(results, plot)


def _make_document(results: dict[str, dict[str, Result]]) -> dict:
    return {
        pattern: {
            control: {name: getattr(result, name) for name in _COLUMNS}
            for control, result in by_control.items()
        }
        for pattern, by_control in results.items()
    }


def _print_table(results: dict[str, dict[str, Result]]) -> None:
    click.echo("| pattern | control | " + " | ".join(_COLUMNS) + " |")
    click.echo("| --- " * (2 + len(_COLUMNS)) + "|")
    for pattern, by_control in results.items():
        for control, result in by_control.items():
            cells = [_format(getattr(result, name)) for name in _COLUMNS]
            click.echo(f"| {pattern} | {control} | {' | '.join(cells)} |")


def _format(value: float | None) -> str:
    return "never" if value is None else f"{value:.3f}"


def _plot_goodput(results: dict[str, dict[str, Result]], path: str) -> None:
    # matplotlib is an optional dependency, so it is imported only here.
    # pylint: disable=import-outside-toplevel,import-error
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(results), 1, figsize=(8, 2.4 * len(results)), squeeze=False
    )
    for (pattern, by_control), (axis,) in zip(results.items(), axes):
        for control, result in by_control.items():
            axis.plot(result.goodput, label=control)
        axis.axvspan(DISTURBANCE_START_S, DISTURBANCE_END_S, alpha=0.1)
        axis.set_title(f"{pattern}: {PATTERNS[pattern].about}", fontsize=9)
        axis.set_ylim(0, 1.05)
        axis.set_ylabel("served in time")
    axes[0][0].legend(loc="lower left", fontsize=8)
    axes[-1][0].set_xlabel("second")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    main.main()
