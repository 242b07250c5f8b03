"""Runs one soak on the platform's interface, with the checks at its end."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import shutil
import signal
import tempfile

from kumquatwalk.clock import read_now
from kumquatwalk.history import Violation
from kumquatwalk.soak.link_plan import LinkAction
from kumquatwalk.soak.link_plan import make_link_plan
from kumquatwalk.soak.link_player import LinkPlayer
from kumquatwalk.soak.link_records import list_unanswered
from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.platform_plan import RELOAD_RATIO
from kumquatwalk.soak.platform_plan import Change
from kumquatwalk.soak.platform_plan import ChangeKind
from kumquatwalk.soak.platform_plan import make_changes
from kumquatwalk.soak.platform_plan import make_platform_plan
from kumquatwalk.soak.platform_records import Departure
from kumquatwalk.soak.platform_records import Impairment
from kumquatwalk.soak.platform_records import PlannedWork
from kumquatwalk.soak.platform_records import PlatformRecord
from kumquatwalk.soak.platform_records import check_record
from kumquatwalk.soak.platform_records import write_record
from kumquatwalk.soak.runner import COPY_AGE_FACTOR
from kumquatwalk.soak.runner import SoakResult
from kumquatwalk.standin.attempt import HABITS
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.connection_caller import ConnectionCaller
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.store_faults import StoreFaults

__all__ = ["run_platform_soak"]

NODE_COUNT = 6
POLL_S = 0.02
SLOW_FACTOR = 5.0
# Range of the time for which a target that leaves still runs, in seconds.
LEAVE_S = (2.5, 8.0)
# Attempts to have a departure acknowledged, and the pause between them.
DEPARTURE_TRIES = 4
DEPARTURE_PAUSE_S = 0.5
# Probability that the node beside a target that leaves is ended, and range of
# the time after the acknowledgement, in seconds.
END_RATIO = 0.7
END_AFTER_S = (0.0, 1.0)
# Late heartbeats of a target that leaves: largest number, and range of their
# delays in seconds.
LATE_HEARTBEATS_MAX = 3
LATE_S = (0.5, 4.0)
# A node that has started is reloaded within this time, in seconds.
RELOAD_AFTER_START_S = 1.5
HANG_GUARD_S = 60.0


def run_platform_soak(
    seed: int,
    duration_s: float,
    keep: str | None = None,
    has_link_faults: bool = False,
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
    """
    prefix = f"soak-platform-{seed}-"
    folder = pathlib.Path(tempfile.mkdtemp(prefix=prefix, dir=keep))
    result = asyncio.run(_Soak(seed, folder, has_link_faults).run(duration_s))
    if result.violations:
        kept = Violation("logs", str(folder), "logs and record")
        return dataclasses.replace(
            result, violations=(kept, *result.violations)
        )
    if keep is None:
        shutil.rmtree(folder)
    return result


