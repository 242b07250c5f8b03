"""Tests of attributing crashes of targets to requests."""

import unittest

from kumquatwalk.quarantine import CrashTable
from kumquatwalk.quarantine import CrashVerdict
from kumquatwalk.quarantine import CrashWatch

BAD = b"b" * 16
GOOD = b"g" * 16


class CrashTrackerTest(unittest.TestCase):

    def setUp(self):
        self.one = CrashWatch("n1", 1, CrashTable(), self._send)
        self.two = CrashWatch("n2", 1, CrashTable(), self._send)
        self.trackers = (self.one, self.two)

    def _send(self, payload: bytes) -> None:
        for tracker in self.trackers:
            tracker.take_broadcast(payload, 0.0)

    def _run(
        self, tracker: CrashWatch, run_id: str, fingerprint: bytes
    ) -> None:
        verdict = tracker.judge(fingerprint, 0.0)
        tracker.begin(run_id, fingerprint, verdict)

    def test_second_crash_quarantines_at_every_node(self):
        for number, tracker in enumerate(self.trackers):
            self._run(tracker, f"r{number}", BAD)
            tracker.note_crash(f"r{number}", 0.0)
            tracker.end(f"r{number}", False, 0.0)
        for tracker in self.trackers:
            self.assertIs(tracker.judge(BAD, 0.0), CrashVerdict.QUARANTINED)

    def test_one_crash_counts_once_for_all_its_runs(self):
        for run_id in ("r1", "r2"):
            self._run(self.one, run_id, BAD)
        for run_id in ("r1", "r2"):
            self.one.note_crash(run_id, 0.0)
            self.one.end(run_id, False, 0.0)
        self.assertIs(self.one.judge(BAD, 0.0), CrashVerdict.SUSPECT)

    def test_answer_clears_a_request_that_ran_beside_the_cause(self):
        self._run(self.one, "r1", BAD)
        self._run(self.one, "r2", GOOD)
        self.one.note_crash("r1", 0.0)
        self.one.end("r1", False, 0.0)
        self.one.end("r2", False, 0.0)
        self.assertIs(self.two.judge(GOOD, 0.0), CrashVerdict.SUSPECT)
        self._run(self.two, "r3", GOOD)
        self.two.end("r3", True, 0.0)
        for tracker in self.trackers:
            self.assertIs(tracker.judge(GOOD, 0.0), CrashVerdict.CLEAR)
            self.assertIs(tracker.judge(BAD, 0.0), CrashVerdict.SUSPECT)

    def test_malformed_report_changes_nothing(self):
        self._send(b"nonsense")
        self.assertIs(self.trackers[0].judge(BAD, 0.0), CrashVerdict.CLEAR)

    def test_mark_is_used_before_the_broadcast_arrives(self):
        self.trackers = ()
        self._run(self.one, "r1", BAD)
        mark = self.one.note_crash("r1", 0.0)
        self.assertIs(self.two.judge(BAD, 0.0), CrashVerdict.CLEAR)
        self.two.take_marks(mark, BAD, 0.0)
        self._run(self.two, "r2", BAD)
        marks = mark + self.two.note_crash("r2", 0.0)
        three = CrashWatch("n3", 1, CrashTable(), self._send)
        three.take_marks(marks, BAD, 0.0)
        self.assertIs(three.judge(BAD, 0.0), CrashVerdict.QUARANTINED)

    def test_malformed_marks_change_nothing(self):
        self.one.take_marks(b"nonsense", BAD, 0.0)
        self.assertIs(self.one.judge(BAD, 0.0), CrashVerdict.CLEAR)
