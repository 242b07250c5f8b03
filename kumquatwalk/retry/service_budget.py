"""This node's share of the repeated arrivals that a service may get."""

import collections
import dataclasses

__all__ = ["RetryAllowance", "ServiceRetryBudget"]

# Buckets of a window; the sliding window errs by one of them.
BUCKETS = 10
# Share of the ratio and of the slack that is used. The rest covers repeats
# that other nodes count differently: late, or by calls of repeated runs.
USED_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Bound on repeated arrivals at one service.

    Attributes:
        ratio: Repeated arrivals over first ones.
        slack: Repeated arrivals beyond the ratio, for the whole fleet.
        window_s: Window in which the bound holds, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class ServiceRetryBudget:
    """Sliding window over first and repeated arrivals of one service.

    Args:
        allowance: Bound for the whole fleet.
    """

    def __init__(self, allowance: RetryAllowance):
        self._allowance = allowance
        self._bucket_s = allowance.window_s / BUCKETS
        self._first: collections.Counter[int] = collections.Counter()
        self._repeated: collections.Counter[int] = collections.Counter()

    def note_first(self, now: float) -> None:
        """Record the first arrival of a request.

        Args:
            now: Present time.
        """
        self._first[self._find_bucket(now)] += 1

    def has_room(self, nodes: int, weight: float, now: float) -> bool:
        """Return whether a request may be sent again.

        Args:
            nodes: Nodes that share the slack.
            weight: Arrivals at the service that the repeat causes.
            now: Present time.
        """
        self._forget(self._find_bucket(now))
        allowance = self._allowance
        most = USED_SHARE * (
            allowance.ratio * self._first.total()
            + allowance.slack / max(1, nodes)
        )
        return self._repeated.total() + weight <= most

    def spend(self, weight: float, now: float) -> None:
        """Record a repeat.

        Args:
            weight: Arrivals at the service that the repeat causes.
            now: Present time.
        """
        self._repeated[self._find_bucket(now)] += weight

    def _find_bucket(self, now: float) -> int:
        return int(now / self._bucket_s)

    def _forget(self, bucket: int) -> None:
        for counts in (self._first, self._repeated):
            for old in [b for b in counts if b <= bucket - BUCKETS]:
                del counts[old]
