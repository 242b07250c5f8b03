"""Seeded plan of faults that come in series and overlap."""

import dataclasses
import enum
import random

__all__ = ["Action", "Fault", "make_plan"]

# Range of the pause between two faults and of the time that one lasts, in
# seconds. Faults last longer than the pause, so that they overlap.
PAUSE_S = (0.1, 0.9)
HOLD_S = (0.3, 2.5)
# Number of signals that a planned stop may be followed by, within this time.
SERIES_MAX = 3
SERIES_S = 0.4


class Fault(enum.Enum):
    """Kind of a fault."""

    NODE_STOP = "node_stop"
    NODE_KILL = "node_kill"
    NODE_PAUSE = "node_pause"
    NODE_CUT = "node_cut"
    TARGET_STOP = "target_stop"
    TARGET_KILL = "target_kill"
    TARGET_PAUSE = "target_pause"
    TARGET_SLOW = "target_slow"
    TARGET_SILENT = "target_silent"
    STORE_OUTAGE = "store_outage"
    STORE_SLOW = "store_slow"
    STORE_ANSWERS_LOST = "store_answers_lost"


# Planned stops are the most frequent events in the life of a fleet.
_WEIGHTS = {fault: 1 for fault in Fault} | {Fault.NODE_STOP: 4}


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One fault.

    Attributes:
        at_s: Time since the start, in seconds.
        fault: Kind of the fault.
        node_id: Node or node beside the target; not used for the store.
        hold_s: Time until the fault is lifted, in seconds. Processes that
            ended are started again at once.
    """

    at_s: float
    fault: Fault
    node_id: str
    hold_s: float


def make_plan(
    seed: int, duration_s: float, nodes: tuple[str, ...]
) -> tuple[Action, ...]:
    """Return the faults of one soak, in order of time.

    Args:
        seed: Seed of the plan; the same seed gives the same plan.
        duration_s: Time in which faults begin, in seconds.
        nodes: Identifiers of the nodes.
    """
    rng = random.Random(seed)
    kinds = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    actions = []
    at_s = rng.uniform(*PAUSE_S)
    while at_s < duration_s:
        (fault,) = rng.choices(kinds, weights)
        node_id = rng.choice(nodes)
        actions.append(Action(at_s, fault, node_id, rng.uniform(*HOLD_S)))
        if fault is Fault.NODE_STOP:
            for _ in range(rng.randrange(SERIES_MAX)):
                again_at_s = at_s + rng.uniform(0.0, SERIES_S)
                actions.append(Action(again_at_s, fault, node_id, 0.0))
        at_s += rng.uniform(*PAUSE_S)
    return tuple(sorted(actions, key=lambda action: action.at_s))
