"""Tests of the forecast of run times.

Load: run times with a lognormal spread by half, 1% of them of five times.
"""

import random
import unittest

from kumquatwalk.routing.run_forecast import KEYS_MAX
from kumquatwalk.routing.run_forecast import ROUTES_MAX
from kumquatwalk.routing.run_forecast import RunForecast
from kumquatwalk.routing.tests.test_work_left import draw_ratio


class RunForecastTest(unittest.TestCase):

    def setUp(self):
        self.rng = random.Random(5)
        self.forecast = RunForecast(("path", "size"))

    def record(self, count, means, size=lambda _: "1", now=0.0):
        """Record runs whose mean depends on their path."""
        for n in range(count):
            path = self.rng.choice(sorted(means))
            run_s = means[path] * draw_ratio(self.rng)
            keys = (path, size(path))
            self.forecast.record("r", run_s, now + 0.01 * n, keys)

    def list_used(self):
        """Return the kinds of keys in use."""
        return [g.kind for g in self.forecast.list_gains() if g.is_used]

    def test_route_is_forecast_by_its_mean_with_its_error(self):
        self.assertEqual(self.forecast.estimate("r").mean_s, 0.1)
        self.record(2000, {"/a": 0.3})
        forecast = self.forecast.estimate("r", ("/a", "1"))
        self.assertAlmostEqual(forecast.mean_s, 0.31, delta=0.05)
        self.assertAlmostEqual(forecast.error_s, 0.12, delta=0.04)
        # A route that has not run is taken for the mean of all.
        self.assertAlmostEqual(
            self.forecast.estimate("other").mean_s, forecast.mean_s, delta=0.05
        )

    # Guards against forecasts by keys that only add noise.
    def test_key_that_explains_nothing_is_not_used(self):
        self.record(3000, {f"/{n}": 0.2 for n in range(20)})
        self.assertEqual(self.list_used(), [])
        estimates = {
            self.forecast.estimate("r", (f"/{n}", "1")).mean_s
            for n in range(20)
        }
        self.assertEqual(len(estimates), 1)

    def test_key_that_explains_the_time_is_used_and_shrunk(self):
        self.record(2000, {"/cheap": 0.1, "/dear": 0.5})
        self.assertEqual(self.list_used(), ["path"])
        cheap = self.forecast.estimate("r", ("/cheap", "1")).mean_s
        dear = self.forecast.estimate("r", ("/dear", "1")).mean_s
        self.assertAlmostEqual(cheap, 0.15, delta=0.06)
        self.assertAlmostEqual(dear, 0.48, delta=0.1)
        unknown = self.forecast.estimate("r", ("/new", "1")).mean_s
        self.assertAlmostEqual(unknown, 0.31, delta=0.08)
        self.assertLess(cheap, unknown)

    def test_key_is_given_up_when_it_no_longer_explains(self):
        self.record(2000, {"/cheap": 0.1, "/dear": 0.5})
        self.record(4000, {"/cheap": 0.3, "/dear": 0.3}, now=100.0)
        self.assertEqual(self.list_used(), [])

    def test_old_runs_lose_their_weight(self):
        self.record(500, {"/a": 0.5})
        self.record(20, {"/a": 0.1}, now=600.0)
        self.assertLess(self.forecast.estimate("r").mean_s, 0.2)

    # Guards against memory that grows with the paths that callers make up.
    def test_memory_is_bounded(self):
        forecast = RunForecast(("path",))
        for n in range(3 * KEYS_MAX):
            forecast.record("r", 0.1, 0.0, (f"/{n}",))
        for n in range(3 * ROUTES_MAX):
            forecast.record(f"r{n}", 0.1, 0.0, ("/",))
        self.assertEqual(len(forecast.list_means(10**6)), ROUTES_MAX)
        forecast = RunForecast(("path",))
        for n in range(3 * KEYS_MAX):
            forecast.record("r", 0.1, 0.0, (f"/{n}",))
            forecast.record("r", 0.5, 0.0, ("/often",))
        table = forecast._routes["r"].tables[0]  # pylint: disable=W0212
        self.assertEqual(len(table._means), KEYS_MAX)  # pylint: disable=W0212
        self.assertGreater(table.estimate("/often", 0.3), 0.4)


if __name__ == "__main__":
    unittest.main()
