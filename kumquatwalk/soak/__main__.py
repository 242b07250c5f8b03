"""Command line of the fault soak: ``python -m kumquatwalk.soak``."""

import collections
import sys

import click

from kumquatwalk.soak.deployment_runner import run_deployment_soak
from kumquatwalk.soak.platform_runner import run_platform_soak
from kumquatwalk.soak.runner import SoakResult
from kumquatwalk.soak.runner import run_soak
from kumquatwalk.soak.service_runner import run_service_soak

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
@click.option(
    "--interface",
    type=click.Choice(["own", "platform", "deployment", "service"]),
    default="own",
    show_default=True,
    help="Interface of the nodes, or the shape of a deployment on it;"
    " service stops all nodes of a service at once.",
)
@click.option(
    "--keep",
    type=click.Path(exists=True, file_okay=False),
    help="Folder that keeps the logs and the record (not for own).",
)
@click.option(
    "--rate",
    default=0.1,
    show_default=True,
    help="Share of the deployment's rate of requests (deployment only).",
)
@click.option(
    "--tree",
    type=click.Path(exists=True, file_okay=False),
    help="Checkout of which the daemons run (deployment only).",
)
@click.option(
    "--links",
    "has_link_faults",
    is_flag=True,
    help="Let links between nodes fail too (platform only).",
)
@click.option(
    "--early",
    "reloads_from_exec",
    is_flag=True,
    help="Send SIGHUP from the first moment of a process on, before any program"
    " can catch it (platform only).",
)
@click.option(
    "--delays",
    "has_delays",
    is_flag=True,
    help="Let connections be as late as the deployment's (deployment only).",
)
@click.option(
    "--disturbed",
    "is_disturbed",
    is_flag=True,
    help="Reset links, let callers come in bursts, leave early and repeat at"
    " once, and split a route (deployment only; with its delays).",
)
def main(
    first: int,
    seeds: int,
    seconds: float,
    interface: str,
    keep: str | None,
    has_link_faults: bool,
    reloads_from_exec: bool,
    rate: float,
    tree: str | None,
    has_delays: bool,
    is_disturbed: bool,
) -> None:
    """Run soaks with a seed each; exit with 1 if a promise was broken."""
    broken = 0
    for seed in range(first, first + seeds):
        if interface == "own":
            result = run_soak(seed, seconds)
        elif interface == "deployment":
            result = run_deployment_soak(
                seed, seconds, rate, keep, tree, has_delays, is_disturbed
            )
        elif interface == "service":
            result = run_service_soak(seed, seconds, keep)
        else:
            result = run_platform_soak(
                seed, seconds, keep, has_link_faults, reloads_from_exec
            )
        broken += bool(result.violations)
        _print_result(seed, result)
    click.echo(f"seeds={seeds} broken={broken}")
    sys.exit(1 if broken else 0)


def _print_result(seed: int, result: SoakResult) -> None:
    outcomes = " ".join(f"{k}={v}" for k, v in result.outcomes.items())
    click.echo(f"seed={seed} faults={result.actions} {outcomes}")
    for name, count in result.losses.items():
        click.echo(f"  {count} {name}")
    rules = collections.Counter(v.rule for v in result.violations)
    if rules:
        click.echo("  " + " ".join(f"{k}={v}" for k, v in rules.items()))
    for violation in result.violations[:20]:
        click.echo(f"  {violation}")


if __name__ == "__main__":
    main.main()
