"""How much faster requests arrive now than the rates of the last seconds say."""

__all__ = ["ArrivalTrend"]

# Weight of one interval of half a second in the slow rate, which then is about
# as old as the rates that nodes report to each other.
SLOW_WEIGHT = 0.25
# Requests in an interval below which it tells nothing: with ten, a rise by a
# half is more than chance makes in most intervals.
LEAST_COUNT = 10
# Rise below which there is none, and the most that is believed.
LEAST_RISE = 1.3
MOST_RISE = 4.0


class ArrivalTrend:
    """Compares the arrivals of one interval with those of the last seconds.

    The rates that nodes report are one or two seconds old. When a surge begins,
    the arrivals at this node tell it at once.
    """

    def __init__(self):
        self._count = 0
        self._began_at: float | None = None
        self._slow_per_s: float | None = None

    def note_arrival(self) -> None:
        """Record a request."""
        self._count += 1

    def end_interval(self, now: float) -> float:
        """End an interval and return the rise.

        Args:
            now: Present time, in seconds.

        Returns:
            Rate of the interval over the slow rate; 1 when it is no higher.
        """
        count, self._count = self._count, 0
        began_at, self._began_at = self._began_at, now
        if began_at is None or now <= began_at:
            return 1.0
        per_s = count / (now - began_at)
        slow_per_s = self._slow_per_s
        if slow_per_s is None:
            self._slow_per_s = per_s
            return 1.0
        self._slow_per_s += SLOW_WEIGHT * (per_s - slow_per_s)
        if count < LEAST_COUNT or per_s < LEAST_RISE * slow_per_s:
            return 1.0
        return min(MOST_RISE, per_s / max(slow_per_s, per_s / MOST_RISE))
