"""Token bucket for the rate limit of one route."""

__all__ = ["TokenBucket"]

# Capacity of the bucket, as seconds of its rate.
BURST_S = 0.25


class TokenBucket:
    """Limits the rate at which calls start, with a short burst.

    The bucket holds at least one token, so that low rates are served too.

    Args:
        rate_per_s: Tokens added per second.
        now: Current time, in seconds.
        tokens_min: Minimum capacity. With more than one token, a caller that
            checks at intervals loses none.
    """

    def __init__(self, rate_per_s: float, now: float, tokens_min: float = 1.0):
        self._rate_per_s = rate_per_s
        self._tokens_min = tokens_min
        self._tokens = self._capacity
        self._refilled_at = now

    @property
    def _capacity(self) -> float:
        return max(self._tokens_min, self._rate_per_s * BURST_S)

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate, keeping the tokens up to the new capacity.

        Args:
            rate_per_s: Tokens added per second from now on.
            now: Current time, in seconds.
        """
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._capacity)

    def has_token(self, now: float) -> bool:
        """Return whether a call may start.

        Args:
            now: Current time, in seconds.
        """
        self._refill(now)
        return self._tokens >= 1.0

    def take(self) -> None:
        """Remove one token; call only after ``has_token`` returned true."""
        self._tokens -= 1.0

    def estimate_wait(self, tokens: int, now: float) -> float:
        """Return the time until a number of tokens has come, in seconds.

        Args:
            tokens: Number of tokens, perhaps more than the bucket holds.
            now: Current time, in seconds.
        """
        self._refill(now)
        return max(0.0, tokens - self._tokens) / self._rate_per_s

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        tokens = self._tokens + elapsed * self._rate_per_s
        self._tokens = min(self._capacity, tokens)
