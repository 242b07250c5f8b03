"""Tests of the latency histogram."""

import threading
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.metrics import LatencyHistogram
from kumquatwalk.metrics.latency_histogram import PENDING_MAX

_LATENCIES = st.lists(
    st.floats(min_value=0.0001, max_value=59), min_size=1, max_size=50
)


class LatencyHistogramTest(unittest.TestCase):

    def test_empty_histogram_has_no_quantiles(self):
        snapshot = LatencyHistogram().read()
        self.assertEqual((snapshot.count, snapshot.quantiles), (0, ()))

    def test_values_out_of_range_are_clamped(self):
        histogram = LatencyHistogram()
        for latency_s in (-1.0, 0.0, 1e9):
            histogram.record(latency_s)
        self.assertEqual(histogram.read().count, 3)
        self.assertGreaterEqual(histogram.read().quantiles[-1].latency_s, 60)

    @settings(derandomize=True, deadline=None)
    @given(_LATENCIES)
    def test_quantiles_have_two_significant_digits(self, latencies):
        histogram = LatencyHistogram()
        for latency_s in latencies:
            histogram.record(latency_s)
        snapshot = histogram.read()
        largest = snapshot.quantiles[-1].latency_s
        self.assertAlmostEqual(largest / max(latencies), 1, delta=0.011)
        self.assertAlmostEqual(snapshot.sum_s, sum(latencies))

    def test_no_latency_is_lost_between_threads(self):
        histogram = LatencyHistogram()

        def record_latencies():
            for _ in range(PENDING_MAX * 5):
                histogram.record(0.001)

        threads = [threading.Thread(target=record_latencies) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(histogram.read().count, PENDING_MAX * 20)
