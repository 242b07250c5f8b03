"""Soak on the platform's interface, with the checks at its end."""

import asyncio
import collections
import os
import pathlib
import random
import signal
from collections.abc import Awaitable
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.history import Violation
from kumquatwalk.soak.endless_requests import EndlessRequests
from kumquatwalk.soak.losses import count_losses
from kumquatwalk.soak.manifest_cuts import check_manifest_cuts
from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.platform_plan import RELOAD_RATIO
from kumquatwalk.soak.platform_plan import Change
from kumquatwalk.soak.platform_plan import ChangeKind
from kumquatwalk.soak.platform_record import Departure
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.soak.platform_record import ReadinessAnswer
from kumquatwalk.soak.platform_record import collect_runs
from kumquatwalk.soak.platform_record import write_record
from kumquatwalk.soak.platform_records import check_record
from kumquatwalk.soak.process_ends import ProcessEnd
from kumquatwalk.soak.process_ends import judge_end
from kumquatwalk.soak.readiness import ReadinessPoll
from kumquatwalk.soak.rule_judge import judge_record
from kumquatwalk.soak.runner import COPY_AGE_FACTOR
from kumquatwalk.soak.runner import SoakResult
from kumquatwalk.soak.scheduling import SchedulingWatch
from kumquatwalk.soak.target_release import TargetRelease
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.store_faults import StoreFaults

__all__ = ["Event", "PlatformSoak"]

# Time since the start, in seconds, and what happens then.
Event = tuple[float, Callable[[], None]]

POLL_S = 0.02
# Time after which a process gets a signal that it does not catch, in seconds.
CATCH_WAIT_S = 10.0
SLOW_FACTOR = 5.0
# A node beside a target that leaves is ended within this time after the
# acknowledgement, in seconds.
END_AFTER_S = (0.0, 1.0)
# A node that has started is reloaded within this time, in seconds.
RELOAD_AFTER_START_S = 1.5
HANG_GUARD_S = 60.0


