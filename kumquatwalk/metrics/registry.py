"""Registry of the metrics of one node."""

import re
import threading
from collections.abc import Callable

from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.family import Family
from kumquatwalk.metrics.family import Kind
from kumquatwalk.metrics.family import Series
from kumquatwalk.metrics.gauge import Gauge
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.latency_histogram import LatencyHistogram

__all__ = ["MetricsRegistry", "OVERFLOW_LABELS", "SERIES_PER_METRIC_MAX"]

SERIES_PER_METRIC_MAX = 500
OVERFLOW_LABELS = (Label("overflow", "true"),)

_METRIC_NAME = re.compile(r"[a-z][a-z0-9_]*")


class MetricsRegistry:
    """Thread-safe registry; asking again for a series returns the same one.

    A metric has at most ``SERIES_PER_METRIC_MAX`` series; later label values
    share the one labelled ``overflow="true"``, so that memory is bounded.

    Example:
        >>> registry = MetricsRegistry()
        >>> registry.counter("calls_total", Label("entry", "pay")).increment()
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._families: dict[str, Family] = {}

    def counter(
        self, name: str, *labels: Label, help_text: str = ""
    ) -> Counter:
        """Return the counter of that name and labels.

        Args:
            name: Name of the metric, ending in ``_total``.
            *labels: Labels of the series.
            help_text: What the metric says, taken from the first request.

        Returns:
            The counter; keep it where it is used often.

        Raises:
            KumquatwalkError: The name is malformed or of another kind.
        """
        return self._find(name, Kind.COUNTER, labels, help_text, Counter)

    def gauge(
        self,
        name: str,
        *labels: Label,
        help_text: str = "",
        reader: Callable[[], float] | None = None,
    ) -> Gauge:
        """Return the gauge of that name and labels.

        Args:
            name: Name of the metric.
            *labels: Labels of the series.
            help_text: What the metric says, taken from the first request.
            reader: Function that gives the value when read; used only when
                the gauge is made.

        Returns:
            The gauge; keep it where it is used often.

        Raises:
            KumquatwalkError: The name is malformed or of another kind.
        """
        return self._find(
            name, Kind.GAUGE, labels, help_text, lambda: Gauge(reader)
        )

    def histogram(
        self, name: str, *labels: Label, help_text: str = ""
    ) -> LatencyHistogram:
        """Return the latency histogram of that name and labels.

        Args:
            name: Name of the metric, ending in ``_seconds``.
            *labels: Labels of the series.
            help_text: What the metric says, taken from the first request.

        Returns:
            The histogram; keep it where it is used often.

        Raises:
            KumquatwalkError: The name is malformed or of another kind.
        """
        return self._find(
            name, Kind.SUMMARY, labels, help_text, LatencyHistogram
        )

    def list_families(self) -> tuple[Family, ...]:
        """Return copies of all families, sorted by name."""
        with self._lock:
            return tuple(
                Family(f.name, f.kind, f.help_text, dict(f.series))
                for _, f in sorted(self._families.items())
            )

    def _find(
        self,
        name: str,
        kind: Kind,
        labels: tuple[Label, ...],
        help_text: str,
        make: Callable[[], Series],
    ) -> Series:
        key = tuple(sorted(labels))
        with self._lock:
            family = self._families.get(name)
            if family is None:
                _check_name(name)
                family = Family(name, kind, help_text)
                self._families[name] = family
            if family.kind is not kind:
                raise KumquatwalkError(
                    "metric_kind_conflict",
                    f"{name} is a {family.kind.value}, not a {kind.value}",
                )
            if key in family.series:
                return family.series[key]
            if len(family.series) >= SERIES_PER_METRIC_MAX:
                key = OVERFLOW_LABELS
            return family.series.setdefault(key, make())


def _check_name(name: str) -> None:
    if not _METRIC_NAME.fullmatch(name):
        raise KumquatwalkError(
            "metric_name_invalid",
            f"metric name {name!r} is not lower case words and underscores",
        )
