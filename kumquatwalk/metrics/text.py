"""Renderer of the Prometheus text format."""

import functools
import math

from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.family import Family
from kumquatwalk.metrics.gauge import Gauge
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.latency_histogram import LatencyHistogram
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.metrics.sample import Sample

__all__ = ["CONTENT_TYPE", "render_text"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def render_text(registry: MetricsRegistry) -> str:
    """Render all metrics in the Prometheus text format, version 0.0.4.

    Histograms are rendered as summaries with quantiles.

    Args:
        registry: Registry of the metrics.

    Returns:
        Text that ends with a line break; empty if there are no metrics.
    """
    lines: list[str] = []
    for family in registry.list_families():
        lines.extend(_render_family(family))
    return "".join(f"{line}\n" for line in lines)


def _render_family(family: Family) -> list[str]:
    lines = []
    if family.help_text:
        lines.append(f"# HELP {family.name} {_escape_help(family.help_text)}")
    lines.append(f"# TYPE {family.name} {family.kind.value}")
    for labels, series in sorted(family.series.items(), key=lambda kv: kv[0]):
        samples = read_samples(series, family.name, labels)
        lines.extend(map(_render_sample, samples))
    return lines


@functools.singledispatch
def read_samples(
    series: object, name: str, labels: tuple[Label, ...]
) -> tuple[Sample, ...]:
    """Return the current samples of a series.

    Args:
        series: Counter, gauge or latency histogram.
        name: Name of the metric.
        labels: Labels of the series.

    Returns:
        One sample for a counter or gauge; quantiles, sum and count for a
        histogram.

    Raises:
        TypeError: The series is of another type.
    """
    raise TypeError(f"{type(series).__name__} is not a metric type")


@read_samples.register(Counter)
@read_samples.register(Gauge)
def _(
    series: Counter | Gauge, name: str, labels: tuple[Label, ...]
) -> tuple[Sample, ...]:
    return (Sample(name, labels, series.read()),)


@read_samples.register
def _(
    series: LatencyHistogram, name: str, labels: tuple[Label, ...]
) -> tuple[Sample, ...]:
    snapshot = series.read()
    quantiles = tuple(
        Sample(name, (*labels, Label("quantile", str(q.fraction))), q.latency_s)
        for q in snapshot.quantiles
    )
    return (
        *quantiles,
        Sample(f"{name}_sum", labels, snapshot.sum_s),
        Sample(f"{name}_count", labels, snapshot.count),
    )


def _render_sample(sample: Sample) -> str:
    pairs = ",".join(
        f'{label.name}="{_escape_value(label.value)}"'
        for label in sample.labels
    )
    braces = f"{{{pairs}}}" if pairs else ""
    return f"{sample.name}{braces} {_format_number(sample.value)}"


def _format_number(value: float) -> str:
    if math.isnan(value):
        return "NaN"
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return repr(int(value)) if value == int(value) else repr(value)


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _escape_value(text: str) -> str:
    return _escape_help(text).replace('"', '\\"')
