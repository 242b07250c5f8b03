"""Adaptive limit on the calls that run at a target at once."""

import dataclasses
import math

from kumquatwalk.admission.baseline import Baselines
from kumquatwalk.admission.baseline import RunRatio

__all__ = ["ConcurrencyLimit"]

WINDOW_S = 0.1
WINDOW_RUNS = 50
COLD_SHARE = 0.1
LOW_QUEUE_FACTOR = 3.0
HIGH_QUEUE_FACTOR = 6.0
LARGEST_CUT = 0.7
SHED_CUT = 0.9
SHED_HOLD_S = 1.0
SHED_SETTLE_S = 0.1
SHED_REPEAT_S = 0.6
LONGEST_HOLD_S = 8.0
SAME_LIMIT_CALLS = 2.0
LARGEST_STEP_SHARE = 0.1
SETTLE_RUNS = 1.5
TRIAL_SHARE = 0.5
RISING_RATIO = 1.1
CERTAIN_ERRORS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CutTrial:
    """A cut of the limit whose effect is not known yet.

    Attributes:
        restored: Limit to restore when the cuts since then had no effect.
        limit_before: Limit before the cut.
        limit_after: Limit after the cut.
        ratio_before: Run time over its baseline before the cut.
        settled_at: Time from which finished runs show the effect.
    """

    restored: float
    limit_before: float
    limit_after: float
    ratio_before: float
    settled_at: float


class ConcurrencyLimit:
    """Limit that follows what runs show, starting from the announced slots.

    As in TCP Vegas (Brakmo and Peterson, IEEE JSAC 1995), which the Netflix
    concurrency-limits library applies to services, the time of runs over
    their uncongested time gives the number of calls that queue inside the
    target. The limit grows while few queue and is cut while many do. A cut that
    does not shorten the runs shows that the target is slow and not full; then
    the limit is restored and the longer time becomes the baseline. While the
    time still rises, the cut is repeated before it is judged. A call that the
    target sheds cuts the limit at once, to what was running.
    """

    def __init__(self):
        self._baselines = Baselines()
        self._limit = 1.0
        self._slow_start_end = 1.0
        self._most = math.inf
        self._window_end = -math.inf
        self._runs = 0
        self._peak = 0
        self._is_saturated = False
        self._trial: CutTrial | None = None
        self._held_until = -math.inf
        self._hold_s = SHED_HOLD_S
        self._shed_limit = math.inf
        self._cut_at = -math.inf
        self._step = 1.0

    @property
    def value(self) -> int:
        """Calls that may run at once, at least one."""
        return max(1, int(min(self._limit, self._most)))

    def restart(self, slots: int, connections: int, is_cold: bool) -> None:
        """Start anew for a target that has just announced itself.

        Args:
            slots: Slots announced.
            connections: Connections announced; 0 when not known.
            is_cold: Whether the target has announced a cold start.
        """
        share = COLD_SHARE if is_cold else 1.0
        self._baselines = Baselines()
        self._limit = max(1.0, slots * share)
        self._slow_start_end = max(1.0, float(slots))
        self._most = connections or math.inf
        self._trial = None

    def note_start(self, in_flight: int) -> None:
        """Record that a call starts.

        Args:
            in_flight: Calls running, with this one.
        """
        self._peak = max(self._peak, in_flight)
        if in_flight >= self.value:
            self._is_saturated = True

    def note_run(self, entry: str, own_time_s: float, now: float) -> None:
        """Record a run that ended.

        Args:
            entry: Name of the entry.
            own_time_s: Time at the target without waiting for its own calls.
            now: Present time.
        """
        if self._is_saturated and self._limit < self._slow_start_end:
            self._limit += 1.0
        if self._trial and now < self._trial.settled_at:
            return
        self._baselines.note(entry, own_time_s)
        self._runs += 1
        if now >= self._window_end and self._runs >= WINDOW_RUNS:
            self._close_window(now)

    def note_shed(self, in_flight: int, now: float) -> None:
        """Record that the target refused to run a call.

        The limit falls to what was running. When calls are shed again although
        that cut has had time to show, the limit falls by a share as well.

        Args:
            in_flight: Calls running, without the one refused.
            now: Present time.
        """
        since_cut_s = now - self._cut_at
        limit = min(self._limit, float(in_flight))
        if SHED_SETTLE_S < since_cut_s < SHED_REPEAT_S:
            limit = min(limit, self._limit * SHED_CUT)
        if since_cut_s > SHED_SETTLE_S:
            self._hold_growth(now)
            self._cut_at = now
        self._trial = None
        self._step = 1.0
        self._limit = max(1.0, limit)
        self._slow_start_end = self._limit

    def _hold_growth(self, now: float) -> None:
        is_same = abs(self._limit - self._shed_limit) <= SAME_LIMIT_CALLS
        hold_s = min(LONGEST_HOLD_S, 2.0 * self._hold_s)
        self._hold_s = hold_s if is_same else SHED_HOLD_S
        self._shed_limit = self._limit
        self._held_until = now + self._hold_s

    def _close_window(self, now: float) -> None:
        ratio = self._baselines.measure_ratio()
        if self._trial:
            self._judge_trial(ratio, now)
        else:
            self._adjust(ratio, now)
        self._baselines.close_window()
        self._window_end = now + WINDOW_S
        self._runs = 0
        self._peak = 0
        self._is_saturated = False

    def _adjust(self, ratio: RunRatio, now: float) -> None:
        used = min(self._limit, float(self._peak))
        scale = math.log10(used + 1.0)
        queued = used * (1.0 - 1.0 / ratio.value)
        surely = max(1.0, ratio.value - CERTAIN_ERRORS * ratio.error)
        if used * (1.0 - 1.0 / surely) > HIGH_QUEUE_FACTOR * scale:
            self._cut(used, ratio, now)
        elif queued < LOW_QUEUE_FACTOR * scale:
            self._grow(now)
        else:
            self._step = 1.0

    def _grow(self, now: float) -> None:
        if not self._is_saturated or now < self._held_until:
            return
        self._limit += self._step
        most = max(1.0, self._limit * LARGEST_STEP_SHARE)
        self._step = min(most, 2.0 * self._step)

    def _cut(self, used: float, ratio: RunRatio, now: float) -> None:
        limit = max(used * LARGEST_CUT, used / ratio.value, 1.0)
        restored = self._trial.restored if self._trial else used
        settled_at = now + SETTLE_RUNS * ratio.mean_s
        self._trial = CutTrial(restored, used, limit, ratio.value, settled_at)
        self._limit = limit
        self._step = 1.0
        self._slow_start_end = limit

    def _judge_trial(self, ratio: RunRatio, now: float) -> None:
        trial = self._trial
        if ratio.value > trial.ratio_before * RISING_RATIO:
            self._cut(self._limit, ratio, now)
            return
        cut = 1.0 - trial.limit_after / trial.limit_before
        needed = trial.ratio_before * (1.0 - TRIAL_SHARE * cut)
        self._trial = None
        if ratio.value > needed:
            self._baselines.rebase()
            self._limit = trial.restored