class PlatformSoak:
    """Plays faults, changes and callers against a fleet of daemon processes.

    Args:
        seed: Seed of the choices made during the soak.
        fleet: Fleet, not yet started.
        node_count: Number of its nodes.
        folder: Folder that gets the record.

    Attributes:
        reloads_from_exec: Whether processes get SIGHUP and SIGTERM from their
            first moment on, as a platform may send them; else once they catch
            them, so that the same seed gives the same verdict.
    """

    def __init__(
        self,
        seed: int,
        fleet: PlatformFleet,
        node_count: int,
        folder: pathlib.Path,
    ):
        self.reloads_from_exec = False
        self._seed = seed
        self._rng = random.Random(f"{seed}-soak")
        self._folder = folder
        self._fleet = fleet
        self._node_count = node_count
        self._attempts: list[Attempt] = []
        self._works: list[PlannedWork] = []
        self._impairments: list[Impairment] = []
        self._departures: list[Departure] = []
        self._violations: list[Violation] = []
        self._ends: list[ProcessEnd] = []
        self._signalled: set[int] = set()
        self._tasks: list[asyncio.Task] = []
        self._beside: list[asyncio.Task] = []
        self._manifests: list[float] = []
        self._endless = EndlessRequests(fleet, seed, self._violations)
        self._readiness: list[ReadinessAnswer] = []
        self._store_impairments: list[tuple[float, float]] = []
        self._store_impaired_at: float | None = None
        self._poll: ReadinessPoll | None = None
        self._watch = SchedulingWatch(self._list_processes)
        self._release = TargetRelease(
            fleet, self._rng, self._departures, self._end_soon, self.start_task
        )

    def make_callers(self) -> list:
        """Return the callers, each with ``run`` and ``stop``."""
        raise NotImplementedError

    def make_plan(
        self, duration_s: float
    ) -> tuple[tuple[Action, ...], tuple[Change, ...]]:
        """Return the faults and changes in order of time.

        Args:
            duration_s: Time in which they begin, in seconds.
        """
        raise NotImplementedError

    async def run(self, duration_s: float) -> SoakResult:
        """Play all faults and changes, then check all promises.

        Args:
            duration_s: Time in which they begin, in seconds.
        """
        fleet = self._fleet
        try:
            # Also a process that ends before all serve is counted.
            self.run_beside(self._restart_ended())
            await fleet.start(self._node_count)
            self._poll = ReadinessPoll(
                list(fleet.nodes.values()),
                random.Random(f"{self._seed}-nodes"),
                self._readiness,
            )
            self.run_beside(self._poll.run())
            callers = self.make_callers()
            running = [asyncio.create_task(c.run()) for c in callers]
            self.run_beside(self._watch.run())
            self.run_beside(self._endless.run())
            plan, changes = self.make_plan(duration_s)
            await self._play(plan, changes, self.list_events(plan, duration_s))
            await self._guard("not_served_again", self._settle())
            for caller in callers:
                caller.stop()
            await self._guard("callers_hang", asyncio.gather(*running))
        finally:
            for task in self._beside:
                task.cancel()
            ended_at = read_now()
            for node in fleet.nodes.values():
                if node.has_ended:
                    self._note_end(node)
            await fleet.close()
        record = PlatformRecord(
            # Calls that have not ended then are cut by the end of the soak.
            [a for a in self._attempts if 0.0 < a.ended_at <= ended_at],
            collect_runs(self._fleet.nodes.values()),
            self._works,
            self.list_impairments(),
            self._departures,
            self._manifests,
            self._watch.waits,
            self._ends,
            self._readiness,
            self._store_impairments,
        )
        self._violations += self.check(record)
        write_record(self._folder, record, self._violations)
        return SoakResult(
            tuple(self._violations),
            len(plan),
            self._count_outcomes(),
            count_losses(record, self._folder),
        )

    def list_events(
        self, plan: tuple[Action, ...], duration_s: float
    ) -> list[Event]:
        """Return further events, none by default.

        Args:
            plan: Faults of the soak.
            duration_s: Time in which events begin, in seconds.
        """
        del plan, duration_s
        return []

    async def prepare_start(self, node: PlatformNode) -> None:
        """Prepare the start of a daemon that has ended; nothing by default.

        Args:
            node: Its node.
        """

    def start_task(self, coroutine) -> None:
        """Run a coroutine that ends by itself; awaited at the soak's end.

        Args:
            coroutine: What to run.
        """
        self._tasks.append(asyncio.create_task(coroutine))

    def lift_events(self) -> None:
        """End what further events began; nothing by default."""

    def list_impairments(self) -> list[Impairment]:
        """Return the impairments of nodes."""
        return self._impairments

    def check(self, record: PlatformRecord) -> list[Violation]:
        """Return the broken promises of a record, of two independent judges.

        Args:
            record: Record of the soak.
        """
        return [
            *check_record(record),
            *check_manifest_cuts(record),
            *judge_record(record),
        ]

    def run_beside(self, coroutine) -> None:
        """Run a coroutine until the soak ends, then cancel it.

        Args:
            coroutine: What to run.
        """
        self._beside.append(asyncio.create_task(coroutine))

    async def _play(
        self,
        plan: tuple[Action, ...],
        changes: tuple[Change, ...],
        events: list[Event],
    ) -> None:
        events += [(a.at_s, lambda a=a: self._begin(a)) for a in plan]
        events += [(a.at_s + a.hold_s, lambda a=a: self._lift(a)) for a in plan]
        events += [(c.at_s, lambda c=c: self._change(c)) for c in changes]
        began_at = read_now()
        for at_s, play in sorted(events, key=lambda event: event[0]):
            await asyncio.sleep(max(0.0, began_at + at_s - read_now()))
            play()

    async def _settle(self) -> None:
        """Lift all faults and wait until all is served again."""
        fleet = self._fleet
        self._set_store_faults()
        self.lift_events()
        await asyncio.gather(*self._tasks)
        for node in fleet.nodes.values():
            node.signal(signal.SIGCONT)
            node.work_factor, node.silent_until = 1.0, 0.0
            while not node.is_running or node.pid in self._signalled:
                await asyncio.sleep(POLL_S)
        for name in fleet.nodes:
            await fleet.wait_until_served(name)

    async def _guard(self, rule: str, work: Awaitable) -> None:
        """Wait for the end of a soak's part; it is a violation if it hangs."""
        try:
            async with asyncio.timeout(HANG_GUARD_S):
                await work
        except TimeoutError:
            detail = f"within {HANG_GUARD_S:.0f} s"
            self._violations.append(Violation(rule, "soak", detail))

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
                self.start_task(self._release.replace(node))
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
                self.start_task(self._fleet.restart_target(node))
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
            self._manifests.append(read_now())
            self._fleet.change_config()
        else:
            node = self._fleet.nodes[change.node_id]
            self.start_task(self._reload(node))

    async def _reload(self, node: PlatformNode) -> None:
        if not await self._wait_until_caught(node, signal.SIGHUP):
            return
        self._works.append(PlannedWork(node.name, node.pid, read_now(), False))
        self._fleet.change_settings(node)

    async def _wait_until_caught(self, node: PlatformNode, number: int) -> bool:
        """Wait until a signal may be sent; return whether the daemon runs."""
        pid = node.pid
        give_up_at = read_now() + CATCH_WAIT_S
        while not (self.reloads_from_exec or node.catches(number)):
            if read_now() > give_up_at:
                return True
            await asyncio.sleep(POLL_S)
            if node.pid != pid or not node.is_running:
                return False
        return True

    async def _stop_once_caught(self, node: PlatformNode) -> None:
        if await self._wait_until_caught(node, signal.SIGTERM):
            self._stop(node, is_due=True)

    def _stop(self, node: PlatformNode, is_due: bool = False) -> None:
        if not node.is_running:
            return
        is_due |= self.reloads_from_exec
        if not (is_due or node.catches(signal.SIGTERM)):
            self.start_task(self._stop_once_caught(node))
            return
        if node.pid in self._signalled:
            node.signal(signal.SIGTERM)
            return
        self._signalled.add(node.pid)
        self._works.append(PlannedWork(node.name, node.pid, read_now(), True))
        self.start_task(self._fleet.stop_daemon(node))

    def _kill(self, node: PlatformNode) -> None:
        self._impair(node, read_now())
        self._signalled.add(node.pid)
        node.signal(signal.SIGKILL)

    async def _end_soon(self, node: PlatformNode) -> None:
        await asyncio.sleep(self._rng.uniform(*END_AFTER_S))
        if self._seed % 2:
            self._stop(node)
        else:
            self._kill(node)

    async def _restart_ended(self) -> None:
        """Start what has ended; note a process that ended by itself."""
        while True:
            for node in tuple(self._fleet.nodes.values()):
                if not node.has_ended:
                    continue
                self._note_end(node)
                if node.pid in self._signalled:
                    self._impair_if_killed(node)
                await self.prepare_start(node)
                self._fleet.start_daemon(node)
                if self._rng.random() < RELOAD_RATIO:
                    self.start_task(self._reload_soon(node))
            await asyncio.sleep(POLL_S)

    def _note_end(self, node: PlatformNode) -> None:
        """Record the end of a process, and what it breaks."""
        is_stopped = any(w.is_stop and w.pid == node.pid for w in self._works)
        end = ProcessEnd(
            node.name,
            node.pid,
            node.started_at,
            read_now(),
            node.process.returncode,
            is_stopped,
            node.is_killed,
        )
        self._ends.append(end)
        violation = judge_end(end)
        if violation is not None:
            self._violations.append(violation)

    async def _reload_soon(self, node: PlatformNode) -> None:
        pid = node.pid
        await asyncio.sleep(self._rng.uniform(0.0, RELOAD_AFTER_START_S))
        if node.pid == pid:
            await self._reload(node)

    def _impair_if_killed(self, node: PlatformNode) -> None:
        """Count the start after a kill as a part of the impairment."""
        if all(work.pid != node.pid for work in self._works if work.is_stop):
            self._impair(node, read_now())

    def _impair(self, node: PlatformNode, until: float) -> None:
        now = read_now()
        self._impairments.append(Impairment(node.name, now, max(now, until)))

    def _set_store_faults(self, **faults) -> None:
        now = read_now()
        if self._store_impaired_at is not None:
            self._store_impairments.append((self._store_impaired_at, now))
        self._store_impaired_at = now if faults else None
        self._fleet.store.faults = StoreFaults(**faults)

    def _list_processes(self) -> list[tuple[str, int]]:
        nodes = self._fleet.nodes.values()
        own = ("driver", os.getpid())
        return [own] + [(n.name, n.pid) for n in nodes if n.is_running]

    def _count_outcomes(self) -> dict[str, int]:
        ends = (str(a.status or a.error) for a in self._attempts)
        return dict(collections.Counter(ends))
