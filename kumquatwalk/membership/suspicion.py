"""Timers after which suspected members are declared dead."""

import heapq
import math

from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.timing import Timing

__all__ = ["SuspicionTimers", "measure_suspicion"]


def measure_suspicion(timing: Timing, member_count: int) -> float:
    """Return how long a member stays SUSPECT, in seconds.

    Args:
        timing: Intervals of the protocol.
        member_count: Number of living members.

    Returns:
        A time that grows with the logarithm of the fleet's size.
    """
    factor = max(1.0, math.log10(member_count + 1))
    return timing.suspicion_periods * timing.probe_interval_s * factor


class SuspicionTimers:
    """Timers after which suspected members are declared dead."""

    def __init__(self):
        self._timers: list[tuple[float, str, int, int]] = []

    @property
    def due_at(self) -> float:
        """Return when the first timer ends, monotonic seconds."""
        return self._timers[0][0] if self._timers else math.inf

    def start(self, member: Member, ends_at: float) -> None:
        """Start the timer of a suspected member.

        Args:
            member: Record of the member in the state SUSPECT.
            ends_at: When to declare it DEAD, monotonic seconds.
        """
        timer = (ends_at, member.node_id, member.incarnation, member.version)
        heapq.heappush(self._timers, timer)

    def extend(self, stalled_s: float) -> None:
        """Extend all timers by a time during which this node was stalled.

        Args:
            stalled_s: Length of the stall in seconds.
        """
        self._timers = [(t + stalled_s, *rest) for t, *rest in self._timers]

    def pop(self, now: float) -> StateClaim | None:
        """Return the claim of one timer that has ended.

        Args:
            now: Monotonic time in seconds.

        Returns:
            A claim that the member is DEAD, void if it was refuted meanwhile;
            None when no timer has ended.
        """
        if self.due_at > now:
            return None
        _, node_id, incarnation, version = heapq.heappop(self._timers)
        return StateClaim(node_id, incarnation, version, MemberState.DEAD)
