"""Work left at a target: expected remaining time of its calls."""

import bisect
import dataclasses

from kumquatwalk.routing.slowness import SlownessMeter

__all__ = ["RemainingShape", "WorkLeft"]

# Bounds of the classes of run times over their forecast, and the factor between
# two of them: fine enough that the expected rest is within a few percent.
RATIO_MIN = 0.05
RATIO_STEP = 1.25
CLASSES = 28
# Run times over their forecast that are assumed before any has been measured,
# with their weights: a spread by half, and one run in a hundred of five times
# the mean. They count as much as so many runs.
PRIOR = (
    (0.4, 0.2),
    (0.7, 0.3),
    (1.0, 0.25),
    (1.6, 0.18),
    (2.4, 0.06),
    (5, 0.01),
)
PRIOR_RUNS = 40.0
# Runs after which the classes are halved, so that old ones lose their weight,
# and runs after which the table of expected rests is computed anew.
RUNS_MAX = 2000.0
RUNS_PER_TABLE = 32
# Rest expected of a run, at least, as a part of the time it has taken. No run
# that takes so long may have been seen, and runs that are hung take long.
REST_PART_MIN = 0.2


class RemainingShape:
    """Learns how much longer a run takes that has taken some time.

    All times are fractions of the forecast of the run.
    """

    def __init__(self):
        self._edges = [RATIO_MIN * RATIO_STEP**n for n in range(CLASSES)]
        # The last class holds what lies beyond the last bound.
        self._runs = [0.0] * (CLASSES + 1)
        self._sums = [0.0] * (CLASSES + 1)
        self._total = 0.0
        self._rests: list[float] = []
        self._unused = 0
        for ratio, weight in PRIOR:
            self._add(ratio, weight * PRIOR_RUNS)
        self._compute_rests()

    def observe(self, ratio: float) -> None:
        """Take in a run that has ended.

        Args:
            ratio: Its time over its forecast.
        """
        self._add(ratio, 1.0)
        self._unused += 1
        if self._total > RUNS_MAX:
            self._runs = [0.5 * count for count in self._runs]
            self._sums = [0.5 * total for total in self._sums]
            self._total *= 0.5
        if self._unused >= RUNS_PER_TABLE:
            self._compute_rests()

    def estimate_rest(self, ratio: float) -> float:
        """Return the expected remaining time of a run, over its forecast.

        Args:
            ratio: Time that the run has taken, over its forecast.
        """
        if ratio <= 0.0:
            return self._rests[0]
        index = bisect.bisect(self._edges, ratio)
        if index > CLASSES - 1:
            return REST_PART_MIN * ratio
        before = self._edges[index - 1] if index else 0.0
        part = (ratio - before) / (self._edges[index] - before)
        rests = self._rests
        return rests[index] + part * (rests[index + 1] - rests[index])

    def _add(self, ratio: float, weight: float) -> None:
        index = bisect.bisect(self._edges, ratio)
        self._runs[index] += weight
        self._sums[index] += weight * ratio
        self._total += weight

    def _compute_rests(self) -> None:
        """Compute the expected rest at 0 and at each bound."""
        self._unused = 0
        rests = []
        runs = total = 0.0
        for index in range(CLASSES, -1, -1):
            runs += self._runs[index]
            total += self._sums[index]
            edge = self._edges[index - 1] if index else 0.0
            rest = total / runs - edge if runs > 0.0 else 0.0
            rests.append(max(rest, REST_PART_MIN * edge))
        self._rests = rests[::-1]


@dataclasses.dataclass(slots=True)
class _TrackedCall:
    """Call at the target.

    Attributes:
        forecast_s: Expected time of its run at slowness 1, in seconds.
        started_at: Progress of the machine when its run started; None while it
            waits.
    """

    forecast_s: float
    started_at: float | None = None


class WorkLeft:
    """Sums the expected remaining time of the calls at a target.

    Attributes:
        slowness: Slowness of the machine.
        shape: Distribution of run times around their forecast.
    """

    def __init__(self):
        self.slowness = SlownessMeter()
        self.shape = RemainingShape()
        self._waiting: dict[int, _TrackedCall] = {}
        self._running: dict[int, _TrackedCall] = {}

    @property
    def calls(self) -> int:
        """Number of calls that wait or run."""
        return len(self._waiting) + len(self._running)

    def enter(self, key: int, forecast_s: float) -> None:
        """Add a call that waits.

        Args:
            key: Identifier of the call.
            forecast_s: Expected time of its run at slowness 1, in seconds.
        """
        self._waiting[key] = _TrackedCall(forecast_s)

    def start(self, key: int, now: float) -> None:
        """Note that the run of a call starts.

        Args:
            key: Identifier of the call; nothing is done if it is not known.
            now: Current time, in seconds.
        """
        call = self._waiting.pop(key, None)
        if call is not None:
            call.started_at = self.slowness.measure_progress(now)
            self._running[key] = call

    def end(self, key: int, has_run: bool, now: float) -> float | None:
        """Remove a call whose run has ended.

        Args:
            key: Identifier of the call.
            has_run: Whether the run came to its end, so that its time counts.
            now: Current time, in seconds.

        Returns:
            Time that the run would have taken at slowness 1, in seconds; None
            if it does not count or the call is not known.
        """
        call = self._running.pop(key, None)
        if call is None or not has_run:
            return None
        run_s = self.slowness.measure_progress(now) - call.started_at
        self.shape.observe(run_s / max(call.forecast_s, 0.0001))
        return run_s

    def leave(self, key: int) -> None:
        """Remove a call in whatever state it is.

        Args:
            key: Identifier of the call; nothing is done if it is not known.
        """
        self._waiting.pop(key, None)
        self._running.pop(key, None)

    def measure(self, now: float) -> float:
        """Return the work left, in seconds of one slot of the machine as it is.

        Args:
            now: Current time, in seconds.
        """
        estimate_rest = self.shape.estimate_rest
        total_s = sum(call.forecast_s for call in self._waiting.values())
        if self._running:
            progress_s = self.slowness.measure_progress(now)
            for call in self._running.values():
                forecast_s = call.forecast_s
                ratio = (progress_s - call.started_at) / max(forecast_s, 0.0001)
                total_s += forecast_s * estimate_rest(ratio)
        return total_s * self.slowness.estimate(now)
