"""Forecast of the time of a run, by route and by finer keys that predict it."""

import dataclasses
import math

__all__ = ["Forecast", "KeyGain", "RunForecast"]

# Run time assumed before any run has been measured, in seconds.
DEFAULT_RUN_S = 0.1
# Time constant with which runs lose their weight, in seconds, and the largest
# weight of the runs before a new one: a route with many runs follows a change
# of its cost within as many runs.
DECAY_S = 60.0
ROUTE_WEIGHT_MAX = 100.0
KEY_WEIGHT_MAX = 50.0
# Weight of the route's mean in the forecast of a key, in runs. With a spread of
# runs by half, the mean of so many is within 15%.
SHRINKAGE_RUNS = 10.0
# Part of the squared error of the route's mean that a kind of key must take
# away to be used, and part below which it is given up. Chance alone takes away
# less than the second.
GAIN_MIN = 0.10
GAIN_LOST = 0.05
# Runs for which the squared errors are averaged, and runs before they count.
GAIN_RUNS = 400.0
GAIN_RUNS_MIN = 100.0
# Multiple of the route's mean at which run times are cut before they enter the
# gains: one run of the tail would outweigh all others.
OUTLIER_FACTOR = 4.0
# Bounds of memory: routes, of which the oldest is evicted, and keys of one kind
# for one route, of which the least recently used is. An entry takes 0.2 kB.
ROUTES_MAX = 256
KEYS_MAX = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Expected time of a run.

    Attributes:
        mean_s: Expected time, in seconds.
        error_s: Mean absolute error of recent forecasts of the route, in
            seconds.
    """

    mean_s: float
    error_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyGain:
    """How much a kind of key explains of the run times of a route.

    Attributes:
        route: Name of the route.
        kind: Kind of key.
        gain: Part of the squared error of the route's mean that it takes away.
        is_used: Whether it is used in forecasts.
    """

    route: str
    kind: str
    gain: float
    is_used: bool


class RunForecast:
    """Learns run times by route, and by finer keys where these predict them.

    A kind of key, such as the path below the prefix, is used for a route only
    while forecasts by it, made before each run, have a clearly smaller squared
    error than the route's mean.

    Args:
        kinds: Names of the kinds of finer keys, in the order in which their
            values are passed.
    """

    def __init__(self, kinds: tuple[str, ...] = ()):
        self._kinds = kinds
        self._routes: dict[str, _Route] = {}

    def estimate(self, route: str, keys: tuple[str, ...] = ()) -> Forecast:
        """Return the forecast of a run.

        Args:
            route: Name of the route.
            keys: Its finer keys, one for each kind.
        """
        entry = self._routes.get(route)
        if entry is None:
            return Forecast(self._average(), 0.0)
        return Forecast(entry.estimate(keys), entry.error_s)

    def record(
        self, route: str, run_s: float, now: float, keys: tuple[str, ...] = ()
    ) -> None:
        """Take in a run that has ended.

        Args:
            route: Name of the route.
            run_s: Time of the run, in seconds.
            now: Current time, in seconds.
            keys: Its finer keys, one for each kind.
        """
        entry = self._routes.get(route)
        if entry is None:
            if len(self._routes) >= ROUTES_MAX:
                del self._routes[next(iter(self._routes))]
            entry = self._routes[route] = _Route(len(self._kinds))
        entry.record(run_s, now, keys)

    def list_means(self, routes_max: int) -> tuple[tuple[str, float], ...]:
        """Return routes with their mean run times in seconds.

        Args:
            routes_max: Maximum number of routes returned; those with the most
                weight come first.
        """
        routes = sorted(
            self._routes.items(), key=lambda item: -item[1].mean.weight
        )
        return tuple((name, r.mean.value) for name, r in routes[:routes_max])

    def list_gains(self) -> tuple[KeyGain, ...]:
        """Return what each kind of key explains, by route."""
        return tuple(
            KeyGain(name, kind, table.gain, table.is_used)
            for name, route in self._routes.items()
            for kind, table in zip(self._kinds, route.tables)
        )

    def measure_error(self) -> float:
        """Return the mean absolute error of recent forecasts over the mean.

        The routes count by their weights; 0 without runs.
        """
        error_s = mean_s = 0.0
        for route in self._routes.values():
            error_s += route.mean.weight * route.error_s
            mean_s += route.mean.weight * route.mean.value
        return error_s / mean_s if mean_s else 0.0

    def clear(self) -> None:
        """Forget all runs."""
        self._routes.clear()

    def _average(self) -> float:
        if not self._routes:
            return DEFAULT_RUN_S
        means = [route.mean.value for route in self._routes.values()]
        return sum(means) / len(means)


class _Mean:
    """Mean whose observations lose their weight with time and number."""

    __slots__ = ("value", "weight", "_at")

    def __init__(self):
        self.value = 0.0
        self.weight = 0.0
        self._at = 0.0

    def record(self, value: float, now: float, weight_max: float) -> None:
        """Take in a value."""
        if self.weight:
            self.weight *= math.exp(-max(0.0, now - self._at) / DECAY_S)
        self.weight = min(weight_max, self.weight + 1.0)
        self.value += (value - self.value) / self.weight
        self._at = now


class _KeyTable:
    """Means of the keys of one kind for one route.

    Attributes:
        gain: Part of the squared error of the route's mean that is taken away.
        is_used: Whether the kind is used in forecasts.
    """

    __slots__ = ("_means", "_own_error", "_route_error", "_runs", "is_used")

    def __init__(self):
        self._means: dict[str, _Mean] = {}
        self._own_error = 0.0
        self._route_error = 0.0
        self._runs = 0.0
        self.is_used = False

    @property
    def gain(self) -> float:
        """Part of the squared error of the route's mean that is taken away."""
        if not self._route_error:
            return 0.0
        return 1.0 - self._own_error / self._route_error

    def estimate(self, key: str, route_mean: float) -> float:
        """Return the mean of a key, shrunk towards that of the route."""
        mean = self._means.get(key)
        if mean is None:
            return route_mean
        total = mean.weight * mean.value + SHRINKAGE_RUNS * route_mean
        return total / (mean.weight + SHRINKAGE_RUNS)

    def record(
        self,
        key: str,
        run_s: float,
        cut_s: float,
        route_mean: float,
        now: float,
    ) -> None:
        """Score the forecast of a run and take in its time."""
        weight = 1.0 / min(GAIN_RUNS, self._runs + 1.0)
        self._runs += 1.0
        own_error = (cut_s - self.estimate(key, route_mean)) ** 2
        self._own_error += weight * (own_error - self._own_error)
        route_error = (cut_s - route_mean) ** 2
        self._route_error += weight * (route_error - self._route_error)
        if self._runs >= GAIN_RUNS_MIN:
            self.is_used = self.gain > (GAIN_LOST if self.is_used else GAIN_MIN)
        mean = self._means.pop(key, None) or _Mean()
        mean.record(run_s, now, KEY_WEIGHT_MAX)
        if len(self._means) >= KEYS_MAX:
            del self._means[next(iter(self._means))]
        self._means[key] = mean


