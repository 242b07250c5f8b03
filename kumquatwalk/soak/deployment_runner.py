"""Runs one soak in the shape of a deployment."""

import pathlib
import random

import uvloop

from kumquatwalk.soak.deployment_plan import make_deployment_plan
from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.platform_plan import Change
from kumquatwalk.soak.platform_runner import run_in_folder
from kumquatwalk.soak.platform_soak import PlatformSoak
from kumquatwalk.soak.readiness import ReadinessPoll
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


def run_deployment_soak(
    seed: int,
    duration_s: float,
    rate: float,
    keep: str | None = None,
    tree: str | None = None,
    has_delays: bool = False,
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
    """

    def run(folder: pathlib.Path) -> SoakResult:
        soak = _DeploymentSoak(seed, folder, rate, tree, has_delays)
        return uvloop.run(soak.run(duration_s))

    return run_in_folder(f"soak-deployment-{seed}-", keep, run)


class _DeploymentSoak(PlatformSoak):

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
        fleet = DeploymentFleet(folder, seed, calls, tree, zone_delay_s)
        self._caller_delay_s = _CALLER_DELAY_S if has_delays else 0.0
        super().__init__(seed, fleet, len(PLACES), folder)
        self._attempts = calls
        self._rate = rate

    def make_callers(self) -> list[DeploymentCaller]:
        """Return the callers of all zones and start to poll the nodes."""
        nodes = list(self._fleet.nodes.values())
        poll = ReadinessPoll(nodes, random.Random(f"{self._seed}-nodes"))
        self.run_beside(poll.run())
        # Calls of the time before are not counted.
        self._attempts.clear()
        callers = []
        for zone, share in ZONES.items():
            for name, habit in _HABITS.items():
                entry = CLASSES[name]
                per_s = self._rate * share * entry.per_s
                for number in range(max(1, round(per_s * _CYCLE_S))):
                    caller = f"{self._seed}-{zone}-{name}-{number}"
                    callers.append(
                        DeploymentCaller(
                            caller,
                            habit,
                            entry,
                            lambda zone=zone: poll.choose_node(zone),
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
