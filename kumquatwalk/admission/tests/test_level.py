"""Tests of the admission level."""

import unittest

from kumquatwalk.admission.level import AdmissionLevel


class AdmissionLevelTest(unittest.TestCase):
    """One window in which all calls offered were started."""

    def setUp(self):
        self.level = AdmissionLevel(0.0)
        self.level.value = 500
        for _ in range(100):
            self.level.note_offer(10)
            self.level.note_start()

    def test_level_rises_when_no_call_waits(self):
        self.level.close_window(1.0, False, 0, 0.1)
        self.assertGreater(self.level.value, 500)

    def test_level_holds_while_calls_wait_too_long(self):
        self.level.close_window(1.0, True, 0, 0.1)
        self.assertEqual(self.level.value, 500)

    def test_backlog_lowers_the_level(self):
        for _ in range(100):
            self.level.note_offer(400)
            self.level.note_start()
        self.level.close_window(1.0, True, 1000, 0.1)
        self.assertLess(self.level.value, 400)
