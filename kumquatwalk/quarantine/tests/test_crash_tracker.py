"""Tests of attributing crashes of targets to requests."""

import unittest

from kumquatwalk.quarantine import CrashTable
from kumquatwalk.quarantine import CrashStatus
from kumquatwalk.quarantine import CrashTracker
from kumquatwalk.quarantine import RequestContent

BAD = RequestContent("pay", b"POST", b"/pay", b"bad")
GOOD = RequestContent("pay", b"POST", b"/pay", b"good")


class CrashTrackerTest(unittest.TestCase):

    def setUp(self):
        self.one = CrashTracker(CrashTable(), self._send)
        self.two = CrashTracker(CrashTable(), self._send)
        self.trackers = (self.one, self.two)

    def _send(self, payload: bytes) -> None:
        for tracker in self.trackers:
            tracker.handle_broadcast(payload, 0.0)

    def _run(
        self, tracker: CrashTracker, run_id: str, content: RequestContent
    ) -> None:
        tracker.begin(run_id, content, 0.0)

    def test_second_crash_quarantines_at_every_node(self):
        for number, tracker in enumerate(self.trackers):
            self._run(tracker, f"r{number}", BAD)
            tracker.record_crash(f"r{number}", 0.0)
            tracker.end(f"r{number}", False, 0.0)
        for tracker in self.trackers:
            self.assertIs(tracker.classify(BAD, 0.0), CrashStatus.QUARANTINED)

    def test_one_crash_counts_once_for_all_its_runs(self):
        for run_id in ("r1", "r2"):
            self._run(self.one, run_id, BAD)
        for run_id in ("r1", "r2"):
            self.one.record_crash(run_id, 0.0)
            self.one.end(run_id, False, 0.0)
        self.assertIs(self.one.classify(BAD, 0.0), CrashStatus.SUSPECT)

    def test_answer_clears_a_request_that_ran_beside_the_cause(self):
        self._run(self.one, "r1", BAD)
        self._run(self.one, "r2", GOOD)
        self.one.record_crash("r1", 0.0)
        self.one.end("r1", False, 0.0)
        self.one.end("r2", False, 0.0)
        self.assertIs(self.two.classify(GOOD, 0.0), CrashStatus.SUSPECT)
        self._run(self.two, "r3", GOOD)
        self.two.end("r3", True, 0.0)
        for tracker in self.trackers:
            self.assertIs(tracker.classify(GOOD, 0.0), CrashStatus.CLEAR)
            self.assertIs(tracker.classify(BAD, 0.0), CrashStatus.SUSPECT)

    def test_malformed_report_changes_nothing(self):
        self._send(b"nonsense")
        self.assertIs(self.trackers[0].classify(BAD, 0.0), CrashStatus.CLEAR)

    def test_mark_is_used_before_the_broadcast_arrives(self):
        self.trackers = ()
        self._run(self.one, "r1", BAD)
        mark = self.one.record_crash("r1", 0.0)
        self.assertIs(self.two.classify(BAD, 0.0), CrashStatus.CLEAR)
        self.two.record_marks(mark, BAD, 0.0)
        self._run(self.two, "r2", BAD)
        marks = mark + self.two.record_crash("r2", 0.0)
        three = CrashTracker(CrashTable(), self._send)
        three.record_marks(marks, BAD, 0.0)
        self.assertIs(three.classify(BAD, 0.0), CrashStatus.QUARANTINED)

    def test_malformed_marks_change_nothing(self):
        self.one.record_marks(b"nonsense", BAD, 0.0)
        self.assertIs(self.one.classify(BAD, 0.0), CrashStatus.CLEAR)
