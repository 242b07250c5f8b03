"""Histogram of latencies, kept by hdrhistogram."""

import collections
import dataclasses
import importlib
import threading

__all__ = ["LatencyHistogram", "LatencySnapshot", "Quantile"]

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PENDING_MAX = 1000
QUANTILES = (0.5, 0.9, 0.99, 0.999)

_US_PER_S = 1_000_000
# With two significant digits the histogram keeps the leading eight bits.
_KEPT_BITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Quantile:
    """Latency that a share of the records does not exceed.

    Attributes:
        share: Share of the records, 0 to 1.
        latency_s: Latency in seconds.
    """

    share: float
    latency_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySnapshot:
    """Content of a histogram at the time of reading.

    Attributes:
        count: Number of records.
        sum_s: Sum of the latencies, in seconds.
        quantiles: One for each of ``QUANTILES``; empty without records.
    """

    count: int
    sum_s: float
    quantiles: tuple[Quantile, ...]


class LatencyHistogram:
    """Thread-safe histogram from 1 us to 60 s, two significant digits.

    A record is appended to a queue, and the queue is folded into the
    histogram when it is read or has ``PENDING_MAX`` items. The histogram
    itself is made with the first fold. Tene, "HdrHistogram", describes the
    buckets.

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
        """Record one latency; values out of range count as the nearest limit.

        Args:
            latency_s: Latency in seconds.
        """
        pending = self._pending
        pending.append(latency_s)
        if len(pending) >= PENDING_MAX:
            self._fold()

    def read(self) -> LatencySnapshot:
        """Return count, sum and quantiles of all records so far."""
        self._fold()
        with self._lock:
            if self._histogram is None:
                return LatencySnapshot(0, 0.0, ())
            return LatencySnapshot(
                self._histogram.get_total_count(),
                self._sum_s,
                tuple(map(self._read_quantile, QUANTILES)),
            )

    def _fold(self) -> None:
        with self._lock:
            pending = self._pending
            latencies = [pending.popleft() for _ in range(len(pending))]
            if not latencies:
                return
            if self._histogram is None:
                self._histogram = _make_histogram()
            self._sum_s += sum(latencies)
            buckets = collections.Counter(map(_find_bucket_us, latencies))
            for value_us, count in buckets.items():
                self._histogram.record_value(value_us, count)

    def _read_quantile(self, share: float) -> Quantile:
        value_us = self._histogram.get_value_at_percentile(share * 100)
        return Quantile(share, value_us / _US_PER_S)


def _make_histogram():
    module = importlib.import_module("hdrh.histogram")
    return module.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _find_bucket_us(latency_s: float) -> int:
    value_us = int(min(max(latency_s * _US_PER_S, LOWEST_US), HIGHEST_US))
    shift = value_us.bit_length() - _KEPT_BITS
    return value_us if shift <= 0 else value_us >> shift << shift
