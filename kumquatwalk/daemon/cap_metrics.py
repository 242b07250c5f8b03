"""Metrics of the caps of teams."""

from collections.abc import Callable

from kumquatwalk.metrics.counter import Counter
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.registry import MetricsRegistry

__all__ = ["CapMetrics"]


class CapMetrics:
    """Counters of requests under a cap and of tokens.

    Args:
        registry: Registry that exports them.
        zones: Zones with allocators.
        measure_share: Returns the part of its zone's share that this node may
            lend now.
    """

    def __init__(
        self,
        registry: MetricsRegistry,
        zones: tuple[str, ...],
        measure_share: Callable[[], float],
    ):
        self._registry = registry
        self._requests: dict[str, Counter] = {}
        self._granted = {z: self._make_tokens("granted", z) for z in zones}
        self._lost = self._make_tokens("lost", "")
        self._returned = self._make_tokens("returned", "")
        self._lent = self._make_tokens("lent", "")
        registry.gauge(
            "kumquatwalk_cap_share",
            help_text="Part of its zone's caps that this node lends.",
            reader=measure_share,
        )

    def record_request(self, result: str) -> None:
        """Count a request of a team with a cap.

        Args:
            result: ``granted``, or the code of the refusal.
        """
        counter = self._requests.get(result)
        if counter is None:
            counter = self._registry.counter(
                "kumquatwalk_cap_requests_total",
                Label("result", result),
                help_text="Requests of teams with a cap from this VM.",
            )
            self._requests[result] = counter
        counter.increment()

    def update_tokens(
        self, granted: dict[str, int], lost: int, returned: int, lent: int
    ) -> None:
        """Raise the counters of tokens to totals.

        Args:
            granted: Tokens granted to this node, by zone of the allocator.
            lost: Tokens that ended unspent here.
            returned: Tokens that this node has returned.
            lent: Tokens that this node has lent.
        """
        for zone, total in granted.items():
            _raise_to(self._granted[zone], total)
        _raise_to(self._lost, lost)
        _raise_to(self._returned, returned)
        _raise_to(self._lent, lent)

    def _make_tokens(self, event: str, zone: str) -> Counter:
        return self._registry.counter(
            "kumquatwalk_cap_tokens_total",
            Label("event", event),
            Label("zone", zone),
            help_text="Tokens of caps, by what became of them.",
        )


def _raise_to(counter: Counter, total: int) -> None:
    counter.increment(max(0, total - counter.read()))
