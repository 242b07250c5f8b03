"""Seeded plan of faults on the links between nodes."""

import dataclasses
import enum
import random

from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.plan import Fault

__all__ = ["LinkAction", "LinkFault", "make_link_plan"]

# Ranges of the pause between two faults, of the time that one lasts, and of the
# delay of bytes, in seconds.
PAUSE_S = (0.2, 1.2)
HOLD_S = (0.3, 3.0)
DELAY_S = (0.05, 1.2)
# Probability that a stop is accompanied by a fault at a link of its node, and
# range of the time from the signal to that fault, in seconds.
STOP_RATIO = 0.6
STOP_AFTER_S = (-0.5, 5.0)
# Probability that a fault hits the links of all nodes to one.
ALL_RATIO = 0.3


class LinkFault(enum.Enum):
    """Kind of a fault of links."""

    DELAY = "link_delay"
    RESET = "link_reset"
    ONE_WAY = "link_one_way"
    SILENT = "link_silent"
    SILENT_FOR_GOOD = "link_silent_for_good"


@dataclasses.dataclass(frozen=True, slots=True)
class LinkAction:
    """One fault of the links from some nodes to one.

    Attributes:
        at_s: Time since the start, in seconds.
        fault: Kind of the fault.
        peers: Nodes that open the links.
        node_id: Node that accepts them.
        hold_s: Time until the fault is lifted, in seconds; not used for resets
            and for links that go silent for good.
        delay_s: Time by which bytes are late, in seconds.
        holds_calls: Which direction is cut of links that are cut one way.
    """

    at_s: float
    fault: LinkFault
    peers: tuple[str, ...]
    node_id: str
    hold_s: float
    delay_s: float
    holds_calls: bool


def make_link_plan(
    seed: int,
    duration_s: float,
    nodes: tuple[str, ...],
    plan: tuple[Action, ...],
) -> tuple[LinkAction, ...]:
    """Return the faults of links of one soak, in order of time.

    Args:
        seed: Seed of the faults; the same seed gives the same faults.
        duration_s: Time in which faults begin, in seconds.
        nodes: Identifiers of the nodes.
        plan: Other faults of the soak. Some faults of links fall into stops.
    """
    rng = random.Random(f"{seed}-links")
    actions = []
    at_s = rng.uniform(*PAUSE_S)
    while at_s < duration_s:
        actions.append(_make_action(rng, at_s, nodes, rng.choice(nodes)))
        at_s += rng.uniform(*PAUSE_S)
    for action in plan:
        if action.fault is Fault.NODE_STOP and rng.random() < STOP_RATIO:
            at_s = max(0.0, action.at_s + rng.uniform(*STOP_AFTER_S))
            node_id = rng.choice((action.node_id, rng.choice(nodes)))
            actions.append(_make_action(rng, at_s, nodes, node_id))
    return tuple(sorted(actions, key=lambda action: action.at_s))


def _make_action(
    rng: random.Random, at_s: float, nodes: tuple[str, ...], node_id: str
) -> LinkAction:
    others = tuple(node for node in nodes if node != node_id)
    peers = others if rng.random() < ALL_RATIO else (rng.choice(others),)
    return LinkAction(
        at_s,
        rng.choice(tuple(LinkFault)),
        peers,
        node_id,
        rng.uniform(*HOLD_S),
        rng.uniform(*DELAY_S),
        rng.random() < 0.5,
    )
