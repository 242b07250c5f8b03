"""Tests of the check of cuts beside a new configuration."""

import dataclasses
import unittest

from kumquatwalk.soak.manifest_cuts import check_manifest_cuts
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.scripted_target import Run

CUT = Attempt("a", "pool", True, "n1", 7, 1, 2, False, 10, 99.0, 99.0, 101.0)
RUN = Run("a", None, 99.1, True, 100.9)
MANIFEST = 100.0


def change(entry, **fields):
    """Return a changed copy."""
    return dataclasses.replace(entry, **fields)


class ManifestCutsTest(unittest.TestCase):

    def check(self, *attempts, works=()):
        """Return the nodes found to cut requests; all requests ran."""
        runs = {a.attempt_id: [("n2", RUN)] for a in attempts}
        record = PlatformRecord(
            attempts, runs, works, (), manifests=(MANIFEST,)
        )
        return [violation.name for violation in check_manifest_cuts(record)]

    def make_others(self, cuts, count):
        """Return requests at another time, some of which were cut."""
        later = change(CUT, began_at=109.0, sent_at=109.0, ended_at=110.0)
        whole = change(later, status=200, has_seal=True, has_body=True)
        return [
            change(later if number < cuts else whole, attempt_id=f"o{number}")
            for number in range(count)
        ]

    def test_cut_beside_a_configuration_is_lost(self):
        self.assertEqual(self.check(CUT, *self.make_others(0, 10)), ["n1"])

    def test_cuts_as_frequent_at_other_times_do_not_count(self):
        self.assertEqual(self.check(CUT, *self.make_others(4, 10)), [])
        self.assertEqual(self.check(CUT, *self.make_others(3, 10)), ["n1"])

    def test_request_that_has_used_its_time_does_not_count(self):
        used = change(CUT, began_at=97.4, sent_at=97.4)
        self.assertEqual(self.check(used, *self.make_others(0, 10)), [])

    def test_cut_after_the_bound_or_of_a_stopped_process_does_not_count(self):
        others = self.make_others(0, 10)
        late = change(CUT, began_at=102.0, sent_at=102.0, ended_at=103.1)
        self.assertEqual(self.check(late, *others), [])
        stop = PlannedWork("n1", 7, 100.5, True)
        self.assertEqual(self.check(CUT, *others, works=(stop,)), [])

    # Guards against a caller that closed at a request's limit being taken for a
    # node that cut what stood behind it.
    def test_close_by_the_caller_at_a_limit_is_no_cut(self):
        first = change(
            CUT,
            attempt_id="n1-1-1",
            began_at=95.0,
            sent_at=95.0,
            error="limit",
        )
        behind = change(CUT, attempt_id="n1-1-2", error="limit")
        others = self.make_others(0, 10)
        self.assertEqual(self.check(first, behind, *others), [])
        for changed in (
            (first, change(behind, error="ended")),
            (first, change(behind, error="ConnectionResetError")),
            (first, change(behind, connection=2)),
            (change(first, attempt_id="n1-2-1"), behind),
            (change(first, ended_at=99.9), behind),
            (behind,),
        ):
            with self.subTest(changed):
                self.assertEqual(self.check(*changed, *others), ["n1"])


if __name__ == "__main__":
    unittest.main()
