"""Seeded plan of a soak on the platform's interface."""

import dataclasses
import enum
import random

from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.plan import make_plan

__all__ = ["Change", "ChangeKind", "make_changes", "make_platform_plan"]

# Range of the pause between two changes, in seconds.
PAUSE_S = (0.3, 2.0)
# SIGHUPs follow a SIGTERM within this time, in seconds.
RELOAD_AFTER_STOP_S = 5.0
# Probability that a node is reloaded during its stop, or after its start.
RELOAD_RATIO = 0.5
# The platform's interface has no fault that cuts links between nodes.
_UNAVAILABLE = frozenset({Fault.NODE_CUT})
_UNPLANNED = frozenset({Fault.NODE_KILL, Fault.NODE_PAUSE, Fault.TARGET_KILL})


class ChangeKind(enum.Enum):
    """Kind of a change that operators make."""

    RELOAD = "reload"
    CONFIG = "config"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Change by the operators.

    Attributes:
        at_s: Time since the start, in seconds.
        kind: Kind of the change.
        node_id: Node that is reloaded; not used for a configuration.
    """

    at_s: float
    kind: ChangeKind
    node_id: str


def make_platform_plan(
    seed: int, duration_s: float, nodes: tuple[str, ...]
) -> tuple[Action, ...]:
    """Return the faults of one soak, in order of time.

    Odd seeds have planned stops and faults of the store and of targets that
    answer late; even seeds also have kills and pauses, which excuse losses.

    Args:
        seed: Seed of the plan; the same seed gives the same plan.
        duration_s: Time in which faults begin, in seconds.
        nodes: Identifiers of the nodes.
    """
    left_out = _UNAVAILABLE | (_UNPLANNED if seed % 2 else frozenset())
    plan = make_plan(seed, duration_s, nodes)
    return tuple(action for action in plan if action.fault not in left_out)


def make_changes(
    seed: int, duration_s: float, plan: tuple[Action, ...]
) -> tuple[Change, ...]:
    """Return the changes of one soak, in order of time.

    Args:
        seed: Seed of the changes; the same seed gives the same changes.
        duration_s: Time in which changes begin, in seconds.
        plan: Faults of the soak. Some reloads fall into their stops.
    """
    rng = random.Random(f"{seed}-changes")
    changes = []
    for action in plan:
        is_stop = action.fault is Fault.NODE_STOP
        if is_stop and rng.random() < RELOAD_RATIO:
            at_s = action.at_s + rng.uniform(0.0, RELOAD_AFTER_STOP_S)
            changes.append(Change(at_s, ChangeKind.RELOAD, action.node_id))
    nodes = sorted({action.node_id for action in plan})
    at_s = rng.uniform(*PAUSE_S)
    while at_s < duration_s and nodes:
        kind = rng.choice(tuple(ChangeKind))
        changes.append(Change(at_s, kind, rng.choice(nodes)))
        at_s += rng.uniform(*PAUSE_S)
    return tuple(sorted(changes, key=lambda change: change.at_s))
