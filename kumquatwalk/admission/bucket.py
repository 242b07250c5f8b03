"""Token bucket for the rate limit of one entry."""

__all__ = ["TokenBucket"]

BURST_S = 0.25


class TokenBucket:
    """Limit on the rate of calls started, with a short burst.

    Args:
        rate_per_s: Calls allowed in a second.
        now: Present time.
    """

    def __init__(self, rate_per_s: float, now: float):
        self._rate_per_s = rate_per_s
        self._level = self._capacity
        self._at = now

    @property
    def _capacity(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; tokens already in the bucket stay.

        Args:
            rate_per_s: Calls allowed in a second.
            now: Present time.
        """
        self._fill(now)
        self._rate_per_s = rate_per_s
        self._level = min(self._level, self._capacity)

    def has_token(self, now: float) -> bool:
        """Tell whether a call may start.

        Args:
            now: Present time.

        Returns:
            Whether a token is in the bucket.
        """
        self._fill(now)
        return self._level >= 1.0

    def take(self) -> None:
        """Take the token of one call that starts."""
        self._level -= 1.0

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        filled = self._level + elapsed * self._rate_per_s
        self._level = min(self._capacity, filled)
