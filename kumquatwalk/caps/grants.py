"""Lifetime of grants, and the memory of recent ones."""

import collections

__all__ = ["GRANT_LIFETIME_S", "RecentGrants"]

# Lifetime of granted tokens, in seconds, from the sending of their request. A
# window of T seconds may see the tokens of T + 0.3 s. That stays under the
# tenth of 5 s that the operators' check allows, and leaves 0.2 s for the time
# between a token and the arrival at the target.
GRANT_LIFETIME_S = 0.3


class RecentGrants:
    """Counts the tokens granted within the lifetime of a grant.

    The count is an upper bound of the tokens that borrowers may still spend.
    """

    __slots__ = ("_grants", "count")

    def __init__(self):
        self._grants: collections.deque[tuple[float, int]] = collections.deque()
        self.count = 0

    def add(self, count: int, now: float) -> None:
        """Record a grant.

        Args:
            count: Number of tokens.
            now: Current time, in seconds.
        """
        self._grants.append((now, count))
        self.count += count

    def expire(self, now: float) -> None:
        """Remove the grants that no borrower can use any more.

        Args:
            now: Current time, in seconds.
        """
        grants = self._grants
        while grants and grants[0][0] < now - GRANT_LIFETIME_S:
            self.count -= grants.popleft()[1]
