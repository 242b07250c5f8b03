"""Tests of the admission of requests by the memory for answers."""

import unittest

from kumquatwalk.admission.memory import SMALL_ANSWER_KB
from kumquatwalk.admission.memory import MemoryAdmission
from kumquatwalk.http1.byte_budget import ByteBudget


class MemoryAdmissionTest(unittest.TestCase):

    def setUp(self):
        self.answers = ByteBudget(100_000)
        self.bodies = ByteBudget(50_000)
        self.memory = MemoryAdmission(self.answers, self.bodies)

    # Guards against LOST: answers of requests in progress counted nowhere, so
    # that a burst of them took the process over its memory.
    def test_answers_in_progress_count(self):
        self.assertTrue(self.memory.try_reserve(60.0))
        self.assertFalse(self.memory.try_reserve(60.0))
        self.memory.release(60.0)
        self.assertTrue(self.memory.try_reserve(60.0))

    def test_answers_held_count(self):
        self.answers.hold(50_000)
        self.assertFalse(self.memory.try_reserve(60.0))
        self.assertTrue(self.memory.try_reserve(50.0))
        self.assertFalse(self.memory.try_reserve(20.0))

    def test_small_answers_are_admitted_whatever_is_held(self):
        self.answers.hold(1_000_000)
        self.assertTrue(self.memory.try_reserve(SMALL_ANSWER_KB))
        self.memory.release(SMALL_ANSWER_KB)
        self.answers.release(1_000_000)
        self.assertTrue(self.memory.try_reserve(100.0))

    def test_memory_is_short_when_both_kinds_hold_their_limits_together(self):
        self.answers.hold(149_000)
        self.assertFalse(self.memory.is_short())
        self.bodies.hold(1000)
        self.assertTrue(self.memory.is_short())


if __name__ == "__main__":
    unittest.main()
