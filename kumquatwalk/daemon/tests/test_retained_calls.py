"""Tests of the table of calls that must not run twice."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from kumquatwalk import codes
from kumquatwalk.daemon.retained_calls import MARGIN_S
from kumquatwalk.daemon.retained_calls import RETENTION_MAX_S
from kumquatwalk.daemon.retained_calls import RetainedCalls
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

UNKNOWN = Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)
LOST = Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
REFUSED = Reply(Outcome.NOT_RUN, codes.QUEUE_FULL)


def _answer(size: int) -> Reply:
    return Reply(Outcome.DONE, status=200, body=b"r" * size)


class RetainedCallsTest(unittest.TestCase):

    def setUp(self):
        self.budget = ByteBudget(4000)
        self.table = RetainedCalls(self.budget)

    def _run(self, key: int, reply: Reply, now: float = 1.0) -> None:
        self.assertIsNone(self.table.begin(key, now + 4.0, False, now))
        self.table.end(key, reply, now)

    def _ask(self, key: int, now: float = 2.0) -> Reply | None:
        return self.table.begin(key, 5.0, True, now)

    def test_copy_gets_the_reply_of_the_run(self):
        self._run(1, _answer(300))
        self._run(2, REFUSED)
        self.assertEqual(self._ask(1), _answer(300))
        self.assertEqual(self._ask(2), REFUSED)
        self.assertEqual(self.budget.used, 300)

    # Guards against LOST: a process over its memory by kept replies ends with
    # all requests in progress.
    def test_kept_replies_are_bounded_and_the_oldest_are_dropped_first(self):
        for key in range(50):
            self._run(key, _answer(300))
            self.assertLessEqual(self.budget.used, 1000)
        self.assertEqual(self._ask(49), _answer(300))
        self.assertEqual(self._ask(46), UNKNOWN)
        self._run(60, _answer(1001))
        self.assertEqual(self._ask(60), UNKNOWN)
        self.assertEqual(self.budget.used, 900)

    # Guards against LOST: replies kept that nobody will ask for.
    def test_reply_that_was_taken_is_dropped_and_its_call_is_known(self):
        self._run(1, _answer(300))
        self.table.release_reply(1)
        self.table.release_reply(1)
        self.assertEqual(self.budget.used, 0)
        self.assertEqual(self._ask(1), UNKNOWN)
        self.assertIsNone(self.table.begin(2, 5.0, False, 1.0))
        self.table.release_reply(2)
        self.table.end(2, _answer(300), 1.0)
        self.assertEqual(self.budget.used, 0)
        self.assertEqual(self._ask(2), UNKNOWN)
        self.table.release_reply(3)
        self.assertEqual(len(self.table), 2)

    # Guards against TWICE: a call is forgotten while its peer may ask again.
    def test_call_is_known_until_its_deadline_has_passed(self):
        self.assertIsNone(self.table.begin(1, 60.0, False, 1.0))
        self.table.forget_old(200.0)
        self.assertEqual(len(self.table), 1)
        self.table.end(1, _answer(10), 50.0)
        self.assertEqual(self._ask(1, 60.0 + MARGIN_S), _answer(10))
        self.table.forget_old(60.1 + MARGIN_S)
        self.assertEqual((len(self.table), self.budget.used), (0, 0))

    def test_time_of_an_ended_call_is_bounded(self):
        self.assertIsNone(self.table.begin(1, 1e9, False, 0.0))
        self.table.end(1, _answer(10), 1.0)
        self.table.forget_old(RETENTION_MAX_S + 1.0)
        self.assertEqual((len(self.table), self.budget.used), (0, 0))

    # Guards against LOST: a call that was lost with its link was answered as
    # if it might have run; and against TWICE and REFUSED: its late first copy
    # is run.
    def test_copy_of_a_lost_call_is_refused_and_so_is_the_late_first_one(self):
        self.assertEqual(self._ask(1), LOST)
        for key in range(2, 9):
            self._run(key, REFUSED)
        self.assertEqual(self.table.begin(1, 5.0, False, 2.0), LOST)
        self.assertEqual(self._ask(1, 5.0 + MARGIN_S), LOST)
        self.table.forget_old(5.1 + MARGIN_S)
        self.assertEqual(len(self.table), 0)

    # Guards against TWICE: a copy of a forgotten call is run.
    def test_copy_of_a_call_that_may_be_forgotten_is_unknown(self):
        table = RetainedCalls(self.budget, ended_calls_max=1)
        for key in (1, 2):
            table.begin(key, 5.0, False, 1.0)
            table.end(key, _answer(10), 1.0)
        self.assertEqual(table.begin(1, 5.0, True, 5.0), UNKNOWN)
        self.assertEqual(table.begin(3, 5.0, True, 5.0), UNKNOWN)
        self.assertEqual(table.begin(4, 20.0, True, 5.1 + MARGIN_S), LOST)
        self.assertEqual(table.begin(5, 20.0, True, 20.1), UNKNOWN)

    # Guards against REFUSED: the late first copy of a call that was refused as
    # not run is run once the refusal is forgotten.
    def test_lost_call_that_cannot_be_remembered_is_unknown(self):
        self.assertEqual(self.table.begin(1, 1e9, True, 1.0), UNKNOWN)
        table = RetainedCalls(self.budget, ended_calls_max=1)
        self.assertEqual(table.begin(1, 5.0, True, 1.0), LOST)
        self.assertEqual(table.begin(2, 5.0, True, 1.0), UNKNOWN)
        self.assertEqual(table.begin(1, 5.0, False, 1.0), LOST)

    def test_number_of_ended_calls_is_bounded(self):
        table = RetainedCalls(self.budget, ended_calls_max=3)
        for key in range(9):
            table.begin(key, 5.0, False, 1.0)
            table.end(key, _answer(10), 1.0)
        self.assertEqual((len(table), self.budget.used), (3, 30))
        self.assertEqual(table.begin(0, 5.0, True, 1.0), UNKNOWN)


class RetainedCallsMachine(RuleBasedStateMachine):
    """Peers that send each call once, then copies of it, in any order.

    A peer sends a copy only until the call's deadline; the first copy may come
    after it, up to ``MARGIN_S`` after the deadline.
    """

    keys = st.integers(0, 7)

    def __init__(self):
        super().__init__()
        self.budget = ByteBudget(400)
        self.table = RetainedCalls(self.budget, ended_calls_max=4)
        self.now = 10.0
        self.deadlines: dict[int, float] = {}
        self.first_sent: set[int] = set()
        self.running: set[int] = set()
        self.run_counts: dict[int, int] = {}
        self.has_run: set[int] = set()
        self.told_not_run: set[int] = set()

    @rule(wait_s=st.sampled_from([0.0, 0.5, 3.0, 20.0]))
    def wait(self, wait_s):
        self.now += wait_s

    @rule(key=keys, is_resent=st.booleans(), time_s=st.sampled_from([1, 9]))
    def arrive(self, key, is_resent, time_s):
        """Deliver the first copy of a call or a later one."""
        deadline = self.deadlines.setdefault(key, self.now + time_s)
        is_late = self.now > deadline
        if not is_resent and (key in self.first_sent or is_late):
            return
        if not is_resent:
            self.first_sent.add(key)
        reply = self.table.begin(key, deadline, is_resent, self.now)
        if reply is None:
            self.running.add(key)
            self.run_counts[key] = self.run_counts.get(key, 0) + 1
            assert self.run_counts[key] == 1, "a second run"
            assert key not in self.told_not_run, "a run after 'not run'"
        elif reply.outcome is Outcome.NOT_RUN:
            assert key not in self.running and key not in self.has_run
            self.told_not_run.add(key)

    @rule(key=keys, size=st.integers(0, 120), is_refused=st.booleans())
    def end(self, key, size, is_refused):
        """End a run, or a call that was refused before it ran."""
        if key not in self.running:
            return
        self.running.discard(key)
        if not is_refused:
            self.has_run.add(key)
        reply = REFUSED if is_refused else _answer(size)
        self.table.end(key, reply, self.now)

    @rule(key=keys)
    def take(self, key):
        self.table.release_reply(key)

    @invariant()
    def bytes_are_bounded_and_counted_once(self):
        assert self.table.bytes_kept <= self.table.bytes_max
        assert self.budget.used == self.table.bytes_kept

    def teardown(self):
        for key in tuple(self.running):
            self.table.end(key, _answer(50), self.now)
        self.table.forget_old(self.now + 2 * RETENTION_MAX_S)
        assert (len(self.table), self.budget.used) == (0, 0)


class RetainedCallsMachineTest(unittest.TestCase):

    def test_no_call_runs_twice_and_no_byte_is_counted_twice(self):
        run_state_machine_as_test(
            RetainedCallsMachine,
            settings=settings(
                derandomize=True,
                max_examples=200,
                stateful_step_count=40,
                deadline=None,
            ),
        )


if __name__ == "__main__":
    unittest.main()
