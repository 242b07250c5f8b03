"""Tests of the admission state machine."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from kumquatwalk import codes
from kumquatwalk.admission.call import order_key
from kumquatwalk.admission.notice import Admitted
from kumquatwalk.admission.notice import Refused
from kumquatwalk.admission.state import AdmissionState
from kumquatwalk.admission.tests import samples
from kumquatwalk.membership.member import TargetState

LOAD_CODES = (codes.OVERLOADED, codes.QUEUE_FULL)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Random calls, runs, sheds and announcements over random times."""

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.state = AdmissionState(self.now)
        self.state.set_target(samples.make_target(slots=3), self.now)
        self.waiting = {}
        self.running = {}
        self.count = 0

    def take(self, notices):
        """Check and book verdicts."""
        for notice in notices:
            call = self.waiting.pop(notice.call_id)
            if isinstance(notice, Admitted):
                self.running[notice.call_id] = call
        refused = [n for n in notices if isinstance(n, Refused)]
        return [n.call_id for n in refused if n.code in LOAD_CODES]

    def step(self, notices):
        """Book verdicts and check the order of refusals for load."""
        known = dict(self.waiting)
        for call_id in self.take(notices):
            key = order_key(known[call_id])
            for other in self.waiting.values():
                assert order_key(other) <= key

    @stateful.rule(
        priority=st.integers(0, 1023),
        depth=st.integers(0, 2),
        remaining_s=st.floats(0.001, 0.5),
        is_suspect=st.booleans(),
    )
    def offer(self, priority, depth, remaining_s, is_suspect):
        """Offer one call."""
        self.count += 1
        deadline = self.now + remaining_s
        call = samples.make_call(
            self.count, priority, depth, deadline, is_suspect
        )
        self.waiting[call.call_id] = call
        before = self.state.in_flight
        self.step(self.state.offer(call, self.now))
        if self.state.in_flight > before:
            assert self.state.in_flight <= self.state.limit

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), is_shed=st.booleans())
    def finish(self, data, is_shed):
        """Finish one running call."""
        call_id = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[call_id]
        sample = samples.SHED if is_shed else samples.DONE
        self.step(self.state.finish(call_id, sample, self.now))

    @stateful.rule(seconds=st.floats(0.0, 0.2))
    def advance(self, seconds):
        """Let time pass."""
        self.now += seconds
        self.step(self.state.advance(self.now))

    @stateful.rule(target_state=st.sampled_from(list(TargetState)))
    def announce(self, target_state):
        """Let the target announce a state."""
        info = samples.make_target(3, target_state)
        self.step(self.state.set_target(info, self.now))

    @stateful.invariant()
    def counts_agree(self):
        """Each call offered waits, runs or had exactly one verdict."""
        assert self.state.queued == len(self.waiting)
        assert self.state.in_flight == len(self.running)
        suspects = sum(c.is_suspect for c in self.running.values())
        assert suspects <= 1

    @stateful.invariant()
    def no_room_is_wasted(self):
        """No call waits while another could run."""
        if self.state.queued:
            assert self.state.in_flight >= self.state.limit

    def teardown(self):
        """Finish all; nothing may stay in the queue."""
        while self.running:
            call_id = next(iter(self.running))
            del self.running[call_id]
            self.take(self.state.finish(call_id, samples.DONE, self.now))
        self.take(self.state.advance(self.now))
        assert not self.waiting


AdmissionMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)


class AdmissionMachineTest(AdmissionMachine.TestCase):
    """Runs the machine."""


