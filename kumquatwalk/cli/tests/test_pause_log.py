"""Tests of the time at which a signal may have come."""

import unittest

from kumquatwalk.cli.pause_log import PauseLog
from kumquatwalk.cli.pause_log import SERIES_MAX_S


class PauseLogTest(unittest.TestCase):

    def setUp(self):
        self.log = PauseLog(10.0)

    def record(self, *times: float) -> None:
        """Record that the process ran at some times."""
        for now in times:
            self.log.record(now)

    def test_signal_to_a_running_process_came_when_it_is_handled(self):
        self.record(10.1, 10.2, 10.3)
        self.assertEqual(self.log.find_earliest(10.35), 10.35)

    # Guards against LOST: a stop that began late ended after SIGKILL.
    def test_signal_after_a_pause_may_have_come_at_its_beginning(self):
        self.record(10.1)
        self.assertEqual(self.log.find_earliest(11.6), 10.1)

    def test_record_at_the_end_of_a_pause_does_not_hide_it(self):
        self.record(10.1, 11.6, 11.61)
        self.assertEqual(self.log.find_earliest(11.62), 10.1)

    def test_pauses_that_follow_each_other_count_as_one(self):
        self.record(10.1, 10.8, 10.9)
        self.assertEqual(self.log.find_earliest(11.5), 10.1)

    def test_pause_of_some_time_ago_does_not_count(self):
        self.record(10.1, 11.6, 11.7, 11.8, 11.9, 12.0)
        self.assertEqual(self.log.find_earliest(12.05), 12.05)

    def test_series_of_pauses_counts_up_to_a_bound(self):
        self.record(10.5, 11.0, 11.5, 12.0, 12.5, 13.0)
        self.assertEqual(self.log.find_earliest(13.5), 13.5 - SERIES_MAX_S)

    # Guards against LOST: a stop whose signal came after a pause ended early.
    def test_signal_after_the_first_turns_came_when_it_is_handled(self):
        self.record(10.1, 11.6)
        self.log.end_pause()
        self.assertEqual(self.log.find_earliest(11.65), 11.65)
        self.record(11.7, 13.0)
        self.assertEqual(self.log.find_earliest(13.05), 11.7)

    # Guards against LOST: a stop after a pause of more than the bound of a
    # series ended after SIGKILL.
    def test_one_long_pause_counts_whole(self):
        self.record(10.5, 11.0)
        self.assertEqual(self.log.find_earliest(14.2), 11.0)


if __name__ == "__main__":
    unittest.main()
