"""Tests of the delay of the event loop."""

import unittest

from kumquatwalk.daemon.loop_delay import LoopDelay


class LoopDelayTest(unittest.TestCase):

    def setUp(self):
        self.delay = LoopDelay(0.25)
        for now in (10.0, 10.25, 10.5):
            self.delay.record(now)

    def test_checks_on_time_show_none(self):
        self.assertEqual(LoopDelay(0.25).estimate(10.0), 0.0)
        for now in (10.5, 10.6, 10.75):
            self.assertEqual(self.delay.estimate(now), 0.0)

    def test_event_before_the_late_check_is_late(self):
        self.assertEqual(self.delay.estimate(13.75), 3.0)

    def test_event_after_the_late_check_is_late(self):
        self.delay.record(13.75)
        self.assertEqual(self.delay.estimate(13.75), 3.0)
        self.assertEqual(self.delay.estimate(13.875), 3.0)

    def test_delay_ends_with_a_check_on_time(self):
        self.delay.record(13.75)
        self.delay.record(14.0)
        self.assertEqual(self.delay.estimate(14.0), 0.0)


if __name__ == "__main__":
    unittest.main()
