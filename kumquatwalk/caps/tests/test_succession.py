"""Tests of the record in the store: who may lend, and how much."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.caps.record import CapRecord
from kumquatwalk.caps.record import decode_record
from kumquatwalk.caps.record import encode_record
from kumquatwalk.caps.right import LEFTOVER_S
from kumquatwalk.caps.right import RECORD_LIFETIME_S
from kumquatwalk.caps.right import LendingRight
from kumquatwalk.caps.succession import RecordObserver
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.platform.store_position import StorePosition

PROCESSES = 3


class Process:
    """One process that may hold the record."""

    def __init__(self, node: str, incarnation: int):
        self.right = LendingRight()
        self.observer = RecordObserver(node, incarnation)

    def step(self, store: dict, now: float, is_answer_lost: bool) -> None:
        """Read the record and write it by compare-and-swap."""
        observer = self.observer
        observer.observe(store["record"], store["position"], now)
        if not observer.holds_record and store["record"] is not None:
            self.right.lose()
        record = observer.plan(self.right, True, now)
        if record is None:
            return
        store["record"] = record
        store["position"] = StorePosition(1, store["position"].revision + 1)
        if not is_answer_lost:
            observer.observe(record, store["position"], now)
            self.right.confirm(record.fraction, now, now)


class SuccessionTest(unittest.TestCase):

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([0.5, 9.0, 15.0, 31.0, 300.0, 601.0]),
                st.integers(0, PROCESSES - 1),
                st.sampled_from(["step", "step", "step", "lost", "restart"]),
            ),
            max_size=60,
        )
    )
    def test_shares_never_exceed_the_whole(self, schedule):
        # Guards against two processes that both take a record for their own:
        # those cut off from the store, restarted, or whose answers are lost.
        store = {"record": None, "position": ABSENT}
        processes = [Process(str(n), 1) for n in range(PROCESSES)]
        now = 0.0
        for count, (pause_s, number, action) in enumerate(schedule, 2):
            now += pause_s
            if action == "restart":
                processes[number] = Process(str(number), count)
            else:
                processes[number].step(store, now, action == "lost")
            for at in (now, now + 1.0, now + RECORD_LIFETIME_S):
                total = sum(p.right.measure_share(at) for p in processes)
                self.assertLessEqual(total, 1.0)

    def test_holder_goes_on_with_half_and_then_ends(self):
        right = LendingRight()
        right.confirm(1.0, 10.0, 10.1)
        self.assertEqual(right.measure_share(39.0), 1.0)
        self.assertEqual(right.measure_share(41.0), 0.5)
        end = 10.0 + RECORD_LIFETIME_S + LEFTOVER_S
        self.assertEqual(right.measure_share(end), 0.0)

    def test_restarted_process_takes_its_own_record_back_at_once(self):
        observer = RecordObserver("a", 2)
        observer.observe(CapRecord("a", 1, 1.0), StorePosition(1, 5), 0.0)
        record = observer.plan(LendingRight(), False, 0.1)
        self.assertEqual(record, CapRecord("a", 2, 1.0))

    def test_successor_of_an_expired_record_starts_with_half(self):
        observer, right = RecordObserver("b", 1), LendingRight()
        position = StorePosition(1, 5)
        observer.observe(CapRecord("a", 1, 1.0), position, 0.0)
        observer.observe(CapRecord("a", 1, 1.0), position, 29.0)
        self.assertIsNone(observer.plan(right, True, 29.0))
        record = observer.plan(right, True, 31.0)
        self.assertEqual(record.fraction, 0.5)
        right.confirm(0.5, 31.0, 31.0)
        observer.observe(record, StorePosition(1, 6), 31.0)
        self.assertEqual(observer.plan(right, True, 600.0).fraction, 0.5)
        self.assertEqual(observer.plan(right, True, 632.0).fraction, 1.0)

    def test_released_record_is_taken_whole_by_a_candidate_only(self):
        observer = RecordObserver("b", 1)
        observer.observe(CapRecord("", 1, 1.0), StorePosition(1, 5), 0.0)
        right = LendingRight()
        self.assertIsNone(observer.plan(right, False, 0.0))
        self.assertEqual(observer.plan(right, True, 0.0).fraction, 1.0)

    def test_a_restore_that_lost_the_record_makes_no_second_holder(self):
        # The process that lends is not in the copy; it writes its record again.
        observer = RecordObserver("b", 1)
        observer.handle_restore(0.0)
        observer.observe(None, ABSENT, 0.0)
        self.assertIsNone(observer.plan(LendingRight(), True, 1.0))
        right = LendingRight()
        right.confirm(1.0, 0.0, 0.0)
        self.assertEqual(observer.plan(right, False, 1.0).holder, "b")

    def test_records_round_trip_and_spoiled_ones_are_rejected(self):
        record = CapRecord("a", 7, 0.5)
        self.assertEqual(decode_record(encode_record(record)), record)
        for value in (b"", b"[]", b'{"holder":1,"incarnation":1,"fraction":1}'):
            with self.assertRaises(PlatformFormatError):
                decode_record(value)
