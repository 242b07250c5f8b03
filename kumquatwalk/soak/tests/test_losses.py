"""Tests of the counts of requests without a true answer."""

import dataclasses
import pathlib
import tempfile
import unittest

from kumquatwalk.soak.losses import count_losses
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.scripted_target import Run

PID = 7
STOP = PlannedWork("n1", PID, 100.0, True)
CUT = Attempt("a", "pool", True, "n1", PID, 1, 2, False, 10, 99.0, 99.0, 101.0)
RUN = Run("a", None, 99.1, True, 100.9)
LOG = """event=request_unanswered node=n1 stage=passed_on end=process_end x=1
event=request_outcome_unknown node=n1 attempt=a tried=n2 code=link_failed
"""


def change(entry, **fields):
    """Return a changed copy."""
    return dataclasses.replace(entry, **fields)


class CountLossesTest(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def count(self, attempt, *runs, works=(STOP,)):
        """Return the counts for one attempt."""
        runs = {"a": [("n2", run) for run in runs]} if runs else {}
        record = PlatformRecord([attempt], runs, works, ())
        return count_losses(record, self.folder)

    def test_cut_of_a_run_counts_on_both_sides(self):
        expected = {"caller running LOST": 1, "target not_answered LOST": 1}
        self.assertEqual(self.count(CUT, RUN), expected)
        call = change(CUT, habit="call")
        self.assertIn("call running LOST", self.count(call, RUN))

    def test_stage_tells_how_far_a_request_had_come(self):
        ended = change(RUN, is_aborted=False)
        for changes, runs, stage in (
            ({}, (ended,), "run"),
            ({}, (), "read"),
            ({"received": 3}, (ended,), "answering"),
            ({"status": 502}, (ended,), "own_502"),
        ):
            with self.subTest(stage):
                counts = self.count(change(CUT, **changes), *runs)
                self.assertEqual(counts, {f"caller {stage} LOST": 1})

    def test_refusals_and_whole_answers_do_not_count(self):
        self.assertEqual(self.count(change(CUT, status=503)), {})
        whole = change(CUT, status=200, has_seal=True, has_body=True)
        self.assertEqual(self.count(whole, change(RUN, is_aborted=False)), {})

    def test_run_that_was_repeated_counts_at_its_target_only(self):
        whole = change(CUT, status=200, has_seal=True, has_body=True)
        again = change(RUN, is_aborted=False)
        counts = self.count(whole, RUN, again, works=())
        self.assertEqual(counts, {"target answered none": 1})

    def test_run_of_a_caller_that_left_is_not_broken_off(self):
        left = change(CUT, error="left", ended_at=100.9)
        self.assertEqual(self.count(left, RUN), {"caller running left": 1})
        later = change(left, ended_at=101.1)
        self.assertIn("target not_answered left", self.count(later, RUN))

    def test_cause_without_work_at_the_own_node(self):
        stop = PlannedWork("n2", 8, 100.0, True)
        counts = self.count(CUT, RUN, works=(stop,))
        self.assertIn("caller running stop_elsewhere", counts)
        self.assertIn("caller running none", self.count(CUT, RUN, works=()))

    def test_logs_are_counted_by_stage_and_end(self):
        (self.folder / "n1-1.log").write_text(LOG, encoding="utf-8")
        whole = change(CUT, status=200, has_seal=True, has_body=True)
        expected = {
            "log passed_on process_end": 1,
            "log outcome_unknown link_failed": 1,
        }
        self.assertEqual(self.count(whole), expected)


if __name__ == "__main__":
    unittest.main()
