"""Use of the target by one entry, against the entry's limits."""

from kumquatwalk import codes
from kumquatwalk.admission.bucket import TokenBucket
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.limits import Limits

__all__ = ["EntryUsage"]

TIME_WEIGHT = 0.1


class EntryUsage:
    """Calls of one entry in progress, its share of limits, its run times.

    Limits of the catalogue hold for the whole fleet. A gate enforces an equal
    share of them, and at least one call at a time.

    Args:
        entry: The entry.
        targets: Targets of the service now known.
        now: Present time.
    """

    def __init__(self, entry: Entry, targets: int, now: float):
        self.in_flight = 0
        self._limits = entry.limits
        self._targets = targets
        self._run_time_s = 0.0
        self._bucket = TokenBucket(self._rate_share(), now)

    def set_limits(self, limits: Limits, targets: int, now: float) -> None:
        """Take changed limits or a changed number of targets.

        Args:
            limits: Limits in force.
            targets: Targets of the service now known.
            now: Present time.
        """
        if limits is self._limits and targets == self._targets:
            return
        self._limits = limits
        self._targets = targets
        self._bucket.set_rate(self._rate_share(), now)

    def find_refusal(self, remaining_s: float, now: float) -> str:
        """Return why a call of the entry may not start.

        Args:
            remaining_s: Time until the deadline of the call.
            now: Present time.

        Returns:
            The code, or the empty string when it may start.
        """
        if remaining_s <= 0.0 or self._is_too_late(remaining_s):
            return codes.DEADLINE_EXCEEDED
        if self.in_flight >= self._in_flight_share():
            return codes.ENTRY_LIMIT
        if not self._bucket.has_token(now):
            return codes.RATE_LIMIT
        return codes.ADMITTED

    def start(self) -> None:
        """Record that a call starts."""
        self.in_flight += 1
        self._bucket.take()

    def finish(self, run_time_s: float | None) -> None:
        """Record that a call ended.

        Args:
            run_time_s: Time at the target; None when it was not run.
        """
        self.in_flight -= 1
        if run_time_s is None:
            return
        if not self._run_time_s:
            self._run_time_s = run_time_s
        self._run_time_s += TIME_WEIGHT * (run_time_s - self._run_time_s)

    def _is_too_late(self, remaining_s: float) -> bool:
        # With none in flight, one call runs to learn the present run time.
        return self.in_flight > 0 and remaining_s < self._run_time_s

    def _in_flight_share(self) -> int:
        return max(1, self._limits.in_flight // self._targets)

    def _rate_share(self) -> float:
        return self._limits.rate_per_s / self._targets
