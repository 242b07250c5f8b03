"""Model of a fleet in which some requests crash each target that runs them."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from kumquatwalk.quarantine import CrashStatus
from kumquatwalk.quarantine import CrashTable
from kumquatwalk.quarantine import CrashTracker
from kumquatwalk.quarantine import RequestContent
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import choose_target
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["CrashModel", "ModelSettings"]

READY = TargetStatus(TargetState.READY, limit=100)
ATTEMPTS_MAX = 3
DOWN_S = 3.0
LATE_S = 3.0
RUN_S = (0.08, 0.4)


@dataclasses.dataclass(frozen=True)
class ModelSettings:
    """Settings of the model.

    Attributes:
        targets: Number of targets of the service; each node has one.
        linked: Number of other nodes that each node knows.
        poison_contents: Number of different requests that crash targets.
        poison_per_s: Rate of each of them over the fleet.
        others_per_s: Rate of requests of differing content that crash nothing.
        lost_share: Share of the reports that are lost, on each link.
        delay_s: Maximum delay of a message between nodes, in seconds.
        duration_s: Time that is played, in seconds.
        seed: Seed of all draws.
    """

    targets: int
    linked: int
    poison_contents: int = 1
    poison_per_s: float = 16.0
    others_per_s: float = 60.0
    lost_share: float = 0.0
    delay_s: float = 0.02
    duration_s: float = 20.0
    seed: int = 1


class _Node:

    def __init__(self, model: "CrashModel", number: int):
        self.name = f"n{number}"
        self.model = model
        self.known: list[_Node] = []
        self.listeners: list[_Node] = []
        self.up_from = 0.0
        self.boot = 0
        self.queue: list[tuple] = []
        self.is_busy_with_suspect = False
        self.running: set[str] = set()
        self.tracker = CrashTracker(CrashTable(), self.broadcast)

    def broadcast(self, payload: bytes) -> None:
        """Send a report to the nodes that know this one."""
        model = self.model
        for node in self.listeners:
            if model.rng.random() >= model.settings.lost_share:
                model.send(
                    lambda node=node: node.tracker.handle_broadcast(
                        payload, model.now
                    )
                )


class CrashModel:
    """Plays callers, targets and reports in virtual time.

    Args:
        settings: Settings of the model.

    Attributes:
        crash_times: Times of the crashes, by content.
        late_runs: Number of runs that began later than ``LATE_S`` after the
            third crash, by content.
        quarantined: Number of requests of other content that were refused as
            quarantined.
        refused: Number of requests of other content that were refused.
        served: Number of requests of other content that were answered.
    """

    def __init__(self, settings: ModelSettings):
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.now = 0.0
        self.crash_times: dict[bytes, list[float]] = {}
        self.late_runs: dict[bytes, int] = {}
        self.quarantined = 0
        self.refused = 0
        self.served = 0
        self._events: list[tuple[float, int, Callable]] = []
        self._sequence = itertools.count()
        self._run_ids = itertools.count()
        self._nodes = [_Node(self, n) for n in range(settings.targets)]
        for node in self._nodes:
            others = [n for n in self._nodes if n is not node]
            linked = min(settings.linked, len(others))
            node.known = self.rng.sample(others, linked) + [node]
            for other in node.known[:-1]:
                other.listeners.append(node)

    def play(self) -> None:
        """Play the whole time."""
        settings = self.settings
        for number in range(settings.poison_contents):
            self._arrive(b"poison-%d" % number, settings.poison_per_s)
        self._arrive(b"", settings.others_per_s)
        while self._events and self._events[0][0] < settings.duration_s:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def send(self, action: Callable[[], None]) -> None:
        """Do an action at another node, after the delay of a message."""
        self._schedule(self.rng.uniform(0.0, self.settings.delay_s), action)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        item = (self.now + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, item)

    def _arrive(self, body: bytes, rate: float) -> None:
        caller = self.rng.choice(self._nodes)
        content = body or b"other-%d" % next(self._sequence)
        request = RequestContent("r", b"GET", b"/r", content)
        self._attempt(caller, request, content, b"", frozenset())
        self._schedule(
            self.rng.expovariate(rate), lambda: self._arrive(body, rate)
        )

    def _attempt(self, caller, request, body, marks, tried) -> None:
        status = caller.tracker.classify(request, self.now)
        target = None
        if status is not CrashStatus.QUARANTINED and len(tried) < ATTEMPTS_MAX:
            target = self._choose(caller, request, status, tried)
        if target is None:
            if not body.startswith(b"poison"):
                self.refused += 1
                self.quarantined += status is CrashStatus.QUARANTINED
            return
        call = (caller, request, body, marks, tried | {target.name})
        self.send(lambda: self._admit(target, call, False))

    def _choose(self, caller, request, status, tried):
        views = [
            TargetView(n.name, "z", "s", READY, is_reachable=True)
            for n in caller.known
            if n.up_from <= self.now
        ]
        is_suspect = status is CrashStatus.SUSPECT
        context = ChoiceContext(
            "z",
            "r",
            1.0,
            1.0,
            tried,
            0.0,
            pinned_by=request.fingerprint if is_suspect else b"",
        )
        view = choose_target(views, context, self.rng)
        by_name = {n.name: n for n in caller.known}
        return None if view is None else by_name[view.node_id]

    def _admit(self, target, call, is_next: bool) -> None:
        caller, request, body, marks, tried = call
        if marks:
            target.tracker.record_marks(marks, request, self.now)
        status = target.tracker.classify(request, self.now)
        if status is CrashStatus.QUARANTINED or target.up_from > self.now:
            self.send(
                lambda: self._attempt(caller, request, body, marks, tried)
            )
            if is_next:
                self._run_next_suspect(target)
            return
        if status is CrashStatus.SUSPECT and not is_next:
            target.queue.append(call)
            if not target.is_busy_with_suspect:
                self._run_next_suspect(target)
            return
        crash_times = self.crash_times.get(body, ())
        if len(crash_times) >= 3 and self.now - crash_times[2] > LATE_S:
            self.late_runs[body] = self.late_runs.get(body, 0) + 1
        run_id = str(next(self._run_ids))
        target.running.add(run_id)
        target.tracker.begin(run_id, request, self.now)
        boot = target.boot
        self._schedule(
            self.rng.uniform(*RUN_S),
            lambda: self._end(target, boot, run_id, call, is_next),
        )

    def _run_next_suspect(self, target) -> None:
        target.is_busy_with_suspect = bool(target.queue)
        if target.queue:
            self._admit(target, target.queue.pop(0), True)

    def _end(self, target, boot, run_id, call, is_suspect) -> None:
        caller, request, body, marks, tried = call
        mark = b""
        is_broken = boot != target.boot
        if body.startswith(b"poison") and not is_broken:
            self.crash_times.setdefault(body, []).append(self.now)
            target.boot += 1
            target.up_from = self.now + DOWN_S
            target.tracker.record_crash(run_id, self.now)
            is_broken = True
        if is_broken:
            mark = target.tracker.record_crash(run_id, self.now)
        target.running.discard(run_id)
        target.tracker.end(run_id, not is_broken, self.now)
        if is_suspect:
            self._run_next_suspect(target)
        if not is_broken:
            self.served += 1
            return

        def retry():
            if mark:
                caller.tracker.record_marks(mark, request, self.now)
            self._attempt(caller, request, body, marks + mark, tried)

        self.send(retry)
