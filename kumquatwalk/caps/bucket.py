"""Token bucket of one team at one allocator."""

from kumquatwalk.caps.grants import GRANT_LIFETIME_S
from kumquatwalk.caps.grants import RecentGrants

__all__ = ["TeamBucket"]

# Minimum depth of a bucket, as seconds of its rate: tokens that come while no
# request for them is on its way are not lost.
DEPTH_MIN_S = 0.05
# Longest wait that an estimate returns, in seconds.
WAIT_MAX_S = 60.0


class TeamBucket:
    """Token bucket that starts empty and whose tokens may be returned.

    Invariant: tokens in the bucket and tokens that borrowers may still spend
    together are at most ``depth + rate * GRANT_LIFETIME_S``. So what is spent
    in a window of T seconds is at most
    ``rate * (T + GRANT_LIFETIME_S) + depth``.

    Args:
        rate_per_s: Tokens added per second.
        burst: Capacity; it is at least one token.
        now: Time from which tokens are added, in seconds.
    """

    __slots__ = ("_rate", "_depth", "_level", "_refilled_at", "_recent")

    def __init__(self, rate_per_s: float, burst: float, now: float):
        self._rate = rate_per_s
        self._depth = _limit_depth(rate_per_s, burst)
        self._level = 0.0
        self._refilled_at = now
        self._recent = RecentGrants()

    def set_limits(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limits; tokens above the new capacity are lost.

        Args:
            rate_per_s: Tokens added per second from now on.
            burst: Capacity; it is at least one token.
            now: Current time, in seconds.
        """
        if rate_per_s == self._rate and burst == self._depth:
            return
        self._refill(now)
        self._rate = rate_per_s
        self._depth = _limit_depth(rate_per_s, burst)
        self._level = min(self._level, self._depth)

    def take(self, count: int, now: float) -> int:
        """Take up to a number of tokens and return how many there were.

        Args:
            count: Number of tokens wanted.
            now: Current time, in seconds.
        """
        self._refill(now)
        taken = min(count, int(self._level))
        if taken > 0:
            self._level -= taken
            self._recent.add(taken, now)
        return taken

    def give_back(self, count: int, now: float) -> None:
        """Put unspent tokens back, as far as the invariant allows.

        Args:
            count: Number of tokens.
            now: Current time, in seconds.
        """
        self._refill(now)
        self._level += count
        self._limit_level()

    def estimate_wait(self, now: float) -> float:
        """Return the time until there is a token, in seconds.

        Args:
            now: Current time, in seconds.
        """
        self._refill(now)
        if self._level >= 1.0:
            return 0.0
        if self._rate <= 0.0:
            return WAIT_MAX_S
        return min(WAIT_MAX_S, (1.0 - self._level) / self._rate)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._recent.expire(now)
        self._level += elapsed * self._rate
        self._limit_level()

    def _limit_level(self) -> None:
        # Binds only after returns. Without it, tokens that are returned and
        # granted again in turn could pile up at borrowers.
        spendable = self._depth + self._rate * GRANT_LIFETIME_S
        room = max(0.0, spendable - self._recent.count)
        self._level = min(self._level, self._depth, room)


def _limit_depth(rate_per_s: float, burst: float) -> float:
    return max(1.0, burst, rate_per_s * DEPTH_MIN_S)
