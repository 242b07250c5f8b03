"""Daemon process on the platform's interface and the target beside it."""

import dataclasses
import json
import math
import os
import pathlib
import signal
import subprocess

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.standin.endless_answers import ENDLESS_SCRIPTS
from kumquatwalk.standin.scripted_target import Script
from kumquatwalk.standin.scripted_target import ScriptedTarget

__all__ = ["GRACE_S", "PlatformNode", "make_body"]

# Bounds that the operators' pages give as an example, in seconds.
GRACE_S = 6.0
_BOUNDS = (
    f"graceS={GRACE_S}",
    "drainS=2",
    "addrReuseS=2",
    "retryBudgetRatio=0.2",
    "budgetWindowS=10",
)
_BUDGET_SLACK = 48


@dataclasses.dataclass(slots=True)
class PlatformNode:
    """One VM: a daemon process and the target beside it.

    Attributes:
        name: Name of the node.
        service: Service of the target.
        zone: Availability zone.
        target: Target, served by this process.
        listeners: Addresses of the daemon by listener name.
        settings: Path of the settings file.
        target_address: Address of the target, also while it is down.
        process: Daemon process; None before the first start.
        state: State that the target reports.
        work_factor: Factor by which runs take longer.
        silent_until: Time until which no run ends, in seconds.
        sequence: Sequence number of the last heartbeat.
        born: Start of the target, in Unix milliseconds.
        starts: Number of starts of the daemon.
        started_at: Time of the last one, in seconds.
        is_killed: Whether the daemon got SIGKILL since.
        reloads: Number of changes of the settings.
        slots: Number of requests that the target runs at once.
        memory_mb: Memory of the process, in megabytes.
        fds_max: Descriptors of the process.
    """

    name: str
    service: str
    zone: str
    target: ScriptedTarget
    listeners: dict[str, Address]
    settings: pathlib.Path
    target_address: Address
    process: subprocess.Popen | None = None
    state: str = "ready"
    work_factor: float = 1.0
    silent_until: float = 0.0
    sequence: int = 0
    born: int = 1000
    starts: int = 0
    started_at: float = 0.0
    is_killed: bool = False
    reloads: int = 0
    slots: int = 64
    memory_mb: int = 300
    fds_max: int = 4096

    @property
    def pid(self) -> int:
        """Process id of the daemon."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the daemon has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def has_ended(self) -> bool:
        """Whether the daemon was started and has ended."""
        return self.process is not None and self.process.poll() is not None

    def catches(self, number: int) -> bool:
        """Return whether the daemon has a handler for a signal.

        Args:
            number: Number of the signal.
        """
        caught = int(self._read_status().get("SigCgt", "0"), 16)
        return bool(caught >> (number - 1) & 1)

    def read_peak_kb(self) -> int:
        """Return the largest resident size, in kilobytes; 0 once ended."""
        return int(self._read_status().get("VmHWM", "0 kB").split()[0])

    def _read_status(self) -> dict[str, str]:
        """Return what the kernel tells of the daemon; empty once it is gone."""
        path = pathlib.Path("/proc", str(self.pid), "status")
        try:
            text = path.read_text(encoding="ascii")
        except OSError:
            return {}
        return dict(line.split(":", 1) for line in text.splitlines())

    def signal(self, number: int) -> None:
        """Send a signal to the daemon if it is running."""
        if self.is_running:
            self.is_killed |= number == signal.SIGKILL
            os.kill(self.pid, number)

    def choose_script(self, request: HttpRequest) -> Script:
        """Return the behaviour that the path ``/ROUTE/WORK_MS/BYTES`` asks for.

        The target stops work at the request's ``Deadline-Ms`` and answers 504.
        While it is silent, it stays so past that.
        In place of ``BYTES`` it may name one of ``ENDLESS_SCRIPTS``.

        Args:
            request: Request to run.
        """
        _, _, work_ms, size = request.url.decode("ascii").split("/")
        if size in ENDLESS_SCRIPTS:
            return ENDLESS_SCRIPTS[size]
        attempt_id = (request.find_header(b"attempt-id") or b"").decode()
        silent_s = max(0.0, self.silent_until - read_now())
        work_s = silent_s + self.work_factor * int(work_ms) / 1000
        limit_ms = request.find_header(b"deadline-ms")
        limit_s = float(limit_ms) / 1000 if limit_ms else math.inf
        return Script(
            work_s=min(work_s, max(silent_s, limit_s)),
            status=200 if work_s <= limit_s else 504,
            body=make_body(attempt_id, int(size)),
        )

    def make_heartbeat(self) -> dict[str, object]:
        """Return the document of the target's next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": str(self.target_address),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftS": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def write_settings(self, store: Address) -> None:
        """Write the settings file, with the fields that a daemon reads.

        Args:
            store: Address of the store.
        """
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(self._make_settings(store), encoding="utf-8")
        temporary.replace(self.settings)

    def _make_settings(self, store: Address) -> str:
        metrics = self.listeners["metrics"]
        slack = f"budgetSlack={_BUDGET_SLACK + self.reloads}"
        names = ("inbound", "outbound", "ready", "control")
        listen = [f'{n} = "{self.listeners[n]}"' for n in names]
        lines = [
            f'node = "{self.name}"',
            f'ip = "{metrics.host}"',
            f'zone = "{self.zone}"',
            f'service = "{self.service}"',
            f'appAddr = "{self.target_address}"',
            f"portRange = [{metrics.port}, {metrics.port}]",
            f"bounds = {json.dumps((*_BOUNDS, slack))}",
            "[listen]",
            *listen,
            "[limits]",
            f"memoryMb = {self.memory_mb}",
            f"maxFds = {self.fds_max}",
            "[platform]",
            f'address = "{store}"',
        ]
        return "\n".join(lines) + "\n"


def make_body(attempt_id: str, size: int) -> bytes:
    """Return the body with which a target answers an attempt.

    Args:
        attempt_id: Value of ``Attempt-Id``.
        size: Size of the body, in bytes.
    """
    word = attempt_id.encode() + b"."
    return (word * (size // len(word) + 1))[:size]
