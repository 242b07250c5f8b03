"""Tests of the work left at a target and of the slowness of its machine."""

import random
import unittest

from kumquatwalk.routing.slowness import SlownessMeter
from kumquatwalk.routing.slowness import fade_slowness
from kumquatwalk.routing.work_left import RemainingShape
from kumquatwalk.routing.work_left import WorkLeft


def draw_ratio(rng: random.Random) -> float:
    """Return a run time over its mean: lognormal, 1% of five times."""
    ratio = rng.lognormvariate(-0.125, 0.5)
    return 5.0 * ratio if rng.random() < 0.01 else ratio


class SlownessMeterTest(unittest.TestCase):

    def test_figures_are_smoothed_and_fade(self):
        meter = SlownessMeter()
        for n in range(100):
            meter.observe(1.0, 0.02 * n)
        meter.observe(2.5, 2.0)
        self.assertLess(meter.estimate(2.0), 1.5)
        for n in range(1, 20):
            meter.observe(2.5, 2.0 + 0.02 * n)
        self.assertGreater(meter.estimate(2.4), 2.3)
        self.assertLess(meter.estimate(4.4), 1.1)

    def test_usual_slowness_is_the_mean_over_time(self):
        meter = SlownessMeter()
        for n in range(20000):
            meter.observe(2.5 if n // 60 % 20 < 3 else 1.0, 0.01 * n)
        self.assertAlmostEqual(meter.usual, 1.225, delta=0.05)

    def test_progress_is_the_time_over_the_slowness(self):
        meter = SlownessMeter()
        meter.observe(2.0, 0.0)
        for n in range(1, 101):
            meter.observe(2.0, 0.01 * n)
        self.assertAlmostEqual(meter.measure_progress(1.0), 0.5, delta=0.03)
        # Long after the last figure, work goes on at the usual speed.
        later = meter.measure_progress(61.0) - meter.measure_progress(31.0)
        self.assertAlmostEqual(later, 30.0 / meter.usual, delta=0.01)

    # Guards against runs of negative length, begun before the first figure.
    def test_progress_goes_on_at_the_first_figure(self):
        meter = SlownessMeter()
        before = meter.measure_progress(50.0)
        meter.observe(2.0, 50.0)
        self.assertAlmostEqual(meter.measure_progress(50.0), before)

    # Guards against an overflow or a negative progress at extreme figures.
    def test_extreme_figures_are_bounded(self):
        meter = SlownessMeter()
        before = 0.0
        for n, figure in enumerate((1e9, 1e-9, 1e9, 1.0)):
            meter.observe(figure, 1000.0 * n)
            self.assertGreater(meter.estimate(1000.0 * n), 0.0)
            progress = meter.measure_progress(1000.0 * n + 999.0)
            self.assertGreater(progress, before)
            before = progress
        self.assertGreater(meter.estimate(-5.0), 0.0)

    def test_slowness_fades_to_the_usual_one(self):
        self.assertEqual(fade_slowness(2.5, 0.0), 2.5)
        self.assertLess(fade_slowness(2.5, 1.0), 1.06)
        self.assertEqual(fade_slowness(1.0, 0.3), 1.0)


class RemainingShapeTest(unittest.TestCase):

    def test_rest_is_learnt_from_runs(self):
        rng = random.Random(3)
        shape = RemainingShape()
        for _ in range(20000):
            shape.observe(draw_ratio(rng))
        ratios = [draw_ratio(rng) for _ in range(100000)]
        for taken in (0.0, 0.5, 1.0, 2.0, 3.0):
            rests = [r - taken for r in ratios if r > taken]
            self.assertAlmostEqual(
                shape.estimate_rest(taken) / (sum(rests) / len(rests)),
                1.0,
                delta=0.2,
            )

    # Guards against a hung run whose rest is taken for nothing.
    def test_run_that_takes_very_long_is_expected_to_go_on(self):
        shape = RemainingShape()
        for _ in range(3000):
            shape.observe(1.0)
        self.assertGreaterEqual(shape.estimate_rest(10.0), 2.0)
        self.assertGreaterEqual(shape.estimate_rest(1000.0), 200.0)


class WorkLeftTest(unittest.TestCase):

    def test_work_is_summed_over_waiting_and_running_calls(self):
        work = WorkLeft()
        work.slowness.observe(1.0, 0.0)
        self.assertEqual(work.measure(0.0), 0.0)
        for key in range(4):
            work.enter(key, 0.2)
        self.assertAlmostEqual(work.measure(0.0), 0.8, delta=0.01)
        work.start(0, 0.0)
        work.start(1, 0.0)
        self.assertLess(work.measure(0.15), 0.8)
        self.assertAlmostEqual(work.end(0, True, 0.2), 0.2, delta=0.001)
        work.leave(1)
        work.leave(1)
        self.assertAlmostEqual(work.measure(0.2), 0.4, delta=0.01)
        self.assertEqual(work.calls, 2)

    def test_work_takes_longer_on_a_slow_machine(self):
        work = WorkLeft()
        work.enter(1, 0.2)
        work.slowness.observe(2.0, 0.0)
        self.assertAlmostEqual(work.measure(0.0), 0.4, delta=0.01)

    def test_run_that_did_not_end_counts_for_nothing(self):
        work = WorkLeft()
        work.enter(1, 0.2)
        work.start(1, 0.0)
        self.assertIsNone(work.end(1, False, 5.0))
        self.assertIsNone(work.end(1, True, 5.0))
        self.assertEqual(work.calls, 0)


if __name__ == "__main__":
    unittest.main()
