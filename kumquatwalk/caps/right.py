"""Right of a process to lend, bounded by the lifetime of its record."""

import math

__all__ = [
    "LEFTOVER_S",
    "LendingRight",
    "RECORD_LIFETIME_S",
    "RENEWAL_INTERVAL_S",
]

# Time for which a record that is not renewed gives the whole right, in seconds:
# longer than usual outages of the store.
RECORD_LIFETIME_S = 30.0
# Time for which the holder of an expired record goes on with half, in seconds.
# Its successor gets the other half meanwhile.
LEFTOVER_S = 600.0
# Interval of renewals, in seconds; two may fail before the lifetime ends.
RENEWAL_INTERVAL_S = 9.0
# Part by which a holder counts its times shorter than others do, since clocks
# of two VMs do not run at exactly the same speed.
CLOCK_MARGIN = 0.01


class LendingRight:
    """What the process may lend, counted from its last renewal.

    Attributes:
        fraction: Part of the zone's share that the record gives.
        whole_at: Time from which a holder of a part may claim the whole share,
            in seconds; infinite while it holds nothing.
    """

    def __init__(self):
        self.fraction = 0.0
        self.whole_at = math.inf
        self._renewed_at = -math.inf

    def confirm(self, fraction: float, sent_at: float, now: float) -> None:
        """Record that the store holds this process's record.

        Args:
            fraction: Part that the record gives.
            sent_at: Time at which the write was sent, in seconds.
            now: Current time, in seconds.
        """
        if self.fraction == 0.0 or fraction < self.fraction:
            # Other holders may lend the rest for so long.
            self.whole_at = now + LEFTOVER_S
        self.fraction = fraction
        self._renewed_at = sent_at

    def lose(self) -> None:
        """Give up the right, as another process holds the record."""
        self.fraction = 0.0
        self.whole_at = math.inf
        self._renewed_at = -math.inf

    def measure_share(self, now: float) -> float:
        """Return the part of the zone's share that may be lent now.

        Args:
            now: Current time, in seconds.
        """
        if self.fraction == 0.0:
            return 0.0
        age_s = (now - self._renewed_at) * (1.0 + CLOCK_MARGIN)
        if age_s < RECORD_LIFETIME_S:
            return self.fraction
        if age_s < RECORD_LIFETIME_S + LEFTOVER_S:
            return 0.5 * self.fraction
        return 0.0
