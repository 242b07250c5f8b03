"""Estimates the calls that a run makes from counts at one node."""

from collections.abc import Mapping

__all__ = ["CallEstimator"]

# Factor on the sums at each window. At one window per second, about the last
# minute has weight.
DECAY = 0.985
# Weight of the prior, in windows. The prior is that all routes of a target make
# the same number of calls per run.
PRIOR_WINDOWS = 1.0
# Weight of a window by the share of its runs that did not fail, to this power,
# and at least: a run that fails stops calling, so such windows show too few
# calls, but at first they may be all that there is.
SOUND_POWER = 4
WEIGHT_MIN = 0.01
# Iterations of coordinate descent; the systems have a handful of unknowns.
ITERATIONS = 30
# Estimates below this number of calls per run are treated as zero.
CALLS_PER_RUN_MIN = 0.05


class CallEstimator:
    """Estimates calls per run by non-negative ridge regression.

    A target's calls do not identify the run that makes them. In each window,
    the number of calls on a route is about the sum, over the routes that ran,
    of the runs times the calls per run. The estimates converge over many
    windows in which the mix of runs varies. Older windows decay exponentially.
    """

    def __init__(self):
        # Decayed sums for the normal equations of the regression: products of
        # the run counts of two routes, and of the run count of a route and the
        # call count of a called route.
        self._run_products: dict[tuple[str, str], float] = {}
        self._call_products: dict[tuple[str, str], float] = {}
        self._run_sums: dict[str, float] = {}
        self._call_sums: dict[str, float] = {}

    def record_window(
        self,
        runs: Mapping[str, int],
        calls: Mapping[str, int],
        failure_share: float = 0.0,
    ) -> None:
        """Add the counts of one window.

        Args:
            runs: Runs started at the target, by route.
            calls: Requests received from the target's VM, by route. Some may
                come from other callers.
            failure_share: Share of the runs that ended in the window and
                failed, 0 to 1.
        """
        sound_share = max(0.0, 1.0 - failure_share)
        weight = max(WEIGHT_MIN, sound_share**SOUND_POWER)
        self._decay(DECAY**weight)
        for route, count in runs.items():
            _add(self._run_sums, route, weight * count)
            for other, other_count in runs.items():
                product = weight * count * other_count
                _add(self._run_products, (route, other), product)
            for called, call_count in calls.items():
                product = weight * count * call_count
                _add(self._call_products, (route, called), product)
        for called, call_count in calls.items():
            _add(self._call_sums, called, weight * call_count)

    def _decay(self, factor: float) -> None:
        for sums in (
            self._run_products,
            self._call_products,
            self._run_sums,
            self._call_sums,
        ):
            for key in sums:
                sums[key] *= factor

    def estimate(self, called: str) -> dict[str, float]:
        """Return the calls per run on a route, by the route of the run.

        Routes below ``CALLS_PER_RUN_MIN`` and routes without recent runs, whose
        decayed sum is at most half a run, are left out.

        Args:
            called: Name of the called route.
        """
        routes = [r for r, total in self._run_sums.items() if total > 0.5]
        runs = sum(self._run_sums[r] for r in routes)
        if not routes:
            return {}
        prior = self._call_sums.get(called, 0.0) / runs
        mean_runs = runs / len(routes) * (1.0 - DECAY)
        ridge = PRIOR_WINDOWS * mean_runs**2
        calls_per_run = dict.fromkeys(routes, prior)
        for _ in range(ITERATIONS):
            for route in routes:
                calls_per_run[route] = self._solve_route(
                    route, called, calls_per_run, prior, ridge
                )
        return {
            r: f for r, f in calls_per_run.items() if f >= CALLS_PER_RUN_MIN
        }

    def _solve_route(
        self,
        route: str,
        called: str,
        calls_per_run: Mapping[str, float],
        prior: float,
        ridge: float,
    ) -> float:
        explained = sum(
            calls * self._run_products.get((route, other), 0.0)
            for other, calls in calls_per_run.items()
            if other != route
        )
        residual = self._call_products.get((route, called), 0.0) - explained
        weight = self._run_products.get((route, route), 0.0) + ridge
        return max(0.0, (residual + ridge * prior) / weight) if weight else 0.0


def _add(sums: dict, key, value: float) -> None:
    sums[key] = sums.get(key, 0.0) + value
