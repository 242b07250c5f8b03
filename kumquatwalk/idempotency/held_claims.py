"""Claims that a node has obtained lately."""

import collections

from kumquatwalk.idempotency.claim import Claim

__all__ = ["HeldClaims"]

# Longer than a copy of the store from which it is restored is old.
RETENTION_S = 120.0
CLAIMS_MAX = 20_000


class HeldClaims:
    """Remembers claims, so that a store which lost them can be given them back.

    Example:
        >>> held = HeldClaims()
        >>> held.add("claims/1", Claim("n1", 1, "c", "f", 0), now=5.0)
        >>> [key for key, _ in held.list_newest_first(now=6.0)]
        ['claims/1']
    """

    def __init__(self):
        self._claims: collections.OrderedDict[str, tuple[float, Claim]] = (
            collections.OrderedDict()
        )

    def add(self, key: str, claim: Claim, now: float) -> None:
        """Remember a claim that the store has acknowledged.

        Args:
            key: Store key of the claim.
            claim: The claim.
            now: Current time, in seconds.
        """
        self._claims.pop(key, None)
        self._claims[key] = (now, claim)
        while len(self._claims) > CLAIMS_MAX:
            self._claims.popitem(last=False)
        self._drop_old(now)

    def list_newest_first(self, now: float) -> list[tuple[str, Claim]]:
        """Return the keys and claims of the retention period.

        Args:
            now: Current time, in seconds.
        """
        self._drop_old(now)
        items = reversed(self._claims.items())
        return [(key, claim) for key, (_, claim) in items]

    def _drop_old(self, now: float) -> None:
        while self._claims:
            key, (added_at, _) = next(iter(self._claims.items()))
            if now - added_at <= RETENTION_S:
                return
            del self._claims[key]
