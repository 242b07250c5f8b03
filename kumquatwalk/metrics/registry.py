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
# Labels of the series that stands for all beyond the limit.
OVERFLOW_LABELS = (Label("overflow", "true"),)

_METRIC_NAME = re.compile(r"[a-z][a-z0-9_]*")


class MetricsRegistry:
    """Thread-safe registry that creates each series on its first use.

    A metric has at most ``SERIES_PER_METRIC_MAX`` series, which bounds the
    memory; further label values share one more, labelled ``overflow="true"``.

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
        """Return the counter of a name and labels, created on first use.

        Args:
            name: Name of the metric, ending in ``_total``.
            *labels: Labels of the series.
            help_text: Description of the metric; the first one given counts.

        Returns:
            The counter. Each call takes a lock, so keep the counter where it is
            used often.

        Raises:
            KumquatwalkError: The name is malformed, or the metric exists with
                another type.
        """
        return self._get_or_create(
            name, Kind.COUNTER, labels, help_text, Counter
        )

    def gauge(
        self,
        name: str,
        *labels: Label,
        help_text: str = "",
        reader: Callable[[], float] | None = None,
    ) -> Gauge:
        """Return the gauge of a name and labels, created on first use.

        Args:
            name: Name of the metric.
            *labels: Labels of the series.
            help_text: Description of the metric; the first one given counts.
            reader: Function that returns the value on each read; ignored if
                the gauge exists.

        Returns:
            The gauge. Each call takes a lock, so keep the gauge where it is
            used often.

        Raises:
            KumquatwalkError: The name is malformed, or the metric exists with
                another type.
        """
        return self._get_or_create(
            name, Kind.GAUGE, labels, help_text, lambda: Gauge(reader)
        )

    def histogram(
        self, name: str, *labels: Label, help_text: str = ""
    ) -> LatencyHistogram:
        """Return the histogram of a name and labels, created on first use.

        Args:
            name: Name of the metric, ending in ``_seconds``.
            *labels: Labels of the series.
            help_text: Description of the metric; the first one given counts.

        Returns:
            The histogram. Each call takes a lock, so keep the histogram where
            it is used often.

        Raises:
            KumquatwalkError: The name is malformed, or the metric exists with
                another type.
        """
        return self._get_or_create(
            name, Kind.SUMMARY, labels, help_text, LatencyHistogram
        )

    def remove(self, name: str, *labels: Label) -> None:
        """Remove a series, if it exists.

        Args:
            name: Name of the metric.
            *labels: Labels of the series.
        """
        with self._lock:
            family = self._families.get(name)
            if family is not None:
                family.series.pop(tuple(sorted(labels)), None)

    def list_families(self) -> tuple[Family, ...]:
        """Return copies of all metric families, sorted by name."""
        with self._lock:
            return tuple(
                Family(f.name, f.kind, f.help_text, dict(f.series))
                for _, f in sorted(self._families.items())
            )

    def _get_or_create(
        self,
        name: str,
        kind: Kind,
        labels: tuple[Label, ...],
        help_text: str,
        create: Callable[[], Series],
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
            return family.series.setdefault(key, create())


def _check_name(name: str) -> None:
    if not _METRIC_NAME.fullmatch(name):
        raise KumquatwalkError(
            "metric_name_invalid",
            f"metric name {name!r} must match [a-z][a-z0-9_]*",
        )
