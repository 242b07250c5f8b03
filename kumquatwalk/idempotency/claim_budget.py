"""Token bucket that limits a node's claim writes to the store."""

from kumquatwalk.catalogue.importance import Importance

__all__ = ["ClaimBudget"]

# Share of the burst that a class leaves to more important ones.
_RESERVED_SHARE = {
    Importance.CRITICAL: 0.0,
    Importance.HIGH: 0.25,
    Importance.NORMAL: 0.5,
    Importance.SHEDDABLE: 0.75,
}


class ClaimBudget:
    """Token bucket whose last tokens are reserved for important classes.

    Args:
        rate_per_s: Refill rate, in writes per second.
        burst: Capacity of the bucket, in writes.

    Example:
        >>> budget = ClaimBudget(rate_per_s=1.0, burst=4.0)
        >>> budget.take(Importance.SHEDDABLE, 0.0)
        True
        >>> budget.take(Importance.SHEDDABLE, 0.0)
        False
        >>> budget.take(Importance.CRITICAL, 0.0)
        True
    """

    def __init__(self, rate_per_s: float, burst: float):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def take(self, importance: Importance, now: float) -> bool:
        """Take a token for one write, if the class may spend one.

        Args:
            importance: Priority class of the request.
            now: Current time in seconds.

        Returns:
            Whether a token was taken, that is, whether the write is allowed.
        """
        self._refill(now)
        reserved = self._burst * _RESERVED_SHARE[importance]
        if self._tokens - 1.0 < reserved - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the refill rate, for example when the fleet grows.

        Args:
            rate_per_s: New refill rate, in writes per second.
            now: Current time in seconds.
        """
        self._refill(now)
        self._rate_per_s = rate_per_s

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            elapsed_s = max(0.0, now - self._refilled_at)
            tokens = self._tokens + elapsed_s * self._rate_per_s
            self._tokens = min(self._burst, tokens)
        self._refilled_at = now
