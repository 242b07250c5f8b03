"""Seeded plan of a soak in the shape of a deployment."""

import random

from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.platform_plan import Change
from kumquatwalk.soak.platform_plan import ChangeKind

__all__ = ["make_deployment_plan"]

# Time before the first series of stops and between two, in seconds.
SERIES_PAUSE_S = (1.0, 6.0)
# Share of the nodes that a series stops, and pause between two of its stops.
SERIES_SHARE = 0.45
STOP_PAUSE_S = (0.3, 1.7)
# Probability of a second SIGTERM, and time until it, in seconds.
SECOND_RATIO = 0.3
SECOND_S = (0.0, 3.0)
# Probabilities, for each stop, of a reload of any node, of a reload of the
# stopped one, of a new configuration and of a fault beside it.
RELOAD_RATIO = 0.5
RELOAD_STOPPED_RATIO = 0.2
CONFIG_RATIO = 0.4
FAULT_RATIO = 0.5
# Time between a stop and what goes with it, in seconds.
BESIDE_S = (-1.0, 3.0)
HOLD_S = (0.3, 4.0)

_LATE_TARGETS = (Fault.TARGET_SLOW, Fault.TARGET_SILENT)
_UNPLANNED = (Fault.NODE_KILL, Fault.NODE_PAUSE, Fault.TARGET_KILL)
_STORE = (Fault.STORE_OUTAGE, Fault.STORE_SLOW, Fault.STORE_ANSWERS_LOST)


def make_deployment_plan(
    seed: int, duration_s: float, nodes: tuple[str, ...]
) -> tuple[tuple[Action, ...], tuple[Change, ...]]:
    """Return the faults and changes of one soak, each in order of time.

    Series of stops overlap on all seeds. Odd seeds have planned work and
    targets that answer late; even ones also have kills and pauses, which
    excuse losses.

    Args:
        seed: Seed of the plan; the same seed gives the same plan.
        duration_s: Time in which faults and changes begin, in seconds.
        nodes: Identifiers of the nodes.
    """
    rng = random.Random(f"{seed}-deployment")
    faults = _choose_faults(seed)
    actions, changes = [], []
    at_s = rng.uniform(*SERIES_PAUSE_S)
    while at_s < duration_s:
        for node in rng.sample(nodes, round(SERIES_SHARE * len(nodes))):
            actions.append(Action(at_s, Fault.NODE_STOP, node, 0.0))
            if rng.random() < SECOND_RATIO:
                again_at_s = at_s + rng.uniform(*SECOND_S)
                actions.append(Action(again_at_s, Fault.NODE_STOP, node, 0.0))
            if faults and rng.random() < FAULT_RATIO:
                fault = rng.choice(faults)
                beside_s = max(0.0, at_s + rng.uniform(*BESIDE_S))
                hold_s = rng.uniform(*HOLD_S)
                other = rng.choice(nodes)
                actions.append(Action(beside_s, fault, other, hold_s))
            changes += _make_changes(rng, at_s, node, nodes)
            at_s += rng.uniform(*STOP_PAUSE_S)
        at_s += rng.uniform(*SERIES_PAUSE_S)
    return _sort(actions, duration_s), _sort(changes, duration_s)


def _choose_faults(seed: int) -> tuple[Fault, ...]:
    faults = () if seed % 2 else _UNPLANNED
    if seed // 2 % 2:
        faults += _LATE_TARGETS
    if seed % 3 == 0:
        faults += (Fault.TARGET_STOP,)
    if seed % 5 == 0:
        faults += _STORE
    return faults


def _make_changes(
    rng: random.Random, at_s: float, stopped: str, nodes: tuple[str, ...]
) -> list[Change]:
    changes = []
    for ratio, kind, node in (
        (RELOAD_RATIO, ChangeKind.RELOAD, rng.choice(nodes)),
        (RELOAD_STOPPED_RATIO, ChangeKind.RELOAD, stopped),
        (CONFIG_RATIO, ChangeKind.CONFIG, stopped),
    ):
        if rng.random() < ratio:
            beside_s = max(0.0, at_s + rng.uniform(*BESIDE_S))
            changes.append(Change(beside_s, kind, node))
    return changes


def _sort(entries: list, duration_s: float) -> tuple:
    """Return what begins in time, in order of time."""
    in_time = (entry for entry in entries if entry.at_s < duration_s)
    return tuple(sorted(in_time, key=lambda entry: entry.at_s))
