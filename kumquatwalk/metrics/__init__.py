"""Metrics of a node and the Prometheus text format."""

from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.gauge import Gauge
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.latency_histogram import LatencyHistogram
from kumquatwalk.metrics.parser import parse_text
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.metrics.sample import Sample
from kumquatwalk.metrics.text import render_text

__all__ = [
    "Counter",
    "Gauge",
    "Label",
    "LatencyHistogram",
    "MetricsRegistry",
    "Sample",
    "parse_text",
    "render_text",
]
