"""Tests of the table of at-most-once requests."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from kumquatwalk.idempotency import Answered
from kumquatwalk.idempotency import AnswerEvicted
from kumquatwalk.idempotency import InProgress
from kumquatwalk.idempotency import KeyReused
from kumquatwalk.idempotency import RecordExpired
from kumquatwalk.idempotency import RequestTable
from kumquatwalk.idempotency import RunNow
from kumquatwalk.idempotency import TableFull
from kumquatwalk.idempotency.tests.fake_platform import run_without_loop
from kumquatwalk.idempotency.ticket import TICKET_TTL_S
from kumquatwalk.outcome import Outcome


class TicketMachine(stateful.RuleBasedStateMachine):
    """Repeats tickets while the table evicts old requests."""

    def __init__(self):
        super().__init__()
        self.table = RequestTable(len, max_requests=3, max_answer_bytes=12)
        self.now = 100.0
        self.issued = []
        self.running = set()
        self.ended = {}

    @stateful.rule()
    def issue(self):
        """Issue a ticket."""
        self.issued.append(self.now)

    @stateful.rule(index=st.integers(0, 1000))
    def use(self, index):
        """Send a request with a ticket and check the result."""
        if not self.issued:
            return
        number = index % len(self.issued)
        result = self.table.begin(
            f"{number}", b"body", self.issued[number], self.now
        )
        match result:
            case RunNow():
                assert number not in self.running
                assert self.ended.get(number) in (None, Outcome.NOT_RUN)
                self.running.add(number)
            case InProgress():
                assert number in self.running
            case Answered(answer):
                assert answer == b"%d" % number
                assert number in self.ended
            case AnswerEvicted() | RecordExpired():
                assert number not in self.running
            case TableFull():
                assert len(self.running) == 3
                assert self.ended.get(number) in (None, Outcome.NOT_RUN)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(outcome=st.sampled_from(Outcome))
    def end(self, outcome):
        """End a run."""
        number = self.running.pop()
        self.ended[number] = outcome
        self.table.finish(f"{number}", b"%d" % number, outcome, self.now)

    @stateful.rule(seconds=st.sampled_from([0.0, 0.1, 100.0, TICKET_TTL_S]))
    def advance(self, seconds):
        """Advance the clock."""
        self.now += seconds

    @stateful.invariant()
    def is_bounded(self):
        """Check that the table does not exceed its limit."""
        assert len(self.table) <= 3


TicketMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


class TicketStateTest(TicketMachine.TestCase):
    pass


class RequestTableTest(unittest.TestCase):

    def setUp(self):
        self.table = RequestTable(len)
        self.table.begin("k", b"pay 7", None, 1.0)

    def test_same_key_with_another_body_is_refused(self):
        result = self.table.begin("k", b"pay 8", None, 1.1)
        self.assertEqual(result, KeyReused())

    def test_waiting_repeats_receive_the_owners_answer_on_release(self):
        repeat = self.table.begin("k", b"pay 7", None, 1.1)
        self.table.release("k", b"paid elsewhere")
        answer = run_without_loop(repeat.run.wait(0.0))
        self.assertEqual(answer, b"paid elsewhere")
        self.assertEqual(len(self.table), 0)

    def test_repeat_after_not_run_keeps_its_claim(self):
        first = RequestTable(len)
        first_result = first.begin("k", b"pay 7", None, 1.0)
        first.finish("k", b"refused", Outcome.NOT_RUN, 1.1)
        self.assertEqual(first.begin("k", b"pay 7", None, 1.2), first_result)

    def test_owner_without_a_record_never_runs(self):
        self.assertEqual(self.table.resume("x", b"pay 7", 1.0), RecordExpired())


if __name__ == "__main__":
    unittest.main()
