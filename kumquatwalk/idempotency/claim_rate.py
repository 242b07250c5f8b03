"""Adaptive rate limit of a node's claim writes."""

__all__ = ["ClaimRate"]

INITIAL_RATE_PER_S = 20.0
MIN_RATE_PER_S = 0.5
MAX_RATE_PER_S = 50.0
RATE_INCREASE_PER_S = 0.5
DECREASE_FACTOR = 0.5
SLOW_WRITE_S = 0.05
DECREASE_INTERVAL_S = 0.5


class ClaimRate:
    """Additive-increase, multiplicative-decrease (AIMD) control of the rate.

    The platform's store accepts a limited number of writes from the whole
    fleet. Nodes share this capacity without coordination, as senders share a
    network (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms
    for Congestion Avoidance in Computer Networks", 1989): each lowers its rate
    when answers are slow or missing and raises it while they are fast.

    Example:
        >>> rate = ClaimRate()
        >>> rate.update(elapsed_s=0.004, is_answered=True, now=1.0)
        20.5
        >>> rate.update(elapsed_s=0.4, is_answered=True, now=2.0)
        10.25
    """

    def __init__(self):
        self._rate_per_s = INITIAL_RATE_PER_S
        self._decreased_at = float("-inf")

    def update(self, elapsed_s: float, is_answered: bool, now: float) -> float:
        """Adjust the rate to the result of one write.

        A slow or unanswered write lowers the rate, at most once within
        ``DECREASE_INTERVAL_S``; any other write raises it.

        Args:
            elapsed_s: Duration of the write in seconds.
            is_answered: Whether the store answered it.
            now: Current time in seconds.

        Returns:
            New rate, in writes per second.
        """
        if is_answered and elapsed_s <= SLOW_WRITE_S:
            self._rate_per_s = min(
                self._rate_per_s + RATE_INCREASE_PER_S, MAX_RATE_PER_S
            )
        elif now - self._decreased_at >= DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._rate_per_s = max(
                self._rate_per_s * DECREASE_FACTOR, MIN_RATE_PER_S
            )
        return self._rate_per_s
