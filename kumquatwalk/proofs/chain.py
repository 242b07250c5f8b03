"""Fleet with a call chain of three services, and its recorded history."""

import itertools
import json
import os
import pathlib
import tempfile
import threading
import time
from collections.abc import Callable

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.history import CallCompleted
from kumquatwalk.history import CallSent
from kumquatwalk.history import History
from kumquatwalk.history import RunRecorded
from kumquatwalk.history import Violation
from kumquatwalk.history import check_responses_valid
from kumquatwalk.history import check_at_most_once
from kumquatwalk.history import check_attempts_bounded
from kumquatwalk.history import check_not_run
from kumquatwalk.standin.caller import StandinCaller
from kumquatwalk.standin.caller_answer import CallerAnswer
from kumquatwalk.standin.fleet import LocalFleet
from kumquatwalk.standin.fleet import make_host
from kumquatwalk.standin.fleet import wait_until

__all__ = ["ChainFleet", "NODES", "NON_IDEMPOTENT_ENTRIES", "run_concurrently"]

HANG_GUARD_S = 60.0
RETRIES = 3
NON_IDEMPOTENT_ENTRIES = frozenset({"renew", "pay"})
_LIMITS = Limits(
    in_flight=500, rate_per_s=10_000, retries=RETRIES, time_ms=5000
)
_ENTRIES = [
    Entry(
        "browse",
        "web",
        "portal",
        Importance.SHEDDABLE,
        True,
        _LIMITS,
        ("verify",),
    ),
    Entry(
        "renew", "web", "portal", Importance.CRITICAL, False, _LIMITS, ("pay",)
    ),
    Entry(
        "pay",
        "money",
        "payments",
        Importance.CRITICAL,
        False,
        _LIMITS,
        ("verify",),
    ),
    Entry("verify", "registry", "registry", Importance.HIGH, True, _LIMITS),
]
_CHAIN_CALLS = {"browse": 2, "renew": 3, "pay": 2, "verify": 1}
_SERVICES = ("portal", "payments", "registry")
_CALLS = ("browse=verify", "renew=pay", "pay=verify")
NODES = tuple(f"z{zone}-vm{n}" for zone in (1, 2, 3) for n in (1, 2))


