"""Retry budget of one service: this node's part of the fleet's budget."""

import collections
import dataclasses

__all__ = ["RetryAllowance", "ServiceRetryBudget"]

# Resolution of the sliding window, whose error is one bucket.
BUCKETS_PER_WINDOW = 10
# Fraction of the ratio and the slack that is used. The rest is a reserve for
# differences between the counts of nodes: a retry may be counted late, and the
# calls that a repeated run makes again are counted as first attempts.
BUDGET_FRACTION = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Bound on the retries that reach one service, over the whole fleet.

    Attributes:
        ratio: Retries allowed per first attempt in the window.
        slack: Retries allowed in the window beyond the ratio.
        window_s: Length of the sliding window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class ServiceRetryBudget:
    """Bounds retries by the first attempts in a sliding window.

    Args:
        allowance: Bound for the whole fleet; each node uses an equal part of
            its slack.
    """

    def __init__(self, allowance: RetryAllowance):
        self._allowance = allowance
        self._bucket_s = allowance.window_s / BUCKETS_PER_WINDOW
        self._first_attempts: collections.Counter[int] = collections.Counter()
        self._retries: collections.Counter[int] = collections.Counter()

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request.

        Args:
            now: Current time, in seconds.
        """
        self._first_attempts[self._get_bucket(now)] += 1

    def allows_retry(self, nodes: int, weight: float, now: float) -> bool:
        """Return whether the budget allows a retry.

        Args:
            nodes: Number of nodes that share the slack.
            weight: Calls to the service that the retry causes; may be a
                fraction.
            now: Current time, in seconds.
        """
        self._evict_expired(self._get_bucket(now))
        allowance = self._allowance
        budget = BUDGET_FRACTION * (
            allowance.ratio * self._first_attempts.total()
            + allowance.slack / max(1, nodes)
        )
        return self._retries.total() + weight <= budget

    def spend(self, weight: float, now: float) -> None:
        """Charge a retry to the budget.

        Args:
            weight: Calls to the service that the retry causes; may be a
                fraction.
            now: Current time, in seconds.
        """
        self._retries[self._get_bucket(now)] += weight

    def _get_bucket(self, now: float) -> int:
        return int(now / self._bucket_s)

    def _evict_expired(self, bucket: int) -> None:
        for counts in (self._first_attempts, self._retries):
            for old in [b for b in counts if b <= bucket - BUCKETS_PER_WINDOW]:
                del counts[old]
