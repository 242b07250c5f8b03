"""How many calls a run makes, learnt at one node from what runs meanwhile."""

from collections.abc import Mapping

__all__ = ["CallEstimator"]

# Factor by which older windows count less, for each window: about the last
# minute counts at one window a second.
FORGETTING = 0.985
# Variance of the calls that the runs do not explain, over that of the Poisson
# law: a run makes its calls one after another, which comes in clumps.
NOISE = 3.0
# Least spread of the prior, in calls a run. The prior is that all routes of a
# target make the same number of calls, give or take that number.
PRIOR_SPREAD_LEAST = 1.0
# Weight of a window in which every run failed, and the power of the share
# that did not by which the weight falls: a run that fails stops calling, so
# such windows show too few calls, but they may be all that there is at first.
WEIGHT_LEAST = 0.01
SOUND_POWER = 4
# Share of the calls on a route whose run must be known, for the others to be
# taken to be spread over the runs' routes like them.
KNOWN_SHARE = 0.2
# Passes of coordinate descent; the systems have a handful of unknowns.
PASSES = 30
# Calls for a run below which there are taken to be none.
LEAST_CALLS = 0.05
# Runs of a route that must have begun, to tell anything of it.
LEAST_RUNS = 0.5


class CallEstimator:
    """Counts of known calls, and a regression of the others on what runs.

    Calls whose run is known are counted. Of the others only the runs in
    progress are known when they are made. Each run makes calls at a rate that
    is its route's, so that the rates are a least-squares fit of the calls to
    the numbers in progress, which change with every run that begins or ends.
    The fit is not negative, and has the ridge of Bayesian linear regression:
    the variance of the noise over that of the prior. So a rare route stays
    near the prior until its own runs tell.
    """

    def __init__(self):
        self._running: dict[str, int] = {}
        self._changed_at: float | None = None
        self._window = _Sums()
        self._sums = _Sums()
        self._ended = 0
        self._failed = 0

    def note_run(self, route: str, now: float) -> None:
        """Record a run that begins at the target.

        Args:
            route: Its route.
            now: Present time, in seconds.
        """
        self._pass_time(now)
        self._running[route] = self._running.get(route, 0) + 1
        _add(self._window.runs, route, 1.0)

    def note_end(self, route: str, is_failed: bool, now: float) -> None:
        """Record the end of a run.

        Args:
            route: Its route.
            is_failed: Whether it failed.
            now: Present time, in seconds.
        """
        self._pass_time(now)
        self._running[route] -= 1
        if not self._running[route]:
            del self._running[route]
        self._ended += 1
        self._failed += is_failed

    def note_call(self, called: str, parent_route: str) -> None:
        """Record a call that the target may have made.

        Args:
            called: Route of the call.
            parent_route: Route of the run that makes it; empty where that is
                not known.
        """
        if parent_route:
            _add(self._window.known, (parent_route, called), 1.0)
            return
        _add(self._window.calls, called, 1.0)
        for route, count in self._running.items():
            _add(self._window.fits, (route, called), count)

    def close_window(self, now: float) -> None:
        """End a window; older ones count less from now on.

        Args:
            now: Present time, in seconds.
        """
        self._pass_time(now)
        sound = 1.0 - self._failed / self._ended if self._ended else 1.0
        weight = max(WEIGHT_LEAST, sound**SOUND_POWER)
        self._sums.merge(self._window, FORGETTING**weight, weight)
        self._window = _Sums()
        self._ended = self._failed = 0

    def estimate(self, called: str) -> dict[str, float]:
        """Return the calls that one run makes on a route, by the run's route.

        Args:
            called: Name of the route that is called.
        """
        sums = self._sums
        routes = [
            r
            for r, runs in sums.runs.items()
            if runs > LEAST_RUNS and sums.busy.get(r)
        ]
        known = {
            r: sums.known.get((r, called), 0.0) / sums.runs[r] for r in routes
        }
        others = self._fit(called, routes, known)
        totals = {r: others[r] + known[r] for r in routes}
        return {r: f for r, f in totals.items() if f >= LEAST_CALLS}

    def count_runs(self, route: str) -> int:
        """Return the runs that a route's estimates rest on.

        Args:
            route: Name of the route.
        """
        return round(self._sums.runs.get(route, 0.0))

    def _fit(
        self, called: str, routes: list[str], known: Mapping[str, float]
    ) -> dict[str, float]:
        """Return the calls a run makes whose run is not known, by its route."""
        sums = self._sums
        calls = sums.calls.get(called, 0.0)
        if not calls or not routes:
            return dict.fromkeys(routes, 0.0)
        priors = self._spread(calls, known)
        mean_calls = calls / sum(sums.runs[r] for r in routes)
        noise = NOISE * calls / sums.time_s
        spread = max(PRIOR_SPREAD_LEAST, mean_calls)
        # From calls a run to calls a second of a run, and back.
        rates = {r: sums.runs[r] / sums.busy[r] for r in routes}
        ridges = {r: noise / (spread * rates[r]) ** 2 for r in routes}
        factors = {r: priors[r] * rates[r] for r in routes}
        starts = dict(factors)
        for _ in range(PASSES):
            for r in routes:
                factors[r] = self._solve(
                    r, called, factors, starts[r], ridges[r]
                )
        return {r: factors[r] / rates[r] for r in routes}

    def _spread(
        self, calls: float, known: Mapping[str, float]
    ) -> dict[str, float]:
        """Return the prior of the calls whose run is not known, for each run."""
        runs = self._sums.runs
        known_calls = sum(runs[r] * f for r, f in known.items())
        if known_calls < KNOWN_SHARE * (calls + known_calls):
            return dict.fromkeys(known, calls / sum(runs[r] for r in known))
        return {r: f * calls / known_calls for r, f in known.items()}

    def _solve(
        self,
        route: str,
        called: str,
        factors: Mapping[str, float],
        prior: float,
        ridge: float,
    ) -> float:
        products = self._sums.products
        explained = sum(
            factor * products.get((route, other), 0.0)
            for other, factor in factors.items()
            if other != route
        )
        rest = self._sums.fits.get((route, called), 0.0) - explained
        weight = products.get((route, route), 0.0) + ridge
        return max(0.0, (rest + ridge * prior) / weight) if weight else 0.0

    def _pass_time(self, now: float) -> None:
        changed_at, self._changed_at = self._changed_at, now
        if changed_at is None or now <= changed_at:
            return
        passed_s = now - changed_at
        window = self._window
        window.time_s += passed_s
        for route, count in self._running.items():
            busy_s = count * passed_s
            _add(window.busy, route, busy_s)
            for other, other_count in self._running.items():
                _add(window.products, (route, other), busy_s * other_count)


