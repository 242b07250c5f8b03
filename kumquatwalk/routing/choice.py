"""Choice of the target for one attempt of a call."""

import dataclasses
import random
from collections.abc import Sequence

from kumquatwalk import codes
from kumquatwalk.routing.candidates import Candidates
from kumquatwalk.routing.view import TargetView

__all__ = ["Choice", "choose_target"]

WARMING_LOAD = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Target chosen for one attempt, or why there is none.

    Attributes:
        target: View of the target; None when the call is refused.
        code: Why the call is refused; empty when a target was chosen.
    """

    target: TargetView | None
    code: str = ""


ABSENT = Choice(None, codes.TARGET_ABSENT)
OVERLOADED = Choice(None, codes.OVERLOADED)
UNREACHABLE = Choice(None, codes.LINK_FAILED)


def choose_target(
    candidates: Candidates,
    priority: int,
    excluded: frozenset[str],
    random_generator: random.Random,
    now: float,
) -> Choice:
    """Choose the less loaded of two targets drawn at random.

    Two random choices come within a constant of the best balance and, unlike
    the choice of the least loaded target, do not herd on stale reports
    (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    IEEE TPDS 2001). The node's own zone comes first; other zones serve when
    no target of the own zone takes the call.

    Args:
        candidates: Targets of the service.
        priority: Priority of the call.
        excluded: Node names of targets already tried for the call.
        random_generator: Source of the draws.
        now: Present time.

    Returns:
        The choice. It is refused as overloaded only when some targets could be
        called and none of them admits the priority.
    """
    is_reachable = False
    for group in (candidates.local, candidates.remote, candidates.warming):
        usable = [
            view
            for view in group
            if view.is_usable(now) and view.node_id not in excluded
        ]
        admitting = [v for v in usable if priority <= v.get_level(now)]
        if admitting:
            return Choice(_pick(admitting, random_generator))
        is_reachable = is_reachable or bool(usable)
    if is_reachable:
        return OVERLOADED
    return _explain_absence(candidates, excluded)


def _pick(
    views: Sequence[TargetView], random_generator: random.Random
) -> TargetView:
    count = len(views)
    if count == 1:
        return views[0]
    first = int(random_generator.random() * count)
    second = int(random_generator.random() * (count - 1))
    if second >= first:
        second += 1
    one = views[first]
    other = views[second]
    return one if one.estimate_load() <= other.estimate_load() else other


def _explain_absence(
    candidates: Candidates, excluded: frozenset[str]
) -> Choice:
    groups = (candidates.local, candidates.remote, candidates.warming)
    if any(v.node_id not in excluded for group in groups for v in group):
        return UNREACHABLE
    return ABSENT
