"""Tests of the gate's table of attempts."""

import threading
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from kumquatwalk.idempotency import AnswerDropped
from kumquatwalk.idempotency import Answered
from kumquatwalk.idempotency import AttachTo
from kumquatwalk.idempotency import AttemptTable
from kumquatwalk.idempotency import RunNow
from kumquatwalk.idempotency import TableFull
from kumquatwalk.idempotency import Tombstoned
from kumquatwalk.idempotency import TooOld

ID = b"a" * 16


class AttemptTableMachine(stateful.RuleBasedStateMachine):
    """Copies arrive late, with a wrong estimate of their age, in any order."""

    def __init__(self):
        super().__init__()
        self.table = AttemptTable(len, max_attempts=4, max_answer_bytes=20)
        self.now = 100.0
        self.sent = []
        self.started = set()
        self.running = set()
        self.refused = set()
        self.answers = {}

    @stateful.rule()
    def send(self):
        """Make a new attempt."""
        self.sent.append(self.now)

    @stateful.rule(
        pick=st.integers(0, 1000),
        error=st.floats(-0.5, 0.5),
        times=st.integers(1, 3),
    )
    def deliver(self, pick, error, times):
        """Deliver copies of an attempt."""
        if not self.sent:
            return
        number = pick % len(self.sent)
        for _ in range(times):
            self.deliver_copy(number, error)

    def deliver_copy(self, number, error):
        """Deliver one copy and check the decision."""
        is_idempotent = number % 3 == 0
        age_s = self.now - self.sent[number] + error
        result = self.table.begin(
            b"%016d" % number, is_idempotent, age_s, self.now
        )
        match result:
            case RunNow():
                assert number not in self.started or is_idempotent
                assert number not in self.refused
                self.started.add(number)
                self.running.add(number)
            case AttachTo():
                assert number in self.running
            case Answered(answer):
                assert answer == self.answers[number]
            case AnswerDropped():
                assert number in self.answers
            case Tombstoned():
                assert number in self.refused
            case TableFull():
                assert number not in self.started - self.refused
                self.refused.add(number)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(is_refused=st.booleans())
    def end(self, is_refused):
        """End a run."""
        number = self.running.pop()
        answer = b"%d" % number
        attempt_id = b"%016d" % number
        if is_refused:
            self.refused.add(number)
            self.table.refuse(attempt_id, answer, self.now)
        else:
            self.answers[number] = answer
            self.table.finish(attempt_id, answer, self.now)

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0, 29.0, 61.0]))
    def advance(self, seconds):
        """Let time pass."""
        self.now += seconds

    @stateful.invariant()
    def is_bounded(self):
        """The table keeps to its bound."""
        assert len(self.table) <= 4


AttemptTableMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


class AttemptTableStateTest(AttemptTableMachine.TestCase):
    pass


class AttemptTableTest(unittest.TestCase):

    def setUp(self):
        self.table = AttemptTable(len)

    def test_copy_waits_for_the_first_run(self):
        self.table.begin(ID, False, 0.0, 10.0)
        copy = self.table.begin(ID, False, 0.1, 10.1)
        received = []
        waiter = threading.Thread(
            target=lambda: received.append(copy.run.wait(60.0))
        )
        waiter.start()
        self.table.finish(ID, b"paid", 10.2)
        waiter.join(60.0)
        self.assertEqual(received, [b"paid"])

    def test_copy_of_a_refused_attempt_is_not_run(self):
        self.table.begin(ID, False, 0.0, 10.0)
        self.table.refuse(ID, b"full", 10.1)
        result = self.table.begin(ID, False, 30.0, 40.0)
        self.assertEqual(result, Tombstoned(b"full"))

    def test_old_copy_without_a_record_is_not_run(self):
        self.assertEqual(self.table.begin(ID, False, 31.0, 50.0), TooOld())

    def test_answer_dropped_for_room_is_never_run_again(self):
        table = AttemptTable(len, max_answer_bytes=3)
        table.begin(ID, False, 0.0, 10.0)
        table.finish(ID, b"long answer", 10.1)
        result = table.begin(ID, False, 0.2, 10.2)
        self.assertEqual(result, AnswerDropped())

    def test_full_table_refuses_copies_after_it_has_room_again(self):
        table = AttemptTable(len, max_attempts=1)
        table.begin(ID, False, 0.0, 10.0)
        other = b"b" * 16
        self.assertEqual(table.begin(other, False, 0.0, 10.0), TableFull())
        table.finish(ID, b"paid", 10.1)
        result = table.begin(other, False, 71.0, 81.0)
        self.assertIsInstance(result, TooOld)
        table.begin(ID, False, 0.0, 81.0)
        table.finish(ID, b"paid", 81.0)
        self.assertEqual(table.begin(other, True, 0.0, 81.0), TableFull())
        self.assertEqual(table.begin(b"c" * 16, True, 0.0, 150.0), RunNow())

    def test_refusals_of_a_full_table_hold_with_wrong_age_estimates(self):
        table = AttemptTable(len, max_attempts=1)
        table.begin(ID, True, 0.0, 10.0)
        before, after = b"b" * 16, b"c" * 16
        self.assertEqual(table.begin(before, False, 0.1, 10.0), TableFull())
        table.finish(ID, b"done", 10.0)
        result = table.begin(before, False, 18.5 - 10.3, 18.5)
        self.assertEqual(result, TableFull())
        table = AttemptTable(len, max_attempts=2)
        table.begin(ID, True, 0.0, 10.0)
        table.begin(b"d" * 16, True, 0.0, 10.0)
        self.assertEqual(table.begin(before, False, 0.0, 10.0), TableFull())
        table.finish(ID, b"done", 10.0)
        result = table.begin(after, False, 18.5 - 10.4, 18.5)
        self.assertEqual(result, TableFull())
        result = table.begin(after, False, 18.5 - 10.6, 18.5)
        self.assertEqual(result, Tombstoned(None))


if __name__ == "__main__":
    unittest.main()
