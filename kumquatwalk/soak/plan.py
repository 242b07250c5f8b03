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
# Range of the pause between two restores of the store, in seconds. Some follow
# before the nodes have dealt with the one before.
RESTORE_PAUSE_S = (0.5, 6.0)
RESTORE_HOLD_S = (0.1, 1.5)


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
    STORE_RESTORED = "store_restored"


# Planned stops are the most frequent events in the life of a fleet. Restores
# have a series of their own.
_WEIGHTS = {fault: 1 for fault in Fault if fault is not Fault.STORE_RESTORED}
_WEIGHTS |= {Fault.NODE_STOP: 4}


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
    actions += _make_restores(seed, duration_s, nodes[0])
    return tuple(sorted(actions, key=lambda action: action.at_s))


def _make_restores(seed: int, duration_s: float, node_id: str) -> list[Action]:
    rng = random.Random(f"{seed}-restores")
    actions = []
    at_s = rng.uniform(*RESTORE_PAUSE_S)
    while at_s < duration_s:
        hold_s = rng.uniform(*RESTORE_HOLD_S)
        actions.append(Action(at_s, Fault.STORE_RESTORED, node_id, hold_s))
        at_s += rng.uniform(*RESTORE_PAUSE_S)
    return actions
