"""Runs one soak: processes, callers, faults, and the checks at its end."""

import collections
import dataclasses
import pathlib
import random
import signal
import tempfile
import threading
import time

from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.history import Violation
from kumquatwalk.proofs.chain import NODES
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.soak.edits import CatalogueEdits
from kumquatwalk.soak.edits import check_edits_kept
from kumquatwalk.soak.plan import Action
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.plan import make_plan
from kumquatwalk.soak.records import Sending
from kumquatwalk.soak.records import check_nothing_cut_off
from kumquatwalk.standin.fleet import wait_until

__all__ = ["SoakResult", "run_soak"]

CALLERS_PER_NODE = 2
# Sendings of one keyed request until its outcome is known.
SENDINGS_MAX = 4
PAUSE_AFTER_FAILURE_S = 0.02
# Age of the copy that the store is restored from, as a multiple of its outage.
COPY_AGE_FACTOR = 4.0
POLL_S = 0.05
LOG_TAIL_BYTES = 100_000
LOG_END_CHARS = 4_000
# Time in which a stand-in target writes the stacks of its threads, in seconds.
STACK_WAIT_S = 1.0
JOIN_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one soak.

    Attributes:
        violations: Broken promises.
        actions: Number of faults.
        outcomes: Number of sendings by outcome.
        losses: Number of requests without a true answer, by side, stage and
            cause.
    """

    violations: tuple[Violation, ...]
    actions: int
    outcomes: dict[str, int]
    losses: dict[str, int] = dataclasses.field(default_factory=dict)


def run_soak(seed: int, duration_s: float) -> SoakResult:
    """Run one soak with real processes on loopback addresses.

    Args:
        seed: Seed of the faults and of the callers.
        duration_s: Time in which faults begin, in seconds.
    """
    soak = _Soak(seed)
    try:
        soak.start()
        plan = make_plan(seed, duration_s, NODES)
        soak.play(plan)
        violations = soak.finish()
    finally:
        soak.close()
    return SoakResult(tuple(violations), len(plan), soak.count_outcomes())


class _Soak:

    def __init__(self, seed: int):
        self._seed = seed
        self._chain = ChainFleet()
        self._sendings: list[Sending] = []
        self._violations: list[Violation] = []
        self._disturbed: set[int] = set()
        self._logs: dict[int, str] = {}
        self._signalled: set[int] = set()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._outages: list[float] = []
        self._last_start_error = "none failed to start"
        self._edits: CatalogueEdits | None = None

    def start(self) -> None:
        """Start all processes, then the callers."""
        self._chain.start()
        address = self._chain.fleet.platform_address
        self._edits = CatalogueEdits(address, self._seed)
        self._edits.start()
        for index, node_id in enumerate(NODES * CALLERS_PER_NODE):
            entry = ("browse", "renew")[index // len(NODES) % 2]
            rng = random.Random(f"{self._seed}-{index}")
            self._threads.append(
                threading.Thread(
                    target=self._send_requests,
                    args=(node_id, entry, index, rng),
                    daemon=True,
                )
            )
        for thread in self._threads:
            thread.start()

    def play(self, plan: tuple[Action, ...]) -> None:
        """Play all faults and restart what has ended meanwhile."""
        events = [(a.at_s, number, a, True) for number, a in enumerate(plan)]
        events += [
            (a.at_s + a.hold_s, len(plan) + number, a, False)
            for number, a in enumerate(plan)
        ]
        began_at = time.monotonic()
        for at_s, _, action, is_begin in sorted(events, key=lambda e: e[:2]):
            while time.monotonic() - began_at < at_s:
                self._restart_ended()
                time.sleep(POLL_S)
            (self._begin if is_begin else self._lift)(action)

    def finish(self) -> list[Violation]:
        """Lift all faults, check that all is served, and all promises."""
        fleet = self._chain.fleet
        self._chain.set_platform_faults()
        for child in (*fleet.nodes.values(), *fleet.targets.values()):
            child.resume()
        try:
            wait_until(self._is_restarted, "all processes to run again")
        except KumquatwalkError as error:
            raise KumquatwalkError(
                error.code,
                f"{error.message}; {self._last_start_error}; not running"
                f" again: {self._list_unstarted()}",
            ) from error
        for node_id in NODES:
            fleet.block_hosts(node_id, ())
            self._chain.set_target_faults(node_id)
        fleet.wait_ready()
        self._stopped.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)
            if thread.is_alive():
                raise KumquatwalkError("hang_guard", "a caller did not end")
        for node_id in NODES:
            name = f"after-{self._seed}-{node_id}"
            wait_until(lambda n=node_id, r=name: self._is_served(n, r), name)
        violations = self._violations + self._chain.check()
        runs = self._chain.history.runs
        violations += check_nothing_cut_off(
            self._sendings, runs, self._disturbed
        )
        self._edits.close()
        wait_until(self._is_catalogue_in_force, "the catalogue to be in force")
        violations += check_edits_kept(
            self._edits.accepted, self._edits.read_history(), self._outages
        )
        if violations:
            violations.append(self._write_logs())
        return violations

    def _write_logs(self) -> Violation:
        """Keep the ends of the logs of processes that ended; say where."""
        directory = tempfile.mkdtemp(prefix=f"soak-{self._seed}-")
        for pid, log in self._logs.items():
            path = pathlib.Path(directory, f"{pid}.log")
            path.write_text(log, encoding="utf-8")
        return Violation("logs", directory, "logs of what ended")

    def close(self) -> None:
        """End the callers and all processes."""
        self._stopped.set()
        if self._edits is not None:
            self._edits.close()
        self._chain.close()

    def count_outcomes(self) -> dict[str, int]:
        """Return the number of sendings by outcome."""
        return dict(collections.Counter(s.outcome for s in self._sendings))

    def _begin(self, action: Action) -> None:
        chain, node_id = self._chain, action.node_id
        node, target = chain.fleet.nodes[node_id], chain.fleet.targets[node_id]
        match action.fault:
            case Fault.NODE_STOP:
                self._signal(node, signal.SIGTERM)
            case Fault.NODE_KILL:
                self._disturb(node)
                self._signal(node, signal.SIGKILL)
            case Fault.NODE_PAUSE:
                self._disturb(node)
                node.suspend()
            case Fault.NODE_CUT:
                self._disturb(node)
                zone = int(node_id[1]) % 3 + 1
                self._inject(
                    lambda: chain.fleet.block_hosts(node_id, (f"127.{zone}.",))
                )
            case Fault.TARGET_STOP:
                self._signal(target, signal.SIGTERM)
            case Fault.TARGET_KILL:
                self._signal(target, signal.SIGKILL)
            case Fault.TARGET_PAUSE:
                target.suspend()
            case Fault.TARGET_SLOW:
                self._set_target_faults(node_id, service_factor=20.0)
            case Fault.TARGET_SILENT:
                self._set_target_faults(node_id, silent="answers")
            case Fault.STORE_OUTAGE | Fault.STORE_RESTORED:
                chain.set_platform_faults(outage=True)
            case Fault.STORE_SLOW:
                chain.set_platform_faults(delay_ms=300)
            case Fault.STORE_ANSWERS_LOST:
                chain.set_platform_faults(lose_answers=5)

    def _lift(self, action: Action) -> None:
        chain, node_id = self._chain, action.node_id
        match action.fault:
            case Fault.NODE_PAUSE:
                chain.fleet.nodes[node_id].resume()
            case Fault.NODE_CUT:
                self._inject(lambda: chain.fleet.block_hosts(node_id, ()))
            case Fault.TARGET_PAUSE:
                chain.fleet.targets[node_id].resume()
            case Fault.TARGET_SLOW | Fault.TARGET_SILENT:
                self._set_target_faults(node_id)
            case (
                Fault.STORE_OUTAGE | Fault.STORE_SLOW | Fault.STORE_ANSWERS_LOST
            ):
                chain.set_platform_faults()
            case Fault.STORE_RESTORED:
                # Other faults may have lifted the outage before.
                now = time.monotonic()
                self._outages += (now - action.hold_s, now)
                chain.fleet.restore_platform(COPY_AGE_FACTOR * action.hold_s)
                chain.set_platform_faults()

    def _set_target_faults(self, node_id: str, **faults: object) -> None:
        self._inject(lambda: self._chain.set_target_faults(node_id, **faults))

    def _inject(self, inject) -> None:
        """Inject a fault by a request; in a thread, as a process may be paused.

        A process that has ended needs no fault.
        """

        def run() -> None:
            try:
                inject()
            except Exception:  # pylint: disable=broad-exception-caught
                pass  # the process has ended or is paused for longer

        threading.Thread(target=run, daemon=True).start()

    def _signal(self, child, number: int) -> None:
        if child.is_running():
            self._signalled.add(child.pid)
            child.signal(number)

    def _disturb(self, node) -> None:
        self._disturbed.add(node.pid)

    def _restart_ended(self) -> None:
        """Start what has ended; note a process that ended by itself."""
        fleet = self._chain.fleet
        for node_id in NODES:
            for kind, children, start in (
                ("node", fleet.nodes, self._chain.start_node),
                ("target", fleet.targets, self._chain.start_target),
            ):
                child = children[node_id]
                if child.is_running():
                    continue
                self._logs[child.pid] = child.read_log()[-LOG_TAIL_BYTES:]
                if child.pid not in self._signalled:
                    detail = f"{kind} {child.pid}, status {child.exit_status}: "
                    self._violations.append(
                        Violation(
                            "ended_by_itself",
                            node_id,
                            detail + child.read_log()[-500:],
                        )
                    )
                    self._signalled.add(child.pid)
                try:
                    start(node_id)
                except KumquatwalkError as error:
                    self._last_start_error = f"{node_id}: {error}"
                    # It was not ready in time, for instance because its own
                    # node is paused; the next round starts it again.
                    self._signalled.add(children[node_id].pid)

    def _list_unstarted(self) -> dict[str, str]:
        """Return the stacks or logs of processes that have not ended yet."""
        fleet = self._chain.fleet
        for child in fleet.targets.values():
            if child.pid in self._signalled and child.is_running():
                child.signal(signal.SIGUSR1)
        time.sleep(STACK_WAIT_S)
        return {
            f"{kind} {node_id} {child.pid}": child.read_log()[-LOG_END_CHARS:]
            for kind, children in (
                ("node", fleet.nodes),
                ("target", fleet.targets),
            )
            for node_id, child in children.items()
            if child.pid in self._signalled
        }

    def _is_restarted(self) -> bool:
        self._restart_ended()
        fleet = self._chain.fleet
        children = (*fleet.nodes.values(), *fleet.targets.values())
        return all(
            child.is_running() and child.pid not in self._signalled
            for child in children
        )

    def _is_catalogue_in_force(self) -> bool:
        revision = self._edits.read_history()[0].revision
        fleet = self._chain.fleet
        return all(
            fleet.read_json(node.addresses["local"], "/kumquatwalk/status")[
                "catalogue_revision"
            ]
            == revision
            for node in fleet.nodes.values()
        )

    def _is_served(self, node_id: str, request: str) -> bool:
        answer = self._chain.send(node_id, "renew", request, key=request)
        return answer.outcome == "done"

    def _send_requests(
        self, node_id: str, entry: str, index: int, rng: random.Random
    ) -> None:
        number = 0
        while not self._stopped.is_set():
            number += 1
            request = f"soak-{self._seed}-{index}-{number}"
            key = request if entry == "renew" else ""
            receiver = node_id
            for _ in range(SENDINGS_MAX):
                outcome = self._send(receiver, entry, request, key)
                if outcome in ("done", "failed") or not key:
                    break
                self._stopped.wait(PAUSE_AFTER_FAILURE_S)
                receiver = rng.choice(NODES)
            if outcome != "done":
                self._stopped.wait(PAUSE_AFTER_FAILURE_S)

    def _send(self, node_id: str, entry: str, request: str, key: str) -> str:
        nodes = self._chain.fleet.nodes
        before = nodes[node_id].pid
        answer = self._chain.send(node_id, entry, request, key=key)
        self._sendings.append(
            Sending(
                request,
                frozenset((before, nodes[node_id].pid)),
                answer.elapsed_s,
                answer.outcome,
                answer.code,
            )
        )
        return answer.outcome
