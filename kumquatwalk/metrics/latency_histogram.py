"""Histogram of latencies, based on HdrHistogram."""

import collections
import dataclasses
import importlib
import threading

__all__ = ["LatencyHistogram", "LatencySnapshot", "Quantile"]

LATENCY_US_MIN = 1
LATENCY_US_MAX = 60_000_000
SIGNIFICANT_DIGITS = 2
PENDING_MAX = 1000
QUANTILES = (0.5, 0.9, 0.99, 0.999)

_US_PER_S = 1_000_000
# With two significant digits a bucket holds the values that share their leading
# eight bits.
_BUCKET_BITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Quantile:
    """Quantile of the recorded latencies.

    Attributes:
        fraction: Fraction of the latencies that do not exceed the quantile, 0
            to 1.
        latency_s: Latency in seconds.
    """

    fraction: float
    latency_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySnapshot:
    """Summary of a histogram at one time.

    Attributes:
        count: Number of recorded latencies.
        sum_s: Sum of the latencies, in seconds.
        quantiles: One for each of ``QUANTILES``; empty if the count is 0.
    """

    count: int
    sum_s: float
    quantiles: tuple[Quantile, ...]


class LatencyHistogram:
    """Thread-safe histogram from 1 us to 60 s with two significant digits.

    Latencies are queued, and the queue is added to the histogram when the
    histogram is read or the queue has ``PENDING_MAX`` items. The histogram is
    created when the queue is first added to it. Tene, "HdrHistogram",
    describes the buckets.

    Example:
        >>> histogram = LatencyHistogram()
        >>> histogram.record(0.002)
        >>> histogram.read().count
        1
    """

    __slots__ = ("_histogram", "_lock", "_pending", "_sum_s")

    def __init__(self):
        self._histogram = None
        self._lock = threading.Lock()
        self._pending: collections.deque[float] = collections.deque()
        self._sum_s = 0.0

    def record(self, latency_s: float) -> None:
        """Record one latency.

        The quantiles clamp it to the range of the histogram; the sum does not.

        Args:
            latency_s: Latency in seconds.
        """
        pending = self._pending
        pending.append(latency_s)
        if len(pending) >= PENDING_MAX:
            self._add_pending()

    def read(self) -> LatencySnapshot:
        """Return count, sum and quantiles of all latencies recorded so far."""
        self._add_pending()
        with self._lock:
            if self._histogram is None:
                return LatencySnapshot(0, 0.0, ())
            return LatencySnapshot(
                self._histogram.get_total_count(),
                self._sum_s,
                tuple(map(self._read_quantile, QUANTILES)),
            )

    def _add_pending(self) -> None:
        with self._lock:
            pending = self._pending
            latencies = [pending.popleft() for _ in range(len(pending))]
            if not latencies:
                return
            if self._histogram is None:
                self._histogram = _make_histogram()
            self._sum_s += sum(latencies)
            bucket_counts = collections.Counter(
                map(_truncate_to_bucket_us, latencies)
            )
            for value_us, count in bucket_counts.items():
                self._histogram.record_value(value_us, count)

    def _read_quantile(self, fraction: float) -> Quantile:
        value_us = self._histogram.get_value_at_percentile(fraction * 100)
        return Quantile(fraction, value_us / _US_PER_S)


def _make_histogram():
    module = importlib.import_module("hdrh.histogram")
    return module.HdrHistogram(
        LATENCY_US_MIN, LATENCY_US_MAX, SIGNIFICANT_DIGITS
    )


def _truncate_to_bucket_us(latency_s: float) -> int:
    value_us = int(
        min(max(latency_s * _US_PER_S, LATENCY_US_MIN), LATENCY_US_MAX)
    )
    shift = value_us.bit_length() - _BUCKET_BITS
    return value_us if shift <= 0 else value_us >> shift << shift
