"""Runs one soak in the shape of a deployment."""

import asyncio
import dataclasses
import pathlib
import random
from collections.abc import Iterator

import uvloop

from kumquatwalk.clock import read_now
from kumquatwalk.soak.deployment_plan import make_deployment_plan
from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.platform_plan import Change
from kumquatwalk.soak.platform_runner import run_in_folder
from kumquatwalk.soak.platform_soak import Event
from kumquatwalk.soak.platform_soak import PlatformSoak
from kumquatwalk.soak.runner import SoakResult
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.deployment_caller import DeploymentCaller
from kumquatwalk.standin.deployment_fleet import PLACES
from kumquatwalk.standin.deployment_fleet import ZONES
from kumquatwalk.standin.deployment_fleet import DeploymentFleet
from kumquatwalk.standin.request_class import CLASSES

__all__ = ["run_deployment_soak"]

_FRESH = Habit("fresh", requests_max=1, reconnect_s=(0.0, 1.0))
_HABITS = {
    "status": _FRESH,
    "lookup": _FRESH,
    "fee": Habit("pool", pause_s=(0.0, 1.0), is_safe=False),
    "verify": Habit("pipelined", depth_max=6, pause_s=(0.0, 1.2)),
}
# Mean time between two requests of one caller, in seconds.
_CYCLE_S = 0.85
# One-way delays to callers and between zones, in seconds.
_CALLER_DELAY_S = 0.008
_ZONE_DELAY_S = 0.0005
# Callers that leave early, and callers that repeat at once; share of the
# deployment's rate that each group would have at the usual pace.
_HASTY = {
    name: dataclasses.replace(habit, patience_s=(0.1, 0.6))
    for name, habit in _HABITS.items()
}
_AGAIN = {
    "status": dataclasses.replace(_FRESH, reconnect_s=(0.0, 0.0)),
    "lookup": dataclasses.replace(_FRESH, reconnect_s=(0.0, 0.0)),
}
_GROUP_RATE = 0.03
# Ranges of the pauses between bursts and between resets, in seconds, length of
# a burst, and its rate as a multiple of the usual one.
_BURST_PAUSE_S = (2.0, 6.0)
_RESET_PAUSE_S = (1.0, 5.0)
_BURST_S = 1.5
_BURST_FACTOR = 3.0


def run_deployment_soak(
    seed: int,
    duration_s: float,
    rate: float,
    keep: str | None = None,
    tree: str | None = None,
    has_delays: bool = False,
    is_disturbed: bool = False,
) -> SoakResult:
    """Run one soak with twelve daemon processes whose targets make calls.

    Args:
        seed: Seed of the faults and of the callers.
        duration_s: Time in which faults begin, in seconds.
        rate: Share of the deployment's rate of requests.
        keep: Folder in which the logs and the record are kept; None to keep
            them in a temporary folder, and only after a violation.
        tree: Checkout of which the daemons run; None for the present one.
        has_delays: Whether connections of callers and links between zones are
            as late as those of the deployment.
        is_disturbed: Whether links of some nodes are reset, callers come in
            bursts, leave early and repeat at once, and a route is split, all
            of it beside the faults of the seed. It implies ``has_delays``.
    """

    kind = _DisturbedSoak if is_disturbed else _DeploymentSoak

    def run(folder: pathlib.Path) -> SoakResult:
        soak = kind(seed, folder, rate, tree, has_delays or is_disturbed)
        return uvloop.run(soak.run(duration_s))

    return run_in_folder(f"soak-deployment-{seed}-", keep, run)


class _DeploymentSoak(PlatformSoak):

    splits = {}

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        rate: float,
        tree: str | None,
        has_delays: bool,
    ):
        calls = []
        zone_delay_s = _ZONE_DELAY_S if has_delays else 0.0
        fleet = DeploymentFleet(
            folder, seed, calls, tree, zone_delay_s, self.splits
        )
        self._caller_delay_s = _CALLER_DELAY_S if has_delays else 0.0
        super().__init__(seed, fleet, len(PLACES), folder)
        self._attempts = calls
        self._rate = rate

    def make_callers(self) -> list[DeploymentCaller]:
        """Return the callers of all zones."""
        # Calls of the time before are not counted.
        self._attempts.clear()
        return self._make_zone_callers("", _HABITS, self._rate)

    def _make_zone_callers(
        self, group: str, habits: dict[str, Habit], rate: float
    ) -> list[DeploymentCaller]:
        callers = []
        for zone, share in ZONES.items():
            for name, habit in habits.items():
                entry = CLASSES[name]
                per_s = rate * share * entry.per_s
                for number in range(max(1, round(per_s * _CYCLE_S))):
                    caller = f"{self._seed}-{group}{zone}-{name}-{number}"
                    callers.append(
                        DeploymentCaller(
                            caller,
                            habit,
                            entry,
                            lambda zone=zone: self._poll.choose_node(zone),
                            random.Random(caller),
                            self._attempts,
                            self._caller_delay_s,
                        )
                    )
        return callers

    def make_plan(
        self, duration_s: float
    ) -> tuple[tuple[Action, ...], tuple[Change, ...]]:
        """Return the faults and changes in order of time.

        Args:
            duration_s: Time in which they begin, in seconds.
        """
        nodes = tuple(self._fleet.nodes)
        return make_deployment_plan(self._seed, duration_s, nodes)


class _DisturbedSoak(_DeploymentSoak):
    """Faults of a deployment beside planned work.

    Only a node whose links are reset counts as impaired.
    """

    splits = {"fee": {"payments": 80, "registry": 20}}

    def make_callers(self) -> list[DeploymentCaller]:
        """Return usual callers, hasty ones and ones that repeat at once."""
        callers = super().make_callers()
        for group, habits in (("hasty-", _HASTY), ("again-", _AGAIN)):
            callers += self._make_zone_callers(group, habits, _GROUP_RATE)
        return callers

    def list_events(
        self, plan: tuple[Action, ...], duration_s: float
    ) -> list[Event]:
        """Return the resets of the links of nodes, and the bursts.

        Args:
            plan: Faults of the soak.
            duration_s: Time in which events begin, in seconds.
        """
        rng = random.Random(f"{self._seed}-disturbances")
        nodes = tuple(self._fleet.nodes)
        events = []
        for at_s in _draw_times(rng, _RESET_PAUSE_S, duration_s):
            name = rng.choice(nodes)
            events.append((at_s, lambda name=name: self._reset_links(name)))
        for number, at_s in enumerate(
            _draw_times(rng, _BURST_PAUSE_S, duration_s)
        ):
            events.append((at_s, lambda n=number: self._begin_burst(n)))
        return events

    def _begin_burst(self, number: int) -> None:
        self.start_task(self._play_burst(number))

    def _reset_links(self, name: str) -> None:
        self._impair(self._fleet.nodes[name], read_now())
        for peer, proxy in self._fleet.proxies.items():
            proxy.reset(name)
            self._fleet.proxies[name].reset(peer)

    async def _play_burst(self, number: int) -> None:
        rate = _BURST_FACTOR * self._rate
        callers = self._make_zone_callers(f"burst{number}-", _HABITS, rate)
        running = [asyncio.create_task(c.run()) for c in callers]
        await asyncio.sleep(_BURST_S)
        for caller in callers:
            caller.stop()
        await asyncio.gather(*running)


def _draw_times(
    rng: random.Random, pause_s: tuple[float, float], duration_s: float
) -> Iterator[float]:
    at_s = rng.uniform(*pause_s)
    while at_s < duration_s:
        yield at_s
        at_s += rng.uniform(*pause_s)
