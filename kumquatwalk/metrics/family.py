"""Metric family: all series of one metric name."""

import dataclasses
import enum

from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.gauge import Gauge
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.latency_histogram import LatencyHistogram

__all__ = ["Family", "Kind", "Series"]

Series = Counter | Gauge | LatencyHistogram


class Kind(enum.Enum):
    """Metric type; the value is its name in the Prometheus text format."""

    COUNTER = "counter"
    GAUGE = "gauge"
    SUMMARY = "summary"


@dataclasses.dataclass(slots=True)
class Family:
    """Metric family: all series of one metric name.

    Attributes:
        name: Name of the metric.
        kind: Kind of all its series.
        help_text: Description of the metric; empty for none.
        series: Series by labels.
    """

    name: str
    kind: Kind
    help_text: str
    series: dict[tuple[Label, ...], Series] = dataclasses.field(
        default_factory=dict
    )