class AdmissionStateTest(unittest.TestCase):
    """Single rules."""

    def setUp(self):
        self.state = AdmissionState(0.0)
        self.state.set_target(samples.make_target(slots=2), 0.0)

    def offer(self, call_id, now=0.0, **kwargs):
        call = samples.make_call(call_id, **kwargs)
        return self.state.offer(call, now)

    def test_in_progress_precedes_new_of_same_class(self):
        for call_id in (1, 2):
            self.offer(call_id)
        self.assertEqual(self.offer(3, priority=256), [])
        self.assertEqual(self.offer(4, priority=511, depth=1), [])
        notices = self.state.finish(1, samples.DONE, 0.001)
        self.assertEqual(notices, [Admitted(4, 0.001)])

    def test_entry_limit_is_shared_by_targets(self):
        self.state.set_targets(3)
        entry = samples.make_entry(in_flight=3)
        self.offer(1, entry=entry)
        refused = self.offer(2, entry=entry)
        self.assertEqual(refused, [Refused(2, codes.ENTRY_LIMIT)])

    def test_rate_limit(self):
        entry = samples.make_entry(rate_per_s=2.0)
        self.offer(1, entry=entry)
        refused = self.offer(2, entry=entry)
        self.assertEqual(refused, [Refused(2, codes.RATE_LIMIT)])
        self.assertEqual(self.offer(3, 0.6, entry=entry), [Admitted(3)])

    def test_hopeless_call_is_refused(self):
        self.offer(1)
        self.state.finish(1, samples.DONE, 0.5)
        self.offer(2, 0.5)
        refused = self.offer(3, 0.5, deadline=0.7)
        self.assertEqual(refused, [Refused(3, codes.DEADLINE_EXCEEDED)])

    def test_draining_refuses_queued_and_new_but_not_running(self):
        for call_id in (1, 2, 3):
            self.offer(call_id)
        leaving = samples.make_target(2, TargetState.DRAINING)
        refused = self.state.set_target(leaving, 0.1)
        self.assertEqual(refused, [Refused(3, codes.TARGET_LEAVING)])
        refused = self.offer(4, 0.1)
        self.assertEqual(refused, [Refused(4, codes.TARGET_LEAVING)])
        self.assertEqual(self.state.get_level(), -1)
        self.assertEqual(self.state.in_flight, 2)

    def test_cold_target_starts_small_and_grows(self):
        state = AdmissionState(0.0)
        cold = samples.make_target(40, TargetState.WARMING)
        state.set_target(cold, 0.0)
        self.assertEqual(state.limit, 4)
        for call_id in range(500):
            state.offer(samples.make_call(call_id), call_id * 0.001)
            if call_id >= 20:
                done = call_id - 20
                state.finish(done, samples.DONE, call_id * 0.001)
        self.assertGreaterEqual(state.limit, 15)

    def test_announcing_again_keeps_the_learnt_limit(self):
        self.offer(1)
        self.offer(2)
        self.state.finish(2, samples.SHED, 0.001)
        self.assertEqual(self.state.limit, 1)
        self.state.set_target(samples.make_target(slots=2), 0.01)
        self.assertEqual(self.state.limit, 1)


class AdmissionLevelTest(unittest.TestCase):
    """Effects of a level that half of the calls overrun."""

    def setUp(self):
        self.state = AdmissionState(0.0)
        self.state.set_target(samples.make_target(slots=10), 0.0)
        self.count = 0
        self.waiting = set()
        self.running = set()
        for step in range(2000):
            self.tick(step * 0.001)

    def tick(self, now):
        """Offer twice what ten slots with runs of 10 ms can do."""
        for priority in (100, 600):
            self.count += 1
            call = samples.make_call(self.count, priority)
            self.waiting.add(self.count)
            self.book(self.state.offer(call, now))
        running = sorted(self.running)
        if len(running) >= 10:
            self.running.discard(running[0])
            self.book(self.state.finish(running[0], samples.DONE, now))

    def book(self, notices):
        """Record verdicts."""
        for notice in notices:
            self.waiting.discard(notice.call_id)
            if isinstance(notice, Admitted):
                self.running.add(notice.call_id)

    def test_level_lies_between_the_two_priorities(self):
        self.assertIn(self.state.get_level(), range(100, 600))

    def test_level_recovers_without_load(self):
        while self.running:
            call_id = self.running.pop()
            self.book(self.state.finish(call_id, samples.DONE, 2.0))
        self.state.advance(2.5)
        self.state.advance(3.5)
        self.assertEqual(self.state.get_level(), 1023)


class StandingQueueTest(unittest.TestCase):
    """A queue that does not empty is kept short."""

    def test_stale_call_is_refused_with_those_after_it(self):
        state = AdmissionState(0.0)
        state.set_target(samples.make_target(slots=1), 0.0)
        state.offer(samples.make_call(1), 0.0)
        for call_id in (2, 3):
            state.offer(samples.make_call(call_id, 100 * call_id), 0.0)
        self.assertEqual(state.advance(0.05), [])
        state.offer(samples.make_call(4, 400), 0.095)
        state.offer(samples.make_call(5, 100), 0.095)
        refused = state.advance(0.11)
        expected = [Refused(call_id, codes.OVERLOADED) for call_id in (2, 3, 4)]
        self.assertEqual(refused, expected)
