"""Counters by a label of many values, of which the busiest are told apart."""

from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.metrics.registry import OVERFLOW_LABELS

__all__ = ["BUSIEST_MAX", "BusiestCounters"]

# Values that have series of their own.
BUSIEST_MAX = 32
# Events between two checks whether other values are busier now.
CHECK_INTERVAL = 4096
# Factor on the recent counts at each check.
DECAY = 0.5
# How much busier a value must be than the least of those with series, so that
# two that are alike do not take turns.
TAKEOVER_FACTOR = 1.5
# Maximum number of values of which recent counts are kept.
VALUES_MAX = 2048


class BusiestCounters:
    """Counters by one label and others; values that are rare share one series.

    The busiest values of the label have series of their own, all others share
    the one with the label ``overflow="true"``. When another value becomes one
    of the busiest, the series of the least busy are added to the shared ones
    and removed. So counts never fall, their sum is that of all events, and a
    series that is new or comes back begins at 0.

    Args:
        registry: Registry that exports the counters.
        metric: Name of the metric.
        label: Name of the label.
        help_text: Description of the metric.
    """

    def __init__(
        self, registry: MetricsRegistry, metric: str, label: str, help_text: str
    ):
        self._registry = registry
        self._metric = metric
        self._label = label
        self._help_text = help_text
        self._recent: dict[str, float] = {}
        self._busiest: dict[str, dict[tuple[Label, ...], Counter]] = {}
        self._shared: dict[tuple[Label, ...], Counter] = {}
        self._checks_in = CHECK_INTERVAL

    def increment(self, value: str, *labels: Label) -> None:
        """Count one event.

        Args:
            value: Value of the label.
            *labels: Other labels, of few values.
        """
        if value in self._recent or len(self._recent) < VALUES_MAX:
            self._recent[value] = self._recent.get(value, 0.0) + 1.0
        if value not in self._busiest and len(self._busiest) < BUSIEST_MAX:
            self._busiest[value] = {}
        self._find_counter(value, labels).increment()
        self._checks_in -= 1
        if not self._checks_in:
            self._checks_in = CHECK_INTERVAL
            self._choose_busiest()

    def _find_counter(self, value: str, labels: tuple[Label, ...]) -> Counter:
        series = self._busiest.get(value)
        if series is None:
            return self._find_shared(labels)
        counter = series.get(labels)
        if counter is None:
            own = Label(self._label, value)
            counter = series[labels] = self._registry.counter(
                self._metric, own, *labels, help_text=self._help_text
            )
        return counter

    def _find_shared(self, labels: tuple[Label, ...]) -> Counter:
        counter = self._shared.get(labels)
        if counter is None:
            counter = self._shared[labels] = self._registry.counter(
                self._metric,
                *OVERFLOW_LABELS,
                *labels,
                help_text=self._help_text,
            )
        return counter

    def _choose_busiest(self) -> None:
        """Give busier values the series of those that are less busy now."""
        recent = self._recent
        others = (v for v in recent if v not in self._busiest)
        challengers = sorted(others, key=recent.get, reverse=True)
        holders = sorted(self._busiest, key=lambda v: recent.get(v, 0.0))
        for challenger, holder in zip(challengers, holders):
            least = recent.get(holder, 0.0)
            if recent[challenger] <= TAKEOVER_FACTOR * least:
                break
            self._remove(holder)
            self._busiest[challenger] = {}
        self._recent = {
            v: count * DECAY for v, count in recent.items() if count >= 1.0
        }

    def _remove(self, value: str) -> None:
        own = Label(self._label, value)
        for labels, counter in self._busiest.pop(value).items():
            self._find_shared(labels).increment(counter.read())
            self._registry.remove(self._metric, own, *labels)
