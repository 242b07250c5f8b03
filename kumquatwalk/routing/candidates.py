"""The targets of one service, split by zone."""

import dataclasses

from kumquatwalk.routing.view import TargetView

__all__ = ["Candidates", "NO_CANDIDATES"]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """Targets of a service that take calls.

    Attributes:
        local: Ready targets in the node's own zone.
        remote: Ready targets in other zones.
        warming: Targets, in any zone, that have announced a cold start.
    """

    local: tuple[TargetView, ...] = ()
    remote: tuple[TargetView, ...] = ()
    warming: tuple[TargetView, ...] = ()


NO_CANDIDATES = Candidates()
