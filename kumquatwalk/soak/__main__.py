"""Command line of the fault soak: ``python -m kumquatwalk.soak``."""

import sys

import click

from kumquatwalk.soak.runner import run_soak

__all__ = ["main"]


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option(
    "--seconds",
    default=12.0,
    show_default=True,
    help="Time in which faults begin, for each seed.",
)
def main(first: int, seeds: int, seconds: float) -> None:
    """Run soaks with a seed each; exit with 1 if a promise was broken."""
    broken = 0
    for seed in range(first, first + seeds):
        result = run_soak(seed, seconds)
        broken += bool(result.violations)
        outcomes = " ".join(f"{k}={v}" for k, v in result.outcomes.items())
        click.echo(f"seed={seed} faults={result.actions} {outcomes}")
        for violation in result.violations[:20]:
            click.echo(f"  {violation}")
    click.echo(f"seeds={seeds} broken={broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main.main()
