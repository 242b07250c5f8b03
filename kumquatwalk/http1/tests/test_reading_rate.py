"""Tests of the rate at which a client takes its answers."""

import unittest

from kumquatwalk.http1.reading_rate import TAKEN_BYTES_MIN
from kumquatwalk.http1.reading_rate import WINDOW_S
from kumquatwalk.http1.reading_rate import WINDOW_S_MAX
from kumquatwalk.http1.reading_rate import ReadingRate


class ReadingRateTest(unittest.TestCase):

    def setUp(self):
        self.rate = ReadingRate()
        self.rate.restart(1000, 50.0)

    def test_client_is_slow_after_a_whole_window_below_the_minimum(self):
        self.rate.update(1000, 50.0 + 0.9 * WINDOW_S)
        self.assertFalse(self.rate.is_slow)
        self.rate.update(1000 + TAKEN_BYTES_MIN - 1, 50.0 + WINDOW_S)
        self.assertTrue(self.rate.is_slow)

    def test_client_that_takes_the_minimum_is_not_slow(self):
        self.rate.update(1000 + TAKEN_BYTES_MIN, 50.0 + WINDOW_S)
        self.assertFalse(self.rate.is_slow)

    def test_each_window_counts_by_itself(self):
        self.rate.update(1000, 50.0 + WINDOW_S)
        self.rate.update(1000 + TAKEN_BYTES_MIN, 50.0 + 2 * WINDOW_S)
        self.assertFalse(self.rate.is_slow)
        self.rate.update(1000 + TAKEN_BYTES_MIN, 50.0 + 3 * WINDOW_S)
        self.assertTrue(self.rate.is_slow)

    def test_next_answer_begins_a_window(self):
        self.rate.update(1000, 50.0 + WINDOW_S)
        self.rate.restart(1000, 90.0)
        self.assertFalse(self.rate.is_slow)
        self.rate.update(1000, 90.0 + 0.9 * WINDOW_S)
        self.assertFalse(self.rate.is_slow)

    # Guards against LOST: clients are ended since their node was frozen.
    def test_window_in_which_the_process_did_not_run_does_not_count(self):
        self.rate.update(1000, 50.0 + WINDOW_S_MAX + 0.1)
        self.assertFalse(self.rate.is_slow)


if __name__ == "__main__":
    unittest.main()