class _Soak:

    def __init__(self, seed: int, folder: pathlib.Path, has_link_faults: bool):
        self._seed = seed
        self._rng = random.Random(f"{seed}-soak")
        self._folder = folder
        self._has_link_faults = has_link_faults
        self._fleet = PlatformFleet(folder, has_proxies=has_link_faults)
        self._links = LinkPlayer(self._fleet.proxies)
        self._attempts: list[Attempt] = []
        self._works: list[PlannedWork] = []
        self._impairments: list[Impairment] = []
        self._departures: list[Departure] = []
        self._violations: list[Violation] = []
        self._signalled: set[int] = set()
        self._ended_at_start = 0
        self._tasks: list[asyncio.Task] = []

    async def run(self, duration_s: float) -> SoakResult:
        """Play all faults and changes, then check all promises."""
        fleet = self._fleet
        try:
            await fleet.start(NODE_COUNT)
            callers = self._make_callers()
            running = [asyncio.create_task(c.run()) for c in callers]
            supervisor = asyncio.create_task(self._restart_ended())
            nodes = tuple(fleet.nodes)
            plan = make_platform_plan(self._seed, duration_s, nodes)
            links = ()
            if self._has_link_faults:
                links = make_link_plan(self._seed, duration_s, nodes, plan)
            changes = make_changes(self._seed, duration_s, plan)
            await self._play(plan, changes, links)
            await self._settle()
            for caller in callers:
                caller.stop()
            async with asyncio.timeout(HANG_GUARD_S):
                await asyncio.gather(*running)
            supervisor.cancel()
        finally:
            await fleet.close()
        record = PlatformRecord(
            self._attempts,
            self._collect_runs(),
            self._works,
            [*self._impairments, *self._links.impairments],
            self._departures,
        )
        self._violations += check_record(record)
        if self._has_link_faults:
            self._violations += list_unanswered(
                record.attempts, record.runs, self._impairments
            )
        write_record(self._folder, record, self._violations)
        return SoakResult(
            tuple(self._violations),
            len(plan) + len(links),
            self._count_outcomes(),
        )

    def _make_callers(self) -> list[ConnectionCaller]:
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

    async def _play(
        self,
        plan: tuple[Action, ...],
        changes: tuple[Change, ...],
        links: tuple[LinkAction, ...],
    ) -> None:
        events = [(a.at_s, lambda a=a: self._begin(a)) for a in plan]
        events += [(a.at_s + a.hold_s, lambda a=a: self._lift(a)) for a in plan]
        events += [(c.at_s, lambda c=c: self._change(c)) for c in changes]
        events += [(a.at_s, lambda a=a: self._links.begin(a)) for a in links]
        events += [
            (a.at_s + a.hold_s, lambda a=a: self._links.lift(a)) for a in links
        ]
        began_at = read_now()
        for at_s, play in sorted(events, key=lambda event: event[0]):
            await asyncio.sleep(max(0.0, began_at + at_s - read_now()))
            play()

    async def _settle(self) -> None:
        """Lift all faults and wait until all is served again."""
        fleet = self._fleet
        fleet.store.faults = StoreFaults()
        self._links.lift_all()
        async with asyncio.timeout(HANG_GUARD_S):
            await asyncio.gather(*self._tasks)
            for node in fleet.nodes.values():
                node.signal(signal.SIGCONT)
                node.work_factor, node.silent_until = 1.0, 0.0
                while not node.is_running or node.pid in self._signalled:
                    await asyncio.sleep(POLL_S)
            for name in fleet.nodes:
                await fleet.wait_until_served(name)

    def _begin(self, action: Action) -> None:
        node = self._fleet.nodes[action.node_id]
        now = read_now()
        match action.fault:
            case Fault.NODE_STOP:
                self._stop(node)
            case Fault.NODE_KILL:
                self._kill(node)
            case Fault.NODE_PAUSE:
                self._impair(node, now + action.hold_s)
                node.signal(signal.SIGSTOP)
            case Fault.TARGET_STOP:
                self._start_task(self._restart_target(node))
            case Fault.TARGET_KILL:
                node.target.crash()
            case Fault.TARGET_PAUSE | Fault.TARGET_SILENT:
                node.silent_until = now + action.hold_s
            case Fault.TARGET_SLOW:
                node.work_factor = SLOW_FACTOR
            case Fault.STORE_OUTAGE | Fault.STORE_RESTORED:
                self._set_store_faults(outage=True)
            case Fault.STORE_SLOW:
                self._set_store_faults(delay_ms=300)
            case Fault.STORE_ANSWERS_LOST:
                self._set_store_faults(lose_answers=5)

    def _lift(self, action: Action) -> None:
        node = self._fleet.nodes[action.node_id]
        match action.fault:
            case Fault.NODE_PAUSE:
                self._impair(node, read_now())
                node.signal(signal.SIGCONT)
            case Fault.TARGET_KILL:
                self._start_task(self._fleet.restart_target(node))
            case Fault.TARGET_SLOW:
                node.work_factor = 1.0
            case (
                Fault.STORE_OUTAGE | Fault.STORE_SLOW | Fault.STORE_ANSWERS_LOST
            ):
                self._set_store_faults()
            case Fault.STORE_RESTORED:
                age_s = COPY_AGE_FACTOR * action.hold_s
                self._fleet.store.restore_oldest_within(age_s)
                self._set_store_faults()

    def _change(self, change: Change) -> None:
        if change.kind is ChangeKind.CONFIG:
            self._fleet.change_config()
        else:
            self._reload(self._fleet.nodes[change.node_id])

    def _reload(self, node: PlatformNode) -> None:
        self._works.append(PlannedWork(node.name, node.pid, read_now(), False))
        self._fleet.change_settings(node)

    def _stop(self, node: PlatformNode) -> None:
        if not node.is_running:
            return
        if node.pid in self._signalled:
            node.signal(signal.SIGTERM)
            return
        self._signalled.add(node.pid)
        self._works.append(PlannedWork(node.name, node.pid, read_now(), True))
        self._start_task(self._fleet.stop_daemon(node))

    def _kill(self, node: PlatformNode) -> None:
        self._impair(node, read_now())
        self._signalled.add(node.pid)
        node.signal(signal.SIGKILL)

    async def _restart_target(self, node: PlatformNode) -> None:
        """Let a target leave as planned, then start another in its place.

        At times the node beside it is ended, and heartbeats from before the
        departure come late, more than once and in any order.
        """
        if node.state != "ready" or not node.target.is_running:
            return
        target_id = node.target.target_id
        late = [
            node.make_heartbeat()
            for _ in range(self._rng.randint(0, LATE_HEARTBEATS_MAX))
        ]
        node.state = self._rng.choice(("draining", "gone"))
        node.target.is_healthy = False
        acked_at = await self._say_that_it_leaves(node, target_id)
        if acked_at is not None:
            self._departures.append(Departure(node.name, target_id, acked_at))
            if self._rng.random() < END_RATIO:
                self._start_task(self._end_soon(node))
        for heartbeat in late:
            for _ in range(self._rng.randint(1, 2)):
                self._start_task(self._report_late(node, target_id, heartbeat))
        await asyncio.sleep(self._rng.uniform(*LEAVE_S))
        if node.target.target_id == target_id:
            node.target.crash()
            await self._fleet.restart_target(node)

    async def _say_that_it_leaves(
        self, node: PlatformNode, target_id: str
    ) -> float | None:
        """Return when a departure was acknowledged; None if it was not."""
        for _ in range(DEPARTURE_TRIES):
            is_gone = node.state == "gone"
            heartbeat = None if is_gone else node.make_heartbeat()
            if await self._fleet.report(node, target_id, heartbeat) == 200:
                return read_now()
            await asyncio.sleep(DEPARTURE_PAUSE_S)
        return None

    async def _end_soon(self, node: PlatformNode) -> None:
        await asyncio.sleep(self._rng.uniform(*END_AFTER_S))
        if self._seed % 2:
            self._stop(node)
        else:
            self._kill(node)

    async def _report_late(
        self, node: PlatformNode, target_id: str, heartbeat: dict
    ) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_S))
        await self._fleet.report(node, target_id, heartbeat)

    async def _restart_ended(self) -> None:
        """Start what has ended; note a process that ended by itself."""
        while True:
            for node in self._fleet.nodes.values():
                if node.is_running:
                    continue
                if node.pid not in self._signalled:
                    self._note_end(node)
                else:
                    self._impair_if_killed(node)
                self._fleet.start_daemon(node)
                if self._rng.random() < RELOAD_RATIO:
                    self._start_task(self._reload_soon(node))
            await asyncio.sleep(POLL_S)

    def _note_end(self, node: PlatformNode) -> None:
        """Note that a process ended though nobody stopped or killed it.

        One that a SIGHUP ended before it had a caller owed nothing, and no
        program catches signals before its interpreter runs: it is counted.
        """
        status = node.process.returncode
        is_used = any(a.pid == node.pid for a in self._attempts)
        if status == -signal.SIGHUP and not is_used:
            self._ended_at_start += 1
            return
        after_s = read_now() - node.started_at
        detail = f"status {status}, {after_s:.2f} s after its start"
        self._violations.append(Violation("ended_by_itself", node.name, detail))

    async def _reload_soon(self, node: PlatformNode) -> None:
        pid = node.pid
        await asyncio.sleep(self._rng.uniform(0.0, RELOAD_AFTER_START_S))
        if node.pid == pid:
            self._reload(node)

    def _impair_if_killed(self, node: PlatformNode) -> None:
        """Count the start after a kill as a part of the impairment."""
        if all(work.pid != node.pid for work in self._works if work.is_stop):
            self._impair(node, read_now())

    def _impair(self, node: PlatformNode, until: float) -> None:
        now = read_now()
        self._impairments.append(Impairment(node.name, now, max(now, until)))

    def _set_store_faults(self, **faults) -> None:
        self._fleet.store.faults = StoreFaults(**faults)

    def _start_task(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _collect_runs(self) -> dict[str, list]:
        runs = [
            (node.name, run)
            for node in self._fleet.nodes.values()
            for run in node.target.runs
        ]
        found = collections.defaultdict(list)
        for name, run in sorted(runs, key=lambda entry: entry[1].at):
            found[run.attempt_id].append((name, run))
        return dict(found)

    def _count_outcomes(self) -> dict[str, int]:
        ends = (str(a.status or a.error) for a in self._attempts)
        counts = dict(collections.Counter(ends))
        return counts | {"ended_at_start": self._ended_at_start}
