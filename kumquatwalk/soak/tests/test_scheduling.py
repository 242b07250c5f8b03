"""Tests of the times that processes waited for a processor."""

import os
import unittest
from unittest import mock

from kumquatwalk.soak import scheduling
from kumquatwalk.soak.scheduling import ProcessWait
from kumquatwalk.soak.scheduling import SchedulingWatch


class SchedulingWatchTest(unittest.TestCase):

    def test_long_waits_since_the_last_sample_are_noted(self):
        watch = SchedulingWatch(lambda: [("n1", 7)])
        waited_ns = [5_000_000_000, 5_200_000_000, 5_900_000_000]
        with mock.patch.object(
            scheduling, "_read_waited", side_effect=waited_ns
        ):
            for now in (1.0, 2.0, 3.0):
                watch.sample(now)
        self.assertEqual(watch.waits, [ProcessWait("n1", 7, 3.0, 0.7)])

    def test_process_that_ended_counts_as_no_wait(self):
        watch = SchedulingWatch(lambda: [("n1", 1 << 30)])
        watch.sample(1.0)
        watch.sample(2.0)
        self.assertEqual(watch.waits, [])

    def test_own_process_can_be_sampled(self):
        watch = SchedulingWatch(lambda: [("driver", os.getpid())])
        watch.sample(1.0)
        watch.sample(2.0)


if __name__ == "__main__":
    unittest.main()