class ChainFleet:
    """Six VMs in three zones; each service has targets in two zones.

    The entry renew calls pay, which calls verify; renew and pay are not
    idempotent. Every target logs its runs to a file, so that they can be read
    after it is killed.

    Attributes:
        fleet: Processes of the fleet.
        history: Requests sent and answers received by callers.
    """

    def __init__(self):
        self.fleet = LocalFleet()
        self.history = History()
        self._directory = tempfile.TemporaryDirectory(prefix="kumquatwalk-")
        self._numbers = itertools.count(1)
        self._callers: dict[str, StandinCaller] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start all processes and wait until the nodes know all targets."""
        self.fleet.start_platform()
        self.fleet.put_catalogue(_ENTRIES)
        for node_id in NODES:
            self.start_node(node_id)
            self.start_target(node_id)
        self.fleet.wait_ready()

    def start_node(self, node_id: str) -> None:
        """Start a node, or restart one that has ended."""
        with self._lock:
            self._callers.pop(node_id, None)
        zone, number = int(node_id[1]), int(node_id[-1])
        self.fleet.start_node(node_id, f"z{zone}", make_host(zone, number))

    def start_target(self, node_id: str, service_ms: int = 10) -> None:
        """Start the target on a node's VM."""
        options = ["--slots", "16", "--service-ms", str(service_ms)]
        for calls in _CALLS:
            options += ["--calls", calls]
        path = self._record_path(node_id)
        options += ["--record", str(path), "--seed", str(NODES.index(node_id))]
        service = get_service(node_id)
        self.fleet.start_target(node_id, service, tuple(options))

    def set_target_faults(self, node_id: str, **faults: object) -> None:
        """Replace the injected faults of a node's target; none clears them."""
        address = self.fleet.targets[node_id].addresses[""]
        self.fleet.put_json(address, "/faults", faults)

    def set_platform_faults(self, **faults: object) -> None:
        """Replace the injected faults of the platform; none clears them."""
        address = self.fleet.platform_address
        self.fleet.put_json(address, "/faults", faults)

    def send(
        self,
        node_id: str,
        entry: str,
        request: str,
        key: str = "",
        ticket: str = "",
        size: int = 0,
    ) -> CallerAnswer:
        """Send a request to a node and record the request and its answer.

        Args:
            node_id: Node that receives the request.
            entry: Entry to call.
            request: Name of the request; a repeated request keeps its name.
            key: Idempotency key; empty for none.
            ticket: Ticket; empty for none.
            size: Padding size of the answer, in characters.
        """
        tag = f"{request}/{next(self._numbers)}"
        path = f"{entry}?size={size}" if size else entry
        self.history.add(
            CallSent(tag, request, entry, time.monotonic(), key or ticket)
        )
        answer = self.get_caller(node_id).call(
            path, request.encode(), key=key, ticket=ticket
        )
        self.history.add(
            CallCompleted(
                tag,
                answer.outcome,
                answer.code,
                answer.is_whole,
                time.monotonic(),
            )
        )
        return answer

    def get_caller(self, node_id: str) -> StandinCaller:
        """Return the caller of a node, which is created on first use."""
        with self._lock:
            caller = self._callers.get(node_id)
            if caller is None:
                caller = self.fleet.make_caller(node_id, connections=32)
                self._callers[node_id] = caller
            return caller

    def read_runs(self) -> list[RunRecorded]:
        """Return the runs of all targets, including those that have ended."""
        return [run for node_id in NODES for run in self._read_runs(node_id)]

    def wait_for_run(self, request: str, entry: str) -> RunRecorded:
        """Wait until a request has a run at an entry and return the run."""
        found: list[RunRecorded] = []

        def is_running() -> bool:
            found[:] = [
                run
                for run in self.read_runs()
                if run.request == request and run.entry == entry
            ]
            return bool(found)

        wait_until(is_running, f"a run of {request} at {entry}")
        return found[0]

    def check(self) -> list[Violation]:
        """Check the history so far and return the violations."""
        self.history.runs[:] = self.read_runs()
        tokens = dict.fromkeys(_CHAIN_CALLS, RETRIES)
        return [
            *check_at_most_once(self.history, NON_IDEMPOTENT_ENTRIES),
            *check_not_run(self.history),
            *check_attempts_bounded(self.history, _CHAIN_CALLS, tokens),
            *check_responses_valid(self.history),
        ]

    def close(self) -> None:
        """Stop all processes and delete the logs of runs."""
        for caller in self._callers.values():
            caller.close()
        self.fleet.close()
        self._directory.cleanup()

    def _record_path(self, node_id: str) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / node_id

    def _read_runs(self, node_id: str) -> list[RunRecorded]:
        path = self._record_path(node_id)
        if not os.path.exists(path):
            return []
        rows = {}
        for line in path.read_text(encoding="utf-8").splitlines():
            row = json.loads(line)
            rows[row["port"], row["run"]] = row
        return [
            RunRecorded(
                node_id,
                row["entry"],
                row["tag"],
                row["started_at"],
                row["outcome"],
            )
            for row in rows.values()
        ]


def get_service(node_id: str) -> str:
    """Return the service of the target on a node's VM."""
    return _SERVICES[NODES.index(node_id) % len(_SERVICES)]


def run_concurrently(functions: list[Callable[[], object]]) -> list[object]:
    """Call functions concurrently and return their results in order.

    Raises:
        KumquatwalkError: A call did not end within 60 s (code
            ``hang_guard``).
    """
    results: list[object] = [None] * len(functions)

    def run(index: int) -> None:
        results[index] = functions[index]()

    threads = [
        threading.Thread(target=run, args=(index,), daemon=True)
        for index in range(len(functions))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(HANG_GUARD_S)
        if thread.is_alive():
            raise KumquatwalkError(
                "hang_guard", "a caller thread did not end in time"
            )
    return results
