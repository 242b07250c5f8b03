"""Token bucket that bounds the bytes sent."""

__all__ = ["ByteBudget"]


class ByteBudget:
    """Token bucket over sent bytes, with reserves for urgent traffic.

    Over any period the bytes taken are at most the burst plus the rate times
    the period. A reserve is a part of the burst that lesser traffic leaves
    untouched, so that bulk transfers cannot silence the failure detector.

    Example:
        >>> budget = ByteBudget(rate_bytes_per_s=10, burst_bytes=50, now=0.0)
        >>> budget.take(50, 0, now=0.0), budget.take(1, 0, now=0.0)
        (True, False)
    """

    def __init__(self, rate_bytes_per_s: float, burst_bytes: float, now: float):
        self._rate = rate_bytes_per_s
        self._burst = burst_bytes
        self._tokens = burst_bytes
        self._updated_at = now

    @property
    def burst_bytes(self) -> float:
        """Return the size of the bucket."""
        return self._burst

    def available(self, reserve: float, now: float) -> float:
        """Return the bytes that may be sent while keeping the reserve.

        Args:
            reserve: Bytes to leave untouched.
            now: Monotonic time in seconds.

        Returns:
            Number of bytes, not below zero.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        return max(0.0, self._tokens - reserve)

    def take(self, size: int, reserve: float, now: float) -> bool:
        """Take tokens for one datagram, or refuse it.

        Args:
            size: Size of the datagram in bytes.
            reserve: Bytes to leave untouched.
            now: Monotonic time in seconds.

        Returns:
            Whether the datagram may be sent.
        """
        if size > self.available(reserve, now):
            return False
        self._tokens -= size
        return True