class _Route:
    """Run times of one route.

    Attributes:
        mean: Mean of its runs.
        error_s: Mean absolute error of its forecasts, in seconds.
        tables: Table of each kind of key.
    """

    __slots__ = ("_error", "mean", "tables")

    def __init__(self, kinds: int):
        self.mean = _Mean()
        self._error = _Mean()
        self.tables = tuple(_KeyTable() for _ in range(kinds))

    @property
    def error_s(self) -> float:
        """Mean absolute error of its forecasts, in seconds."""
        return self._error.value

    def estimate(self, keys: tuple[str, ...]) -> float:
        """Return the forecast by the used kind of key that explains most."""
        used = [pair for pair in zip(self.tables, keys) if pair[0].is_used]
        if not used:
            return self.mean.value
        table, key = max(used, key=lambda pair: pair[0].gain)
        return table.estimate(key, self.mean.value)

    def record(self, run_s: float, now: float, keys: tuple[str, ...]) -> None:
        """Score the forecasts of a run and take in its time."""
        mean_s = self.mean.value
        if self.mean.weight:
            error_s = abs(run_s - self.estimate(keys))
            self._error.record(error_s, now, ROUTE_WEIGHT_MAX)
            cut_s = min(run_s, OUTLIER_FACTOR * mean_s)
            for table, key in zip(self.tables, keys):
                table.record(key, run_s, cut_s, mean_s, now)
        self.mean.record(run_s, now, ROUTE_WEIGHT_MAX)
