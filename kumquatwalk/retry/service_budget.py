"""Retry budget of one service: this node's part of the fleet's budget."""

import collections
import dataclasses
import math

__all__ = ["RetryAllowance", "ServiceRetryBudget"]

# Resolution of the sliding window, whose error is one bucket.
BUCKETS_PER_WINDOW = 10
# Fraction of the ratio and the slack that is used. The rest is a reserve for
# differences between the counts of nodes: a retry may be counted late, and the
# calls that a repeated run makes again are counted as first attempts.
BUDGET_FRACTION = 0.6
# Part of the budget that is reserved, while the targets of the service refuse
# calls, for calls on internal routes and for requests of the highest rank.
RESERVED_FRACTION = 0.5
# Part of the first attempts of the last bucket that is then expected in those
# that follow: the ingress admits less, and failing runs make fewer calls.
EXPECTED_PART = 0.15
# Buckets over which the budget is then paced: as long as refusals go on in the
# intended deployments; and those that are left at least, if they go on longer.
PACE_BUCKETS = 8
PACE_BUCKETS_MIN = 2
# Factor on the pace for one bucket of one node, as its calls are refused in no
# regular order.
BURST = 2.0
# The same for the time that the ingress needs to reduce its admission, in
# seconds: most retries of that time are spent on requests that fail later.
INITIAL_BURST = 0.5
INITIAL_S = 1.5


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

    def allows_retry(
        self,
        nodes: int,
        weight: float,
        now: float,
        refusing_s: float | None = None,
        may_use_reserve: bool = True,
        is_paced: bool = True,
    ) -> bool:
        """Return whether the budget allows a retry.

        Args:
            nodes: Number of nodes that share the slack.
            weight: Calls to the service that the retry causes; may be a
                fraction.
            now: Current time, in seconds.
            refusing_s: Time for which the targets of the service have refused
                calls, in seconds; a part of the budget is then reserved. None
                if they do not.
            may_use_reserve: Whether the retry may use that part.
            is_paced: Whether the budget is paced then.
        """
        budget = self._compute_budget(nodes, now)
        if self._retries.total() + weight > budget:
            return False
        if refusing_s is None:
            return True
        part = 1.0 if may_use_reserve else 1.0 - RESERVED_FRACTION
        if self._retries.total() + weight > part * budget:
            return False
        if not is_paced:
            return True
        in_bucket = self._retries[self._get_bucket(now)]
        factor = INITIAL_BURST if refusing_s < INITIAL_S else BURST
        pace = part * factor * self._compute_pace(nodes, refusing_s, now)
        # A small part of a node is rounded up to one retry.
        return in_bucket + weight <= max(pace, min(1.0, 4.0 * pace))

    def estimate_rate(self, nodes: int, refusing_s: float, now: float) -> float:
        """Return the retries a second that the budget allows from now on.

        Spent at this rate, the budget holds in all windows that end in the time
        for which refusals are expected to go on. First attempts expire in that
        time, and fewer follow, because the ingress admits less.

        Args:
            nodes: Number of nodes that share the slack.
            refusing_s: Time for which the targets of the service have refused
                calls, in seconds.
            now: Current time, in seconds.
        """
        self._evict_expired(self._get_bucket(now))
        return self._compute_pace(nodes, refusing_s, now) / self._bucket_s

    def _compute_pace(self, nodes: int, refusing_s: float, now: float) -> float:
        """Return the retries that the present bucket may have in all."""
        bucket = self._get_bucket(now)
        allowance = self._allowance
        slack = allowance.slack / max(1, nodes)
        counts = self._first_attempts
        expected = min(
            counts[bucket - 1], EXPECTED_PART * max(counts.values(), default=0)
        )
        first = float(counts.total())
        spent = self._retries.total() - self._retries[bucket]
        pace = math.inf
        elapsed = int(refusing_s / self._bucket_s)
        for ahead in range(max(PACE_BUCKETS_MIN, PACE_BUCKETS - elapsed)):
            if ahead:
                expired = bucket - BUCKETS_PER_WINDOW + ahead
                first += expected - counts[expired]
                spent -= self._retries[expired]
            budget = BUDGET_FRACTION * (allowance.ratio * first + slack)
            pace = min(pace, max(0.0, budget - spent) / (ahead + 1))
        return pace

    def _compute_budget(self, nodes: int, now: float) -> float:
        self._evict_expired(self._get_bucket(now))
        allowance = self._allowance
        return BUDGET_FRACTION * (
            allowance.ratio * self._first_attempts.total()
            + allowance.slack / max(1, nodes)
        )

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
