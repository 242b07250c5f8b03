"""Tests of the record of a target's state."""

import unittest

from kumquatwalk.address import Address
from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState
from kumquatwalk.targets.record import LATE_HEARTBEAT_MAX_S
from kumquatwalk.targets.record import TargetRecord


def make_heartbeat(**changes) -> Heartbeat:
    """Return a heartbeat with default values, changed by the arguments."""
    values = {
        "target_id": "i-1",
        "service": "web",
        "address": Address("10.0.0.1", 80),
        "availability_zone": "z1",
        "slots": 8,
        "state": TargetState.READY,
        "cold_left_s": 0.0,
        "incarnation": 1000,
        "sequence": 1,
    }
    return Heartbeat(**{**values, **changes})


def apply(*heartbeats: Heartbeat) -> TargetRecord:
    """Return a new record updated by heartbeats in order."""
    record = TargetRecord()
    for heartbeat in heartbeats:
        record = record.handle_heartbeat(heartbeat, 10.0)
    return record


def find_by_probe(**fields) -> TargetRecord:
    """Return a record whose target is known and has answered a probe."""
    record = TargetRecord(**fields).add_known("i-1")
    return record.handle_probe("i-1", 8, 9.0, 9.1)


class TargetRecordTest(unittest.TestCase):

    def test_older_sequence_is_ignored(self):
        record = apply(
            make_heartbeat(sequence=5, state=TargetState.DRAINING),
            make_heartbeat(sequence=4),
        )
        self.assertIs(record.state, TargetState.DRAINING)

    def test_older_incarnation_is_ignored(self):
        record = apply(
            make_heartbeat(target_id="i-2", incarnation=2000),
            make_heartbeat(
                target_id="i-1",
                incarnation=1000,
                sequence=99,
                state=TargetState.DRAINING,
            ),
        )
        self.assertEqual(record.target_id, "i-2")
        self.assertIs(record.state, TargetState.READY)

    def test_new_incarnation_restarts_the_sequence(self):
        record = apply(
            make_heartbeat(sequence=50, state=TargetState.DRAINING),
            make_heartbeat(sequence=1, incarnation=2000),
        )
        self.assertIs(record.state, TargetState.READY)
        self.assertEqual(record.sequence, 1)

    def test_draining_target_does_not_become_ready_again(self):
        record = apply(
            make_heartbeat(sequence=1, state=TargetState.DRAINING),
            make_heartbeat(sequence=2, state=TargetState.READY),
        )
        self.assertIs(record.state, TargetState.DRAINING)

    def test_deregistered_target_does_not_become_ready_again(self):
        record = apply(make_heartbeat()).handle_departure("i-1")
        record = record.handle_heartbeat(make_heartbeat(sequence=2), 10.0)
        self.assertIs(record.state, TargetState.GONE)

    def test_deregistration_of_another_target_is_ignored(self):
        record = apply(make_heartbeat()).handle_departure("i-0")
        self.assertIs(record.state, TargetState.READY)

    def test_replaced_target_without_incarnation_is_ignored(self):
        record = apply(
            make_heartbeat(target_id="i-1", incarnation=0, sequence=3),
            make_heartbeat(target_id="i-2", incarnation=0, sequence=1),
            make_heartbeat(target_id="i-1", incarnation=0, sequence=4),
        )
        self.assertEqual(record.target_id, "i-2")

    def test_probe_changes_only_the_unknown_state(self):
        record = find_by_probe()
        self.assertIs(record.state, TargetState.READY)
        record = apply(make_heartbeat(state=TargetState.DRAINING)).handle_probe(
            "i-1", 8, 10.0, 10.0
        )
        self.assertIs(record.state, TargetState.DRAINING)

    # Guards against ROUTE: the address of a target that had ended went to one
    # of another service, which answered the health check and was used.
    def test_probe_opens_no_target_of_an_unknown_service(self):
        new = TargetRecord(is_probed=True)
        replaced = find_by_probe(is_probed=True).mark_replaced()
        for record in (new, new.handle_departure("i-2"), replaced):
            record = record.handle_probe("i-2", 8, 9.3, 9.4)
            self.assertIsNot(record.state, TargetState.READY)
            self.assertNotEqual(record.known, {"i-2"})

    def test_target_that_a_heartbeat_has_named_is_opened_by_a_probe(self):
        replaced = find_by_probe(is_probed=True).mark_replaced()
        named = make_heartbeat(target_id="i-2", incarnation=0)
        record = replaced.handle_heartbeat(named, 9.3)
        record = record.handle_probe("i-2", 8, 9.4, 9.5)
        self.assertEqual(
            (record.target_id, record.state), ("i-2", TargetState.READY)
        )

    def test_target_of_another_service_is_not_used_again(self):
        ready = find_by_probe(is_probed=True)
        record = ready.remove_known("i-1")
        self.assertIs(record.state, TargetState.UNKNOWN)
        record = record.handle_probe("i-1", 8, 9.3, 9.4)
        self.assertIs(record.state, TargetState.UNKNOWN)
        self.assertIs(ready.remove_known("i-2"), ready)

    # Guards against a sound target staying out because its health check fails.
    def test_heartbeats_that_go_on_count_without_a_probe(self):
        record = TargetRecord(is_probed=True)
        for sequence, now in ((1, 0.0), (2, LATE_HEARTBEAT_MAX_S)):
            heartbeat = make_heartbeat(sequence=sequence)
            record = record.handle_heartbeat(heartbeat, now)
            self.assertIs(record.state, TargetState.UNKNOWN)
        now = LATE_HEARTBEAT_MAX_S + 0.1
        again = record.handle_heartbeat(make_heartbeat(sequence=1), now)
        self.assertIs(again.state, TargetState.UNKNOWN)
        record = record.handle_heartbeat(make_heartbeat(sequence=3), now)
        self.assertIs(record.state, TargetState.READY)

    def test_probe_that_was_sent_before_a_heartbeat_does_not_confirm_it(self):
        record = TargetRecord(is_probed=True).handle_departure("i-1")
        record = record.handle_heartbeat(make_heartbeat(), 10.0)
        record = record.handle_probe("i-1", 8, 9.9, 10.1)
        self.assertIs(record.state, TargetState.GONE)

    # Guards against a target that is started again under its identifier staying
    # out: the start before was dropped with a heartbeat that came during a
    # probe, so that the departure seemed to be of the new one.
    def test_heartbeat_that_comes_during_a_probe_tells_the_start(self):
        record = TargetRecord(is_probed=True)
        record = record.handle_heartbeat(make_heartbeat(sequence=7), 9.05)
        record = record.handle_probe("i-1", 8, 9.0, 9.1)
        self.assertIs(record.state, TargetState.READY)
        self.assertEqual((record.incarnation, record.sequence), (1000, 7))
        left = record.mark_leaving()
        for incarnation, state in (
            (1000, TargetState.DRAINING),
            (2000, TargetState.READY),
        ):
            heartbeat = make_heartbeat(incarnation=incarnation, sequence=8)
            record = left.handle_heartbeat(heartbeat, 9.2)
            self.assertIs(record.state, state)

    # Guards against a target that is started again under its identifier staying
    # out: the start before was known from health checks only.
    def test_target_of_unknown_start_that_left_is_used_after_a_restart(self):
        left = find_by_probe(is_probed=True).mark_leaving()
        first = make_heartbeat(incarnation=2000, sequence=1)
        record = left.handle_heartbeat(first, 10.0)
        self.assertIs(record.state, TargetState.DRAINING)
        late = make_heartbeat(incarnation=2000, sequence=2)
        record = record.handle_heartbeat(late, 10.0 + LATE_HEARTBEAT_MAX_S)
        self.assertIs(record.state, TargetState.DRAINING)
        last = make_heartbeat(incarnation=2000, sequence=3)
        now = 10.1 + LATE_HEARTBEAT_MAX_S
        record = record.handle_heartbeat(last, now)
        self.assertIs(record.state, TargetState.READY)
        self.assertEqual(record.incarnation, 2000)

    # Guards against DRAIN: a late heartbeat of a target that leaves, of a start
    # that is not known and still answers health checks, brings it back.
    def test_probe_does_not_bring_back_a_target_that_leaves(self):
        record = find_by_probe(is_probed=True).mark_leaving()
        record = record.handle_heartbeat(make_heartbeat(), 10.0)
        record = record.handle_probe("i-1", 8, 10.1, 10.2)
        self.assertIs(record.state, TargetState.DRAINING)
        leaving = make_heartbeat(state=TargetState.DRAINING, sequence=2)
        record = record.handle_heartbeat(leaving, 10.3)
        self.assertIs(record.state, TargetState.DRAINING)
        self.assertEqual(record.incarnation, 1000)
        late = make_heartbeat(sequence=3)
        now = 10.4 + LATE_HEARTBEAT_MAX_S
        record = record.handle_heartbeat(late, now)
        self.assertIs(record.state, TargetState.DRAINING)

    def test_departure_that_others_remember_ends_with_another_start(self):
        record = find_by_probe(is_probed=True).apply_departure(1000)
        self.assertIs(record.state, TargetState.DRAINING)
        record = record.handle_heartbeat(make_heartbeat(sequence=7), 9.2)
        self.assertIs(record.state, TargetState.DRAINING)
        started = make_heartbeat(incarnation=2000)
        record = record.handle_heartbeat(started, 9.3).apply_departure(1000)
        self.assertIs(record.state, TargetState.READY)

    def test_other_start_is_told_from_another_report_of_the_same(self):
        probed = find_by_probe()
        ready = probed.handle_heartbeat(make_heartbeat(), 9.2)
        left = ready.mark_leaving()
        again = make_heartbeat(incarnation=2000)
        replaced = ready.mark_replaced().add_known("i-2")
        for before, record, expected in (
            (TargetRecord(), probed, False),
            (probed, ready, False),
            (ready, left, False),
            (ready, replaced, False),
            (replaced, replaced.handle_probe("i-1", 8, 9.3, 9.4), False),
            (replaced, replaced.handle_probe("i-2", 8, 9.3, 9.4), True),
            (left, left.handle_heartbeat(again, 9.3), True),
            (ready, ready.handle_heartbeat(again, 9.3), True),
        ):
            with self.subTest(before=before, record=record):
                self.assertIs(record.is_of_other_start(before), expected)

    def test_target_of_unknown_start_that_is_ready_again_is_another_one(self):
        left = TargetRecord(is_probed=True).handle_departure("i-1")
        waiting = left.handle_heartbeat(make_heartbeat(incarnation=0), 9.0)
        self.assertFalse(waiting.is_of_other_start(left))
        ready = waiting.handle_probe("i-1", 8, 9.1, 9.2)
        self.assertIs(ready.state, TargetState.READY)
        self.assertTrue(ready.is_of_other_start(waiting))

    def test_unplaced_heartbeat_does_not_replace_the_target(self):
        record = find_by_probe(is_probed=True)
        record = record.handle_heartbeat(make_heartbeat(sequence=5), 9.2)
        for state in (TargetState.READY, TargetState.DRAINING):
            other = make_heartbeat(target_id="i-2", incarnation=0, state=state)
            record = record.handle_heartbeat(other, 9.3)
        record = record.handle_probe("i-1", 8, 9.4, 9.5)
        self.assertEqual(
            (record.target_id, record.state), ("i-1", TargetState.READY)
        )
        self.assertIsNone(record.unconfirmed)
        heartbeat = make_heartbeat(sequence=6, state=TargetState.DRAINING)
        record = record.handle_heartbeat(heartbeat, 9.6)
        self.assertIs(record.state, TargetState.DRAINING)

    # Guards against the departure of a target being forgotten because another
    # one was current when it came.
    def test_late_heartbeat_after_a_departure_does_not_make_it_current(self):
        record = find_by_probe(is_probed=True)
        record = record.handle_heartbeat(make_heartbeat(), 9.2)
        record = record.handle_departure("i-2")
        late = make_heartbeat(target_id="i-2", incarnation=2000)
        record = record.handle_heartbeat(late, 9.3)
        self.assertEqual(record.target_id, "i-1")


if __name__ == "__main__":
    unittest.main()
