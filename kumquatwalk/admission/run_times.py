"""Mean run time at a target, by route."""

__all__ = ["RunTimes"]

# Smoothing factor: the mean covers about the last thirty runs.
SMOOTHING_FACTOR = 0.06
# Limit of the run count. The first runs are averaged with equal weights, until
# the weight of a run has fallen to the smoothing factor.
RUN_COUNT_MAX = 16
# Run time assumed before any route has run, in seconds.
DEFAULT_RUN_S = 0.1
# Bounds memory; a configuration has a few hundred routes, of which few are in
# use.
ROUTES_MAX = 512


class RunTimes:
    """Exponentially weighted moving average of run times by route."""

    def __init__(self):
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, route: str, run_s: float) -> None:
        """Record a run, evicting the oldest route when the table is full.

        Args:
            route: Name of the route.
            run_s: Run time, in seconds.
        """
        count = self._counts.get(route, 0)
        if not count and len(self._means) >= ROUTES_MAX:
            oldest = next(iter(self._means))
            del self._means[oldest], self._counts[oldest]
        mean = self._means.get(route, 0.0)
        weight = max(SMOOTHING_FACTOR, 1.0 / (count + 1))
        self._means[route] = mean + weight * (run_s - mean)
        self._counts[route] = min(RUN_COUNT_MAX, count + 1)

    def clear(self) -> None:
        """Forget all runs, as another target takes the place of the last."""
        self._means.clear()
        self._counts.clear()

    def estimate(self, route: str) -> float:
        """Return the mean run time of a route, in seconds.

        A route without runs gets the mean of all routes, or
        ``DEFAULT_RUN_S`` when no route has run.

        Args:
            route: Name of the route.
        """
        mean = self._means.get(route)
        return self.mean() if mean is None else mean

    def mean(self) -> float:
        """Return the mean over all routes, in seconds."""
        if not self._means:
            return DEFAULT_RUN_S
        return sum(self._means.values()) / len(self._means)

    def list_means(self, routes_max: int) -> tuple[tuple[str, float], ...]:
        """Return routes with their mean run times in seconds.

        Args:
            routes_max: Maximum number of routes returned. Routes with more runs
                come first.
        """
        names = sorted(self._means, key=lambda r: -self._counts[r])[:routes_max]
        return tuple((name, self._means[name]) for name in names)
