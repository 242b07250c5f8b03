"""Current slowness of a machine, from figures that its target reports."""

import math

__all__ = ["FADE_S", "SlownessMeter", "fade_slowness"]

# Time constant with which a figure loses its value, in seconds. Machines slow
# down for intervals of about 0.6 s, so a figure is on average half an interval
# away from the next change. Measured in docs/design/work-left.md.
FADE_S = 0.3
# Time constant of the smoothing of the figures, in seconds: about the length of
# a run. A shorter one makes all callers follow each change at once.
SMOOTHING_S = 0.1
# Time constant of the usual slowness, in seconds: many intervals, so that it is
# steady, and short against a change of the load on the machine.
USUAL_S = 30.0
# Largest part of the usual slowness that one figure replaces: a target that had
# no calls for a minute must not take its first figure for the usual one.
USUAL_WEIGHT_MAX = 0.05
# Range of figures that are taken literally; it bounds what a faulty target can
# make callers believe.
SLOWNESS_MIN = 0.1
SLOWNESS_MAX = 20.0
# Ratio of a time to its constant above which the fading is complete.
_FADED = 40.0


class SlownessMeter:
    """Smooths the reported slowness of a machine and measures progress by it.

    Slowness is the time that work takes over the time that it normally takes.
    Between two figures it is assumed to fade to the usual one.
    """

    def __init__(self):
        self.is_reported = False
        self._figure = 1.0
        self._smoothed = 1.0
        self._usual = 1.0
        self._observed_at = 0.0
        self._progress_s = 0.0

    @property
    def usual(self) -> float:
        """Mean slowness over about the last ``USUAL_S`` seconds."""
        return self._usual

    def observe(self, slowness: float, now: float) -> None:
        """Take in a figure that the target has reported.

        Args:
            slowness: Time that work takes now over the normal time.
            now: Current time, in seconds.
        """
        slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, slowness))
        self._progress_s = self.measure_progress(now)
        if not self.is_reported:
            self.is_reported = True
            self._smoothed = slowness
        else:
            elapsed_s = max(0.0, now - self._observed_at)
            weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
            self._smoothed += weight * (slowness - self._smoothed)
            weight = 1.0 - math.exp(-elapsed_s / USUAL_S)
            weight = min(USUAL_WEIGHT_MAX, weight)
            self._usual += weight * (slowness - self._usual)
        self._figure = slowness
        self._observed_at = now

    def estimate(self, now: float) -> float:
        """Return the slowness expected of a run that starts now.

        Args:
            now: Current time, in seconds.
        """
        relative = self._smoothed / self._usual
        age_s = now - self._observed_at
        return self._usual * fade_slowness(relative, age_s)

    def measure_progress(self, now: float) -> float:
        """Return how much work one run could have done so far.

        Args:
            now: Current time, in seconds.

        Returns:
            Time that the work would take at slowness 1, in seconds. Only
            differences of two values have a meaning.
        """
        ratio = min(_FADED, max(0.0, now - self._observed_at) / FADE_S)
        excess = self._figure / self._usual - 1.0
        # Integral of 1 / (usual * (1 + excess * exp(-t / FADE_S))).
        faded_s = FADE_S * math.log((math.exp(ratio) + excess) / (1.0 + excess))
        rest_s = max(0.0, now - self._observed_at - ratio * FADE_S)
        return self._progress_s + (faded_s + rest_s) / self._usual


def fade_slowness(relative: float, age_s: float) -> float:
    """Return what a slowness over the usual one is worth after some time.

    Args:
        relative: Slowness over the usual one when it was reported.
        age_s: Time since, in seconds.
    """
    return 1.0 + (relative - 1.0) * math.exp(-max(0.0, age_s) / FADE_S)
