"""Refusals by the targets of each service, merged from the reports of nodes."""

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.retry.refusals import REFUSED_SHARE_MIN
from kumquatwalk.retry.refusals import ServiceRefusals

__all__ = ["FleetRefusals", "RefusingService"]

# Age at which a report expires, in seconds: two intervals and a delay.
REPORT_TTL_S = 2.2
# Arrivals a second below which the share of refused ones is not known, and the
# same once it has been known, as few requests are admitted then.
ARRIVALS_MIN_PER_S = 8.0
ARRIVALS_KNOWN_MIN_PER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RefusingService:
    """Service whose targets refuse a considerable part of the calls.

    Attributes:
        refused_share: Share of the arrivals that they refuse as not run.
        retries_per_s: Retries that the budgets of all nodes still allow.
        attempts_max: Attempts that a call to the service may make.
    """

    refused_share: float
    retries_per_s: float
    attempts_max: int


class FleetRefusals:
    """Merges what nodes observe of the services whose targets refuse calls.

    The reports may come from a sample of the nodes; what they allow is then
    scaled to the whole fleet.
    """

    def __init__(self):
        self._reports: dict[
            str, tuple[float, str, Sequence[ServiceRefusals]]
        ] = {}
        self._known: frozenset[str] = frozenset()

    @property
    def has_reports(self) -> bool:
        """Whether a node has reported refusals lately."""
        return bool(self._reports)

    def add_report(
        self,
        node_id: str,
        own_service: str,
        refusals: Sequence[ServiceRefusals],
        now: float,
    ) -> None:
        """Replace a node's report.

        Args:
            node_id: Identifier of the node.
            own_service: Service of its target.
            refusals: Its report; empty if no service refuses its calls.
            now: Current time, in seconds.
        """
        if refusals:
            self._reports[node_id] = now, own_service, refusals
        elif self._reports:
            self._reports.pop(node_id, None)

    def list_services(
        self, nodes: Mapping[str, int], linked: Mapping[str, int], now: float
    ) -> dict[str, RefusingService]:
        """Return the services whose targets refuse calls, by name.

        Args:
            nodes: Nodes of each service in the fleet.
            linked: Those of them that send reports to this node.
            now: Current time, in seconds.
        """
        if not self._reports:
            self._known = frozenset()
            return {}
        sums: dict[str, list[float]] = {}
        for node_id, report in tuple(self._reports.items()):
            reported_at, own_service, refusals = report
            if now - reported_at > REPORT_TTL_S:
                del self._reports[node_id]
                continue
            scale = nodes.get(own_service, 1) / max(
                1, linked.get(own_service, 1)
            )
            for row in refusals:
                total = sums.setdefault(row.service, [0.0, 0.0, 0.0, 1])
                total[0] += scale * row.arrivals_per_s
                total[1] += scale * row.refused_per_s
                total[2] += scale * row.retries_per_s
                total[3] = max(total[3], row.attempts_max)
        found = {
            service: RefusingService(refused / arrivals, retries, attempts)
            for service, (arrivals, refused, retries, attempts) in sums.items()
            if arrivals >= self._get_arrivals_min(service)
            and refused >= REFUSED_SHARE_MIN * arrivals
        }
        self._known = frozenset(found)
        return found

    def _get_arrivals_min(self, service: str) -> float:
        is_known = service in self._known
        return ARRIVALS_KNOWN_MIN_PER_S if is_known else ARRIVALS_MIN_PER_S
