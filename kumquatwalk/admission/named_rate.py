"""Rate limit of a target, as last named in its responses."""

from kumquatwalk.admission.bucket import TokenBucket
from kumquatwalk.targets.rate_limit import RateLimit

__all__ = ["NamedRate"]

# Lowest rate that is kept to, per second. Without any request, no response
# would tell that the limit has ended or risen.
RATE_MIN_PER_S = 0.5
# Time after the last response that named a limit before one that names none
# ends it, in seconds. Responses may come out of order.
END_DELAY_S = 0.5
# Minimum capacity of the bucket: queued calls are started at intervals.
TOKENS_MIN = 2.0
# Rate before the first response, which is not yet known to name a limit.
PROVISIONAL_PER_S = 20.0


class NamedRate:
    """Keeps the calls of a target to the rate that it has named.

    A limit is in force from the first response that names it until a response
    names none. An unreadable limit leaves the one in force unchanged.

    Attributes:
        per_s: Rate in force, per second; None without one.
    """

    def __init__(self):
        self._bucket: TokenBucket | None = None
        self._named_at = 0.0
        self._provisional_starts: int | None = None
        self.per_s: float | None = None

    def expect_response(self, now: float) -> None:
        """Start calls at a provisional rate until the first response.

        A node that was just started does not know whether its target has named
        a limit to the process before.

        Args:
            now: Current time, in seconds.
        """
        self._bucket = TokenBucket(PROVISIONAL_PER_S, now)
        self._provisional_starts = 0

    def observe(self, limit: RateLimit, now: float) -> bool:
        """Apply what a response says.

        Args:
            limit: Limit in the response.
            now: Current time, in seconds.

        Returns:
            Whether the limit in force has changed.
        """
        if limit.is_named:
            self._named_at = now
            return limit.per_s is not None and self._set(limit.per_s, now)
        if self.per_s is None:
            self.clear()
            return False
        if now - self._named_at < END_DELAY_S:
            return False
        self.clear()
        return True

    def clear(self) -> None:
        """End the limit, because its target has been replaced."""
        self._bucket = None
        self._provisional_starts = None
        self.per_s = None

    def has_token(self, now: float) -> bool:
        """Return whether a call may start.

        Args:
            now: Current time, in seconds.
        """
        return self._bucket is None or self._bucket.has_token(now)

    def take(self) -> None:
        """Count a call that starts."""
        if self._bucket is not None:
            self._bucket.take()
        if self._provisional_starts is not None:
            self._provisional_starts += 1

    def estimate_wait(self, calls_ahead: int, now: float) -> float:
        """Return the time until a call may start, in seconds.

        Args:
            calls_ahead: Number of calls that start before it.
            now: Current time, in seconds.
        """
        if self._bucket is None:
            return 0.0
        return self._bucket.estimate_wait(calls_ahead + 1, now)

    def _set(self, per_s: float, now: float) -> bool:
        if per_s == self.per_s:
            return False
        rate = max(per_s, RATE_MIN_PER_S)
        if self.per_s is None or self._bucket is None:
            self._bucket = TokenBucket(rate, now, TOKENS_MIN)
            # What started before the limit was known counts towards it.
            for _ in range(self._provisional_starts or 0):
                self._bucket.take()
            self._provisional_starts = None
        self._bucket.set_rate(rate, now)
        self.per_s = per_s
        return True
