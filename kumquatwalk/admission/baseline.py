"""Uncongested run times of entries at one target."""

import dataclasses

__all__ = ["Baselines"]

FALL_WEIGHT = 0.3
RISE_WEIGHT = 0.01


@dataclasses.dataclass(slots=True)
class Baseline:
    """Run time of one entry.

    Attributes:
        time_s: Mean time of a run when the target is not congested; 0 until
            the first window has closed.
        runs: Runs in the present window.
        sum_s: Sum of their times.
    """

    time_s: float = 0.0
    runs: int = 0
    sum_s: float = 0.0


class Baselines:
    """Run times of entries, compared with what they were without congestion.

    A baseline follows shorter times at once and longer ones slowly.

    Attributes:
        mean_run_s: Mean time of a run in the last measured window.
    """

    def __init__(self):
        self._entries: dict[str, Baseline] = {}
        self.mean_run_s = 0.0

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

    def measure_ratio(self) -> float:
        """Compare the runs of the window with their baselines.

        Returns:
            Time of the runs over the time that the baselines give for them, at
            least 1.
        """
        seen_s = 0.0
        expected_s = 0.0
        runs = 0
        for baseline in self._entries.values():
            seen_s += baseline.sum_s
            runs += baseline.runs
            time_s = baseline.time_s
            expected_s += time_s * baseline.runs if time_s else baseline.sum_s
        self.mean_run_s = seen_s / runs if runs else 0.0
        return max(1.0, seen_s / expected_s) if expected_s > 0.0 else 1.0

    def close_window(self) -> None:
        """Let the baselines follow the window's runs, and begin a new one."""
        for baseline in self._entries.values():
            if baseline.runs:
                _follow(baseline, baseline.sum_s / baseline.runs)
            baseline.runs = 0
            baseline.sum_s = 0.0

    def rebase(self) -> None:
        """Make the times of the window's runs the baselines."""
        for baseline in self._entries.values():
            if baseline.runs:
                baseline.time_s = baseline.sum_s / baseline.runs


def _follow(baseline: Baseline, mean_s: float) -> None:
    if not baseline.time_s:
        baseline.time_s = mean_s
        return
    weight = FALL_WEIGHT if mean_s < baseline.time_s else RISE_WEIGHT
    baseline.time_s += weight * (mean_s - baseline.time_s)
