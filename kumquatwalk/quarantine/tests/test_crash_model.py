"""Tests of the quarantine in a model of a fleet, in virtual time."""

import unittest

from kumquatwalk.quarantine.tests.crash_model import CrashModel
from kumquatwalk.quarantine.tests.crash_model import ModelSettings

SEEDS = range(8)
# Runs of one request that may begin later than 3 s after its third crash.
LATE_RUNS_MAX = 3
SMALL = {"targets": 3, "linked": 2}
LARGE = {"targets": 59, "linked": 9}


class CrashModelTest(unittest.TestCase):

    def _play(self, **fields) -> list[CrashModel]:
        models = []
        for seed in SEEDS:
            model = CrashModel(ModelSettings(seed=seed, **fields))
            model.play()
            self.assertTrue(model.crash_times)
            models.append(model)
        return models

    # Guards against incident inc1 (BUDGET): a request that ended three targets
    # went on reaching targets.
    def test_few_runs_begin_once_a_request_has_crashed_three_targets(self):
        for name, fields in (
            ("three targets", SMALL),
            ("reports lost", {**SMALL, "lost_share": 0.3}),
            ("two such requests", {**SMALL, "poison_contents": 2}),
            ("four such requests", {**SMALL, "poison_contents": 4}),
            ("subsets", LARGE),
            ("subsets, many copies", {**LARGE, "poison_per_s": 100.0}),
            ("subsets, reports lost", {**LARGE, "lost_share": 0.5}),
            (
                "subsets, reports late",
                {"targets": 195, "linked": 9, "delay_s": 0.5},
            ),
        ):
            with self.subTest(name):
                for model in self._play(**fields):
                    late = max(model.late_runs.values(), default=0)
                    self.assertLessEqual(late, LATE_RUNS_MAX)

    def test_requests_beside_a_crash_are_not_quarantined(self):
        for fields in (SMALL, LARGE):
            for model in self._play(**fields):
                self.assertEqual(model.quarantined, 0)


if __name__ == "__main__":
    unittest.main()