class _Sums:
    """Sums over time that the fit needs.

    Attributes:
        time_s: Time, in seconds.
        runs: Runs begun, by route.
        busy: Runs in progress over time, in seconds, by route.
        products: Products of two routes' runs in progress over time.
        calls: Calls whose run is not known, by their route.
        fits: Runs in progress at each of them, by the runs' route and theirs.
        known: Calls whose run is known, by its route and theirs.
    """

    def __init__(self):
        self.time_s = 0.0
        self.runs: dict[str, float] = {}
        self.busy: dict[str, float] = {}
        self.products: dict[tuple[str, str], float] = {}
        self.calls: dict[str, float] = {}
        self.fits: dict[tuple[str, str], float] = {}
        self.known: dict[tuple[str, str], float] = {}

    def merge(self, newer: "_Sums", kept: float, weight: float) -> None:
        """Add newer sums with a weight, to a share of the own ones."""
        self.time_s = kept * self.time_s + weight * newer.time_s
        for name in ("runs", "busy", "products", "calls", "fits", "known"):
            sums = getattr(self, name)
            for key in sums:
                sums[key] *= kept
            for key, value in getattr(newer, name).items():
                _add(sums, key, weight * value)


def _add(sums: dict, key, value: float) -> None:
    sums[key] = sums.get(key, 0.0) + value
