"""Runs one soak whose stops take in all nodes of a service."""

import asyncio
import dataclasses
import pathlib
import random

from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.platform_plan import Change
from kumquatwalk.soak.platform_runner import run_in_folder
from kumquatwalk.soak.platform_soak import PlatformSoak
from kumquatwalk.soak.runner import SoakResult
from kumquatwalk.standin.attempt import HABITS
from kumquatwalk.standin.connection_caller import ConnectionCaller
from kumquatwalk.standin.node_place import NodePlace
from kumquatwalk.standin.platform_fleet import SERVICES
from kumquatwalk.standin.platform_fleet import PlatformFleet

__all__ = ["make_service_plan", "run_service_soak"]

# Three targets of the service of safe requests, one of the other.
_PLACES = tuple(
    NodePlace(f"n{number}", SERVICES[number // 4], f"z{(number - 1) % 3 + 1}")
    for number in range(1, 5)
)
NODES = tuple(place.name for place in _PLACES)
# Range of the pause between two stops, in seconds.
_PAUSE_S = (0.01, 0.4)
# Range of a run's time, in milliseconds: the longest ones leave time for a
# second run within the timeout of the route.
_WORK_MS = (100, 2800)
_HABITS = tuple(
    dataclasses.replace(habit, work_ms=_WORK_MS)
    for habit in HABITS
    if habit.name in ("unsafe", "pipelined")
)
_CALLERS_PER_HABIT = 6


def run_service_soak(
    seed: int, duration_s: float, keep: str | None = None
) -> SoakResult:
    """Run one soak in which nodes are stopped whenever they run.

    Often all nodes of a service are stopping at once. Nothing but planned work
    happens, so that nothing excuses a loss.

    Args:
        seed: Seed of the stops and of the callers.
        duration_s: Time in which stops begin, in seconds.
        keep: Folder in which the logs and the record are kept; None to keep
            them in a temporary folder, and only after a violation.
    """

    def run(folder: pathlib.Path) -> SoakResult:
        return asyncio.run(_ServiceSoak(seed, folder).run(duration_s))

    return run_in_folder(f"soak-service-{seed}-", keep, run)


def make_service_plan(seed: int, duration_s: float) -> tuple[Action, ...]:
    """Return the stops of one soak, in order of time.

    Args:
        seed: Seed of the plan; the same seed gives the same plan.
        duration_s: Time in which stops begin, in seconds.
    """
    rng = random.Random(f"{seed}-service")
    actions = []
    at_s = rng.uniform(*_PAUSE_S)
    while at_s < duration_s:
        node = rng.choice(NODES)
        actions.append(Action(at_s, Fault.NODE_STOP, node, 0.0))
        at_s += rng.uniform(*_PAUSE_S)
    return tuple(actions)


class _ServiceFleet(PlatformFleet):

    def _get_place(self, number: int) -> NodePlace:
        return _PLACES[number]


class _ServiceSoak(PlatformSoak):

    def __init__(self, seed: int, folder: pathlib.Path):
        super().__init__(seed, _ServiceFleet(folder), len(_PLACES), folder)

    def make_callers(self) -> list[ConnectionCaller]:
        """Return six callers of each habit for each node."""
        callers = []
        for node in self._fleet.nodes.values():
            for number, habit in enumerate(_HABITS * _CALLERS_PER_HABIT):
                name = f"{self._seed}-{node.name}-{number}"
                callers.append(
                    ConnectionCaller(
                        name,
                        habit,
                        node.name,
                        node.listeners["outbound"],
                        lambda node=node: node.pid,
                        random.Random(name),
                        self._attempts,
                    )
                )
        return callers

    def make_plan(
        self, duration_s: float
    ) -> tuple[tuple[Action, ...], tuple[Change, ...]]:
        """Return the stops in order of time, and no changes.

        Args:
            duration_s: Time in which they begin, in seconds.
        """
        return make_service_plan(self._seed, duration_s), ()
