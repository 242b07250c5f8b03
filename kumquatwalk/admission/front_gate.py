"""Refusal at the front of what a service deep in the chain cannot carry."""

import dataclasses
import math
from collections.abc import Mapping

__all__ = ["FrontGate", "ServiceLoad"]

# Load at which a service is full: calls that run and wait over those that may
# run. A few calls always wait where all places are taken.
FULL_LOAD = 1.08
# Load below which the price of a service falls.
EASY_LOAD = 0.92
# Price of a service when it first is full, in values for a second of one of
# its places. At this price a request of one value that needs a second there is
# refused half the time.
FIRST_PRICE = 0.7
# Price below which a service is free.
LEAST_PRICE = 0.2
# Highest price; a request that needs 20 ms is refused half the time there.
HIGHEST_PRICE = 50.0
# Exponent by which the price rises for load over FULL_LOAD, at each look, and
# the most that it rises; and the share by which it falls where there is no
# load at all.
RISE = 0.6
RISE_MAX = 0.5
FALL = 0.7
# Time between two looks at the loads, in seconds: news comes as often.
LOOK_INTERVAL_S = 0.5
# Value of a request by rank, relative to the least important; rank 0 is money
# and orders, which are refused last.
VALUE_BY_RANK = (8.0, 4.0)
# Value of a request whose caller comes back after a refusal, relative to a
# new one: it has waited already, and does not come a third time.
RETURNING_VALUE = 2.5
# Share of each kind of request that is let through at any price, so that no
# kind of caller is shut out.
LEAST_SHARE = 0.35
# Width of the passage from all to none, as a share of the value.
SLOPE = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of all targets of a service.

    Attributes:
        busy: Calls that run and that wait.
        limit: Calls that may run.
    """

    busy: int
    limit: int


class FrontGate:
    """Sets a price on each full service and lets pass what is worth it.

    The prices are the dual variables of network utility maximization (Kelly,
    Maulloo and Tan, "Rate control for communication networks", 1998): each
    rises while its service is full, and a request passes when its value
    exceeds what it costs over its whole chain. All nodes see the same loads
    and come to the same prices.
    """

    def __init__(self):
        self._prices: dict[str, float] = {}
        self._looked_at = -math.inf

    @property
    def prices(self) -> Mapping[str, float]:
        """Price of each full service, in values a second of one place."""
        return self._prices

    def is_due(self, now: float) -> bool:
        """Return whether to look at the loads again.

        Args:
            now: Present time.
        """
        return now - self._looked_at >= LOOK_INTERVAL_S

    def look(self, loads: Mapping[str, ServiceLoad], now: float) -> None:
        """Set the prices from the loads.

        Args:
            loads: Load of each service.
            now: Present time.
        """
        self._looked_at = now
        for service, load in loads.items():
            share = load.busy / max(1, load.limit)
            price = self._adjust(self._prices.get(service, 0.0), share)
            if price < LEAST_PRICE:
                self._prices.pop(service, None)
            else:
                self._prices[service] = price

    def get_share(
        self, needs: Mapping[str, float], rank: int, is_returning: bool
    ) -> float:
        """Return the share of such requests that pass, 0 to 1.

        Args:
            needs: Time of places that a request takes, in seconds, by service.
            rank: Order under pressure; 0 is the most important.
            is_returning: Whether the caller comes back after a refusal.
        """
        cost = sum(
            self._prices.get(service, 0.0) * need_s
            for service, need_s in needs.items()
        )
        if not cost:
            return 1.0
        value = VALUE_BY_RANK[rank] if rank < len(VALUE_BY_RANK) else 1.0
        if is_returning:
            value *= RETURNING_VALUE
        share = 0.5 + (value - cost) / (SLOPE * value)
        return min(1.0, max(LEAST_SHARE, share))

    def _adjust(self, price: float, share: float) -> float:
        if share > FULL_LOAD:
            rise = math.exp(min(RISE_MAX, RISE * (share - FULL_LOAD)))
            return min(HIGHEST_PRICE, max(FIRST_PRICE, price * rise))
        if share < EASY_LOAD:
            return price * (1.0 - FALL * (1.0 - share / EASY_LOAD))
        return price
