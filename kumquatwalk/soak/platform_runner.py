"""Runs one soak on the platform's interface."""

import asyncio
import dataclasses
import pathlib
import random
import shutil
import tempfile
from collections.abc import Callable

from kumquatwalk.history import Violation
from kumquatwalk.soak.link_plan import make_link_plan
from kumquatwalk.soak.link_player import LinkPlayer
from kumquatwalk.soak.link_records import list_unanswered
from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.platform_plan import Change
from kumquatwalk.soak.platform_plan import make_changes
from kumquatwalk.soak.platform_plan import make_platform_plan
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.soak.platform_soak import Event
from kumquatwalk.soak.platform_soak import PlatformSoak
from kumquatwalk.soak.runner import SoakResult
from kumquatwalk.soak.start_troubles import StartTroubles
from kumquatwalk.standin.attempt import HABITS
from kumquatwalk.standin.connection_caller import ConnectionCaller
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.platform_node import PlatformNode

__all__ = ["run_in_folder", "run_platform_soak"]

NODE_COUNT = 6


def run_platform_soak(
    seed: int,
    duration_s: float,
    keep: str | None = None,
    has_link_faults: bool = False,
    reloads_from_exec: bool = False,
) -> SoakResult:
    """Run one soak with daemon processes on loopback addresses.

    The folder of a soak that broke a promise is in its first violation.

    Args:
        seed: Seed of the faults and of the callers.
        duration_s: Time in which faults begin, in seconds.
        keep: Folder in which the logs and the record are kept; None to keep
            them in a temporary folder, and only after a violation.
        has_link_faults: Whether links between nodes fail too; the other faults
            of a seed stay the same.
        reloads_from_exec: See ``PlatformSoak``.
    """

    def run(folder: pathlib.Path) -> SoakResult:
        soak = _MixedSoak(seed, folder, has_link_faults)
        soak.reloads_from_exec = reloads_from_exec
        return asyncio.run(soak.run(duration_s))

    return run_in_folder(f"soak-platform-{seed}-", keep, run)


def run_in_folder(
    prefix: str, keep: str | None, run: Callable[[pathlib.Path], SoakResult]
) -> SoakResult:
    """Run a soak in a folder of its own, kept if a promise was broken.

    Args:
        prefix: Begin of the folder's name.
        keep: Folder in which each soak's folder is kept; None to keep it in a
            temporary folder, and only after a violation.
        run: Runs the soak, given its folder.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=prefix, dir=keep))
    result = run(folder)
    if result.violations:
        kept = Violation("logs", str(folder), "logs and record")
        return dataclasses.replace(
            result, violations=(kept, *result.violations)
        )
    if keep is None:
        shutil.rmtree(folder)
    return result


class _MixedSoak(PlatformSoak):
    """Callers of all habits at each of six nodes, and faults of all kinds."""

    def __init__(self, seed: int, folder: pathlib.Path, has_link_faults: bool):
        fleet = PlatformFleet(folder, has_proxies=has_link_faults)
        super().__init__(seed, fleet, NODE_COUNT, folder)
        self._has_link_faults = has_link_faults
        self._links = LinkPlayer(fleet.proxies)
        self._troubles: StartTroubles | None = None

    def make_callers(self) -> list[ConnectionCaller]:
        """Return a caller of each habit for each node."""
        return [
            ConnectionCaller(
                f"{self._seed}-{node.name}-{number}",
                habit,
                node.name,
                node.listeners["outbound"],
                lambda node=node: node.pid,
                random.Random(f"{self._seed}-{node.name}-{number}"),
                self._attempts,
            )
            for node in self._fleet.nodes.values()
            for number, habit in enumerate(HABITS)
        ]

    def make_plan(
        self, duration_s: float
    ) -> tuple[tuple[Action, ...], tuple[Change, ...]]:
        """Return the faults and changes in order of time.

        Args:
            duration_s: Time in which they begin, in seconds.
        """
        nodes = tuple(self._fleet.nodes)
        plan = make_platform_plan(self._seed, duration_s, nodes)
        return plan, make_changes(self._seed, duration_s, plan)

    def list_events(
        self, plan: tuple[Action, ...], duration_s: float
    ) -> list[Event]:
        """Return the faults of links."""
        if not self._has_link_faults:
            return []
        nodes = tuple(self._fleet.nodes)
        links = make_link_plan(self._seed, duration_s, nodes, plan)
        events = [(a.at_s, lambda a=a: self._links.begin(a)) for a in links]
        return events + [
            (a.at_s + a.hold_s, lambda a=a: self._links.lift(a)) for a in links
        ]

    def lift_events(self) -> None:
        """Lift the faults of links."""
        self._links.lift_all()

    async def prepare_start(self, node: PlatformNode) -> None:
        """Let some starts meet a port in use, or settings cut short."""
        if self._troubles is None:
            store = self._fleet.store.address
            self._troubles = StartTroubles(self._seed, store)
        self.start_task(self._troubles.play(node))
        # The trouble is there before the process.
        await asyncio.sleep(0)

    def list_impairments(self) -> list[Impairment]:
        """Return the impairments of nodes and of links."""
        return [*self._impairments, *self._links.impairments]

    def check(self, record: PlatformRecord) -> list[Violation]:
        """Return the broken promises; faults of links excuse no silence."""
        violations = super().check(record)
        if self._has_link_faults:
            violations += list_unanswered(
                record.attempts, record.runs, self._impairments
            )
        return violations
