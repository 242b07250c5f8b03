"""Offset between the clocks of two nodes."""

import math

__all__ = ["ClockOffset"]

# Time for which a message counts at least, and at most twice as long, in
# seconds. Clocks that run apart do not differ by much meanwhile.
WINDOW_S = 30.0


class ClockOffset:
    """Estimates how far another node's clock is ahead, from its messages.

    A message is read some time after its sender has read its clock, so each one
    bounds the offset from below, and the largest bound is the best: it was in
    transit, and waited to be read, for the shortest time. The estimate is never
    too large, so that a deadline that is translated by it is never too late.
    """

    def __init__(self):
        # Largest bounds of the present window and of the one before.
        self._bound = -math.inf
        self._bound_before = -math.inf
        self._window_ends_at = -math.inf

    @property
    def seconds(self) -> float:
        """Estimated offset, in seconds; 0 before the first message."""
        bound = max(self._bound, self._bound_before)
        return bound if bound > -math.inf else 0.0

    def observe(self, clock_s: float, now: float) -> None:
        """Take a message into account.

        Args:
            clock_s: The sender's clock when it sent the message, in seconds.
            now: Current time, in seconds.
        """
        if now >= self._window_ends_at:
            self._bound_before, self._bound = self._bound, -math.inf
            self._window_ends_at = now + WINDOW_S
        self._bound = max(self._bound, clock_s - now)

    def reset(self) -> None:
        """Forget all messages: the other node is another one now."""
        self._bound = self._bound_before = -math.inf
