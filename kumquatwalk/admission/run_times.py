"""Mean time of runs at a target, by route."""

__all__ = ["RunTimes"]

# Weight of one run in the mean: about the last thirty runs count.
WEIGHT = 0.06
# Runs after which the weight no longer falls; the first ones are averaged.
SETTLED_RUNS = 16
# Time assumed for a route that has not run yet, in seconds.
DEFAULT_RUN_S = 0.1
# Routes kept; a configuration has a few hundred, of which few are in use.
ROUTES_MAX = 512


class RunTimes:
    """Exponentially weighted means."""

    def __init__(self):
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def note(self, route: str, run_s: float) -> None:
        """Record a run.

        Args:
            route: Name of the route.
            run_s: Time of the run, in seconds.
        """
        count = self._counts.get(route, 0)
        if not count and len(self._means) >= ROUTES_MAX:
            oldest = next(iter(self._means))
            del self._means[oldest], self._counts[oldest]
        mean = self._means.get(route, 0.0)
        weight = max(WEIGHT, 1.0 / (count + 1))
        self._means[route] = mean + weight * (run_s - mean)
        self._counts[route] = min(SETTLED_RUNS, count + 1)

    def estimate(self, route: str) -> float:
        """Return the mean time of a route's runs, in seconds.

        Args:
            route: Name of the route.
        """
        mean = self._means.get(route)
        if mean is not None:
            return mean
        if not self._means:
            return DEFAULT_RUN_S
        return sum(self._means.values()) / len(self._means)

    def list_means(self, most: int) -> tuple[tuple[str, float], ...]:
        """Return means by route, those with most runs first.

        Args:
            most: Routes returned at most.
        """
        names = sorted(self._means, key=lambda r: -self._counts[r])[:most]
        return tuple((name, self._means[name]) for name in names)
