"""The ``metrics`` command."""

import math

import click

from kumquatwalk.cli.errors import exit_on_error
from kumquatwalk.cli.node_client import node_option
from kumquatwalk.cli.node_client import parse_node_address
from kumquatwalk.cli.node_client import get_from_node
from kumquatwalk.cli.output import print_json
from kumquatwalk.cli.output import print_table
from kumquatwalk.metrics.parser import parse_text
from kumquatwalk.metrics.sample import Sample

__all__ = ["metrics"]

_PATH = "/kumquatwalk/metrics"


@click.command()
@node_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--filter",
    "prefix",
    default="",
    metavar="PREFIX",
    help="Show only metrics whose names begin with PREFIX.",
)
@exit_on_error
def metrics(node: str, as_json: bool, prefix: str) -> None:
    """Show the metrics of one node."""
    body = get_from_node(parse_node_address(node), _PATH)
    samples = parse_text(body.decode("utf-8", errors="replace"))
    matching = [s for s in samples if s.name.startswith(prefix)]
    if as_json:
        print_json([_make_document(sample) for sample in matching])
    else:
        print_table(("METRIC", "LABELS", "VALUE"), map(_make_cells, matching))


def _make_document(sample: Sample) -> dict[str, object]:
    return {
        "name": sample.name,
        "labels": {label.name: label.value for label in sample.labels},
        "value": sample.value if math.isfinite(sample.value) else None,
    }


def _make_cells(sample: Sample) -> tuple[str, str, str]:
    labels = ",".join(f"{x.name}={x.value}" for x in sample.labels)
    return sample.name, labels, f"{sample.value:.12g}"
