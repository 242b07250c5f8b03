"""Tests of the rate at which a client takes bytes."""

import unittest

from kumquatwalk.http1.throughput import BACKLOG_BYTES_MAX
from kumquatwalk.http1.throughput import BUFFERS_BYTES_MAX
from kumquatwalk.http1.throughput import RATE_SHARE
from kumquatwalk.http1.throughput import WINDOW_S
from kumquatwalk.http1.throughput import Throughput

LARGE = 10 * BACKLOG_BYTES_MAX


class ThroughputTest(unittest.TestCase):

    def setUp(self):
        self.throughput = Throughput()
        self.throughput.begin(0, 10.0)

    def check_rate(self, bytes_per_s: float) -> None:
        """Check the rate that is relied on."""
        self.assertAlmostEqual(
            self.throughput.estimate_s(RATE_SHARE * bytes_per_s), 1.0
        )

    def test_client_is_measured_while_it_is_behind(self):
        self.throughput.update(1000, LARGE, 10.0 + WINDOW_S / 2)
        self.assertIsNone(self.throughput.estimate_s(1))
        self.throughput.update(30_000, LARGE, 10.0 + 2 * WINDOW_S)
        self.check_rate(30_000 / (2 * WINDOW_S))
        self.throughput.update(60_000, LARGE, 10.0 + 3 * WINDOW_S)
        self.check_rate(30_000 / WINDOW_S)

    # Guards against refusals: the pauses of a client that has nothing to take
    # were taken for slow reading.
    def test_client_that_caught_up_unseen_is_not_called_slow(self):
        self.throughput.update(LARGE, 0, 20.0)
        self.assertIsNone(self.throughput.estimate_s(1))
        self.throughput.begin(LARGE, 30.0)
        self.throughput.update(2 * LARGE, 0, 30.1)
        self.check_rate(LARGE / 0.1)
        self.throughput.begin(2 * LARGE, 40.0)
        self.throughput.update(3 * LARGE, 0, 41.0)
        self.check_rate(LARGE / 0.1)

    # Guards against LOST: a slow client's buffers took an answer at once, and
    # it was taken for quick.
    def test_what_buffers_take_is_no_rate(self):
        self.throughput.update(180_000, 0, 10.01)
        self.assertIsNone(self.throughput.estimate_s(1))

    # Guards against LOST: a slow client whose buffers took several answers was
    # taken for quicker than it reads.
    def test_what_buffers_take_of_several_answers_is_no_rate(self):
        now, taken_bytes, read_bytes_per_s = 10.0 + WINDOW_S, 0, 40_000
        self.throughput.update(taken_bytes, LARGE, now)
        taken_bytes = 250_000
        for _ in range(60):
            now += 0.1
            taken_bytes += read_bytes_per_s // 10
            self.throughput.update(taken_bytes, 0, now)
            self.throughput.begin(taken_bytes, now)
            taking_s = self.throughput.estimate_s(1000)
            self.assertGreaterEqual(
                taking_s * RATE_SHARE * 1.001, 1000 / read_bytes_per_s
            )

    # Guards against requests refused for no reason: a client that once took
    # nothing for a moment was taken for slow whatever it took afterwards.
    def test_quickly_taken_answers_are_added_up(self):
        now = 10.0 + WINDOW_S
        self.throughput.update(0, LARGE, now)
        for number in range(1, 5):
            self.throughput.update(number * 200_000, 0, now + number * 0.1)
            self.throughput.begin(number * 200_000, now + number * 0.1)
        self.check_rate((800_000 - BUFFERS_BYTES_MAX) / 0.4)

    def test_client_that_takes_nothing_needs_long(self):
        self.throughput.update(0, LARGE, 10.0 + WINDOW_S)
        self.assertEqual(self.throughput.estimate_s(LARGE), LARGE)

    def test_client_that_is_not_behind_is_not_measured(self):
        throughput = Throughput()
        throughput.update(1000, 0, 11.0)
        self.assertIsNone(throughput.estimate_s(1))


if __name__ == "__main__":
    unittest.main()
