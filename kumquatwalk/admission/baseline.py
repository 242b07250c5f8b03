"""Uncongested run times of entries at one target."""

import dataclasses
import math

__all__ = ["Baselines", "RunRatio"]

FALL_WEIGHT = 0.1
LARGE_FALL_WEIGHT = 0.5
LARGE_FALL_SHARE = 0.7
RISE_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class RunRatio:
    """Time of the runs of a window over what their baselines give for them.

    Attributes:
        value: The ratio, at least 1.
        error: Standard error of the ratio.
        mean_s: Mean time of a run.
    """

    value: float
    error: float
    mean_s: float


@dataclasses.dataclass(slots=True)
class Baseline:
    """Run time of one entry.

    Attributes:
        time_s: Mean time of a run when the target is not congested; 0 until
            the first window has closed.
        runs: Runs in the present window.
        sum_s: Sum of their times.
        square_sum: Sum of the squares of their times.
    """

    time_s: float = 0.0
    runs: int = 0
    sum_s: float = 0.0
    square_sum: float = 0.0

    def get_variance(self) -> float:
        """Return the variance of the time of a run in the window."""
        mean_s = self.sum_s / self.runs
        return max(0.0, self.square_sum / self.runs - mean_s * mean_s)


class Baselines:
    """Run times of entries, compared with what they were without congestion.

    A baseline follows shorter times at once and longer ones slowly.
    """

    def __init__(self):
        self._entries: dict[str, Baseline] = {}

    def note(self, entry: str, time_s: float) -> None:
        """Record a run.

        Args:
            entry: Name of the entry.
            time_s: Time of the run.
        """
        baseline = self._entries.get(entry)
        if baseline is None:
            baseline = Baseline()
            self._entries[entry] = baseline
        baseline.runs += 1
        baseline.sum_s += time_s
        baseline.square_sum += time_s * time_s

    def measure_ratio(self) -> RunRatio:
        """Compare the runs of the window with their baselines.

        Returns:
            The ratio with its error.
        """
        seen = [b for b in self._entries.values() if b.runs]
        runs = sum(b.runs for b in seen)
        seen_s = sum(b.sum_s for b in seen)
        expected_s = sum(b.time_s * b.runs or b.sum_s for b in seen)
        if not runs or expected_s <= 0.0:
            return RunRatio(1.0, 0.0, 0.0)
        error_s = math.sqrt(sum(b.get_variance() * b.runs for b in seen))
        return RunRatio(
            max(1.0, seen_s / expected_s), error_s / expected_s, seen_s / runs
        )

    def close_window(self) -> None:
        """Let the baselines follow the window's runs, and begin a new one."""
        for baseline in self._entries.values():
            if baseline.runs:
                _follow(baseline, baseline.sum_s / baseline.runs)
            baseline.runs = 0
            baseline.sum_s = 0.0
            baseline.square_sum = 0.0

    def rebase(self) -> None:
        """Make the times of the window's runs the baselines."""
        for baseline in self._entries.values():
            if baseline.runs:
                baseline.time_s = baseline.sum_s / baseline.runs


def _follow(baseline: Baseline, mean_s: float) -> None:
    if not baseline.time_s:
        baseline.time_s = mean_s
        return
    weight = RISE_WEIGHT
    if mean_s < baseline.time_s * LARGE_FALL_SHARE:
        weight = LARGE_FALL_WEIGHT
    elif mean_s < baseline.time_s:
        weight = FALL_WEIGHT
    baseline.time_s += weight * (mean_s - baseline.time_s)
