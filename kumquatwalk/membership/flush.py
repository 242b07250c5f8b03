"""Times at which queued items are sent without waiting for a probe."""

import math

from kumquatwalk.membership.tier import Tier

__all__ = ["FlushSchedule"]

FLUSH_GAP_S = 0.05


class FlushSchedule:
    """Times at which queued items are sent without waiting for a probe.

    Requests that fall within ``FLUSH_GAP_S`` of one another are joined.
    """

    def __init__(self):
        self._slots: dict[int, Tier] = {}

    @property
    def due_at(self) -> float:
        """Return the time of the next flush, monotonic seconds."""
        return min(self._slots) * FLUSH_GAP_S if self._slots else math.inf

    def request(self, at: float, tier: Tier) -> None:
        """Ask for a flush.

        Args:
            at: Earliest time, monotonic seconds.
            tier: Tier of traffic that it counts as.
        """
        slot = math.ceil(at / FLUSH_GAP_S)
        present = self._slots.get(slot, tier)
        self._slots[slot] = min(tier, present, key=lambda t: t.value)

    def pop(self, now: float) -> Tier | None:
        """Remove the requests that are due.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The tier of the most urgent; None when there were none.
        """
        due = [slot for slot in self._slots if slot * FLUSH_GAP_S <= now]
        tiers = [self._slots.pop(slot) for slot in due]
        return min(tiers, key=lambda t: t.value, default=None)
