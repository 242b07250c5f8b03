"""Starts the processes of the added-latency benchmark."""

from benchmarks.processes import ProgramProcess
from kumquatwalk.catalogue import AuditRecord
from kumquatwalk.catalogue import Catalogue
from kumquatwalk.catalogue import Entry
from kumquatwalk.catalogue import Importance
from kumquatwalk.catalogue import Limits
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.platform.store_position import ABSENT

__all__ = ["ENTRY_NAME", "LatencyBench"]

ENTRY_NAME = "status-check"

_SERVICE = "verification"


def make_catalogue() -> Catalogue:
    """Return a catalogue with the benchmark's only entry."""
    entry = Entry(
        name=ENTRY_NAME,
        owner="bench",
        service=_SERVICE,
        importance=Importance.HIGH,
        idempotent=True,
        limits=Limits(1000, 100_000.0, 2, 10_000),
    )
    record = AuditRecord(
        1, "0" * 16, "bench", "first", 0, ENTRY_NAME, None, entry
    )
    return Catalogue(1, {ENTRY_NAME: entry}, (record,))


class LatencyBench:
    """Processes of one run: platform stand-in, two nodes and a target.

    Attributes:
        platform: Stand-in for the platform.
        gate: Node beside the target.
        entry: Node on another VM.
        target: Target of the benchmark's service.
    """

    def __init__(self):
        self._started: list[ProgramProcess] = []
        self.platform = ProgramProcess("standin", "platform")
        self.gate: ProgramProcess | None = None
        self.entry: ProgramProcess | None = None
        self.target: ProgramProcess | None = None

    def start(self) -> None:
        """Start all processes, each after the ones that it depends on."""
        self._start(self.platform)
        platform = self.platform.addresses["main"]
        client = BlockingStoreClient(platform)
        client.put("catalogue", encode_catalogue(make_catalogue()), ABSENT)
        self.gate = self._start_node(
            "gate", "127.0.1.1", "--platform", platform
        )
        self.entry = self._start_node(
            "entry", "127.0.1.2", "--platform", platform
        )
        self.target = ProgramProcess(
            "standin",
            "target",
            *("--listen", "127.0.0.1:0", "--service", _SERVICE),
            *("--node", self.gate.addresses["local"]),
            *("--slots", "50", "--service-ms", "0.001"),
        )
        self._start(self.target)

    def close(self) -> None:
        """Stop all processes in reverse order of their start."""
        while self._started:
            self._started.pop().close()

    def _start(self, process: ProgramProcess) -> None:
        self._started.append(process)
        process.start()

    def _start_node(
        self, name: str, host: str, *options: str
    ) -> ProgramProcess:
        ports = ("http", "local", "link")
        flags = [f"--{port}-port=0" for port in ports]
        process = ProgramProcess(
            *("node", "--node-id", name, "--zone", "a", "--host", host),
            *("--log-level", "warning", *flags, *options),
        )
        self._start(process)
        return process
