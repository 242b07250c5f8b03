"""Bound on the retries of a whole node."""

import threading

__all__ = ["RetryBudget"]

WINDOW_S = 10.0
BUCKETS = 10
RETRY_RATIO = 0.1
MINIMUM_RETRIES = 3


class RetryBudget:
    """Ratio of retries to successful calls over a sliding window.

    The rule is the client-side retry budget of Beyer et al., "Site Reliability
    Engineering", chapter 21 (O'Reilly, 2016): retries stay under a tenth of
    the calls, so a service that fails sees at most a tenth more load.

    Example:
        >>> budget = RetryBudget()
        >>> budget.allows(now=0.0)
        True
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._successes = [0] * BUCKETS
        self._retries = [0] * BUCKETS
        self._bucket = 0
        self._success_sum = 0
        self._retry_sum = 0

    def note_success(self, now: float) -> None:
        """Record one call that succeeded.

        Args:
            now: Present time.
        """
        with self._lock:
            self._turn_to(now)
            self._successes[self._bucket % BUCKETS] += 1
            self._success_sum += 1

    def note_retry(self, now: float) -> None:
        """Record one retry.

        Args:
            now: Present time.
        """
        with self._lock:
            self._turn_to(now)
            self._retries[self._bucket % BUCKETS] += 1
            self._retry_sum += 1

    def allows(self, now: float) -> bool:
        """Tell whether one more retry fits the budget.

        Args:
            now: Present time.

        Returns:
            Whether the node may retry.
        """
        with self._lock:
            self._turn_to(now)
            allowed = MINIMUM_RETRIES + RETRY_RATIO * self._success_sum
            return self._retry_sum < allowed

    def _turn_to(self, now: float) -> None:
        bucket = int(now * BUCKETS / WINDOW_S)
        steps = min(BUCKETS, bucket - self._bucket)
        if steps <= 0:
            return
        for step in range(1, steps + 1):
            self._clear((bucket - steps + step) % BUCKETS)
        self._bucket = bucket

    def _clear(self, index: int) -> None:
        self._success_sum -= self._successes[index]
        self._retry_sum -= self._retries[index]
        self._successes[index] = 0
        self._retries[index] = 0
