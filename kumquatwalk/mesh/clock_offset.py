"""Offset between the clocks of two nodes."""

import math

__all__ = ["ClockOffset"]


class ClockOffset:
    """Estimates how far another node's clock is ahead, from its messages.

    Both clocks run at the same speed. A message is read some time after its
    sender has read its clock, so each one bounds the offset from below, and the
    largest bound is the best: it was in transit, and waited to be read, for the
    shortest time. The estimate is never too large, so that a deadline that is
    translated by it is never too late.
    """

    def __init__(self):
        self._bound = -math.inf

    @property
    def seconds(self) -> float:
        """Estimated offset, in seconds; 0 before the first message."""
        return self._bound if self._bound > -math.inf else 0.0

    def observe(self, clock_s: float, now: float) -> None:
        """Take a message into account.

        Args:
            clock_s: The sender's clock when it sent the message, in seconds.
            now: Current time, in seconds.
        """
        self._bound = max(self._bound, clock_s - now)

    def reset(self) -> None:
        """Forget all messages: the other node is another one now."""
        self._bound = -math.inf
