"""What a node has seen of one target."""

import threading

from kumquatwalk.membership.member import Member

__all__ = ["FULL_LEVEL", "NO_LEVEL", "TargetView", "decay_level"]

FULL_LEVEL = 1023
NO_LEVEL = -1

LEVEL_HOLD_S = 0.2
LEVEL_RAMP_S = 0.8
FIRST_PENALTY_S = 0.1
LONGEST_PENALTY_S = 5.0
PROBE_TIMEOUT_S = 2.0


def decay_level(level: int, age_s: float) -> int:
    """Return the level to act on, given a level seen some time ago.

    A level that is not refreshed rises back to the full level, so that a few
    calls probe whether the overload is over.

    Args:
        level: Admission level as it was reported.
        age_s: Time since the report.

    Returns:
        The reported level at first, then rising steadily to the full level.

    Example:
        >>> decay_level(255, age_s=0.1)
        255
        >>> decay_level(255, age_s=2.0)
        1023
    """
    if age_s <= LEVEL_HOLD_S:
        return level
    if age_s >= LEVEL_HOLD_S + LEVEL_RAMP_S:
        return FULL_LEVEL
    share = (age_s - LEVEL_HOLD_S) / LEVEL_RAMP_S
    return level + int((FULL_LEVEL - level) * share)


class TargetView:
    """State of one target as seen by the calls of this node.

    Attributes:
        member: The node of the target.
    """

    def __init__(self, member: Member):
        self.member = member
        self._lock = threading.Lock()
        self._in_flight = 0
        self._level = FULL_LEVEL
        self._level_at = float("-inf")
        self._queued = 0
        self._failures = 0
        self._blocked_until = float("-inf")
        self._probe_until = float("-inf")

    @property
    def node_id(self) -> str:
        """Name of the target's node."""
        return self.member.node_id

    @property
    def in_flight(self) -> int:
        """Calls of this node in progress at the target."""
        return self._in_flight

    def estimate_load(self) -> float:
        """Return the load to compare targets by, in calls per slot.

        Returns:
            Calls in progress from here and calls last reported as queued, over
            the slots announced.
        """
        slots = self.member.target.slots or 1
        return (self._in_flight + self._queued) / slots

    def get_level(self, now: float) -> int:
        """Return the admission level to act on.

        Args:
            now: Present time.

        Returns:
            The level last seen, raised with its age.
        """
        return decay_level(self._level, now - self._level_at)

    def is_usable(self, now: float) -> bool:
        """Tell whether the target may be sent a call as to its failures.

        Args:
            now: Present time.

        Returns:
            False during the pause after a failure and while a probe runs.
        """
        if not self._failures:
            return True
        return now >= self._blocked_until and now >= self._probe_until

    def note_sent(self, now: float) -> None:
        """Record that a call was sent; after a failure it is the only probe.

        Args:
            now: Present time.
        """
        with self._lock:
            self._in_flight += 1
            if self._failures:
                self._probe_until = now + PROBE_TIMEOUT_S

    def note_reply(self, level: int, queued: int, now: float) -> None:
        """Record a reply.

        Args:
            level: Admission level on the reply.
            queued: Calls waiting at the target's gate.
            now: Present time.
        """
        with self._lock:
            self._in_flight = max(0, self._in_flight - 1)
            self._level = level
            self._level_at = now
            self._queued = queued
            self._failures = 0
            self._probe_until = now

    def note_failure(self, now: float) -> None:
        """Record that a call ended without a reply.

        Args:
            now: Present time.
        """
        with self._lock:
            self._in_flight = max(0, self._in_flight - 1)
            self._probe_until = now
            if now < self._blocked_until:
                return
            penalty = FIRST_PENALTY_S * 2 ** min(self._failures, 16)
            self._blocked_until = now + min(LONGEST_PENALTY_S, penalty)
            self._failures += 1
