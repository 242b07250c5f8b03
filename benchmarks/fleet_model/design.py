"""Designs of the fleet that are compared."""

import dataclasses

__all__ = ["DESIGNS", "Design"]


@dataclasses.dataclass(frozen=True, slots=True)
class Design:
    """How nodes learn of each other and choose among each other.

    Attributes:
        has_subset: Whether a node is linked to a subset of each service; if
            not, to all nodes, and it compares the costs of all targets.
        status_interval_s: Time between two status messages on a link, in
            seconds.
        roster_delay_s: Longest time until a node reads of another in the
            roster, in seconds; it is drawn evenly up to this.
    """

    has_subset: bool
    status_interval_s: float
    roster_delay_s: float

    def compute_report_interval(self, nodes: int) -> float:
        """Return the time between two traffic reports on a link, in seconds.

        Args:
            nodes: Number of nodes of the fleet.
        """
        return 1.0 if self.has_subset else max(1.0, float(nodes // 16))


# "all-links" is the design before subsets, kept here as the baseline.
DESIGNS = {
    "all-links": Design(False, 0.5, 0.25),
    "subset": Design(True, 1.0, 8.0),
}
