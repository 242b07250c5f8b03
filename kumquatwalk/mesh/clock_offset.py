"""Offset between the clocks of two nodes."""

import math

__all__ = ["ClockOffset"]

# Time for which a message counts at least, and at most twice as long, in
# seconds. Clocks that run apart do not differ by much meanwhile.
WINDOW_S = 30.0
# Maximum allowance for the time that the first message has waited, in seconds,
# and the time after it from which another message replaces it.
ALLOWANCE_MAX_S = 0.4
FRESH_AFTER_S = 0.05


class ClockOffset:
    """Estimates how far another node's clock is ahead, from its messages.

    A message is read some time after its sender has read its clock, so each one
    bounds the offset from below, and the largest bound is the best: it was in
    transit, and waited to be read, for the shortest time. The estimate is not
    too large, so that a deadline that is translated by it is not too late.

    The first message may have waited for long. It answers one that was sent to
    the other node, so it bounds the offset from above too. Until another has
    come, the estimate is that bound, or the other one and an allowance.
    """

    def __init__(self):
        # Largest bounds of the present window and of the one before.
        self._bound = -math.inf
        self._bound_before = -math.inf
        self._window_ends_at = -math.inf
        self._upper_bound = -math.inf
        self._answered_at = -math.inf

    @property
    def seconds(self) -> float:
        """Estimated offset, in seconds; 0 before the first message."""
        bound = max(self._bound, self._bound_before)
        if bound == -math.inf:
            return 0.0
        return max(bound, min(self._upper_bound, bound + ALLOWANCE_MAX_S))

    def observe_answer(
        self, clock_s: float, asked_at: float, now: float
    ) -> None:
        """Take the first message of a connection into account.

        Args:
            clock_s: The sender's clock when it sent the message, in seconds.
            asked_at: Time at which the message that it answers was sent, in
                seconds.
            now: Current time, in seconds.
        """
        is_first = max(self._bound, self._bound_before) == -math.inf
        self.observe(clock_s, now)
        if is_first:
            self._upper_bound = clock_s - asked_at
            self._answered_at = now

    def observe(self, clock_s: float, now: float) -> None:
        """Take a message into account.

        Args:
            clock_s: The sender's clock when it sent the message, in seconds.
            now: Current time, in seconds.
        """
        if now > self._answered_at + FRESH_AFTER_S:
            self._upper_bound = -math.inf
        if now >= self._window_ends_at:
            self._bound_before, self._bound = self._bound, -math.inf
            self._window_ends_at = now + WINDOW_S
        self._bound = max(self._bound, clock_s - now)

    def reset(self) -> None:
        """Forget all messages: the other node is another one now."""
        self._bound = self._bound_before = self._upper_bound = -math.inf
