"""Reads the resource usage of a node's process."""

import dataclasses
import pathlib

from benchmarks.processes import ProgramProcess
from kumquatwalk.cli.node_client import parse_node_address
from kumquatwalk.cli.node_client import get_from_node
from kumquatwalk.metrics import parse_text

__all__ = ["ProcessReading", "read_private_mb", "read_process"]

_GOSSIP_COUNTERS = (
    "kumquatwalk_gossip_sent_bytes",
    "kumquatwalk_gossip_received_bytes",
)
_KB_PER_MB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessReading:
    """Resource usage of a node's process since its start.

    Attributes:
        pid: Process id.
        cpu_s: CPU time, in seconds.
        gossip_bytes: Bytes of gossip traffic, sent and received.
    """

    pid: int
    cpu_s: float
    gossip_bytes: float


def read_process(process: ProgramProcess) -> ProcessReading:
    """Read the resource usage of a node's process since its start.

    Args:
        process: Process of a running node.
    """
    address = parse_node_address(process.addresses["local"])
    text = get_from_node(address, "/kumquatwalk/metrics").decode()
    samples = parse_text(text)
    gossip = sum(s.value for s in samples if s.name in _GOSSIP_COUNTERS)
    return ProcessReading(process.pid, process.read_cpu_s(), gossip)


def read_private_mb(process: ProgramProcess) -> float:
    """Read the private memory of a running process, in MiB.

    Args:
        process: Running process.
    """
    path = pathlib.Path(f"/proc/{process.pid}/smaps_rollup")
    total_kb = 0
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("Private_"):
            total_kb += int(line.split()[1])
    return total_kb / _KB_PER_MB
