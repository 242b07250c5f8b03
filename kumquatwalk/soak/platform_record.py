"""Record of what callers and targets saw on the platform's interface."""

import collections
import dataclasses
import json
import pathlib
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.history import Violation
from kumquatwalk.soak.process_ends import ProcessEnd
from kumquatwalk.soak.scheduling import ProcessWait
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.scripted_target import Run

__all__ = [
    "Departure",
    "Impairment",
    "PlannedWork",
    "PlatformRecord",
    "ReadinessAnswer",
    "collect_runs",
    "write_record",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedWork:
    """SIGTERM or SIGHUP of a daemon.

    Attributes:
        node: Node of the daemon.
        pid: Its process.
        at: Time of the signal, in seconds.
        is_stop: Whether it was SIGTERM.
    """

    node: str
    pid: int
    at: float
    is_stop: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Impairment:
    """Unplanned impairment of a node.

    Attributes:
        node: Node.
        began_at: Its begin, in seconds.
        ended_at: Its end, in seconds.
    """

    node: str
    began_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Planned departure of a target.

    Attributes:
        node: Node beside the target.
        target_id: Identifier of the target.
        acked_at: Time at which a daemon acknowledged it, in seconds.
    """

    node: str
    target_id: str
    acked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessAnswer:
    """Answer to the platform's question whether a node is ready.

    Attributes:
        node: Node that was asked.
        pid: Its process when it was asked.
        at: Time of the answer, in seconds.
        status: Status of the answer; 0 without one.
    """

    node: str
    pid: int
    at: float
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRecord:
    """What callers and targets saw, and what was done to the daemons.

    Attributes:
        attempts: Requests of the callers, ended.
        runs: Node beside the target and run, in order of the runs, by attempt.
        works: Planned work, each SIGTERM only once for each process.
        impairments: Unplanned impairments.
        departures: Acknowledged departures of targets.
        manifests: Times at which the configuration was changed, in seconds.
        waits: Long waits of processes for a processor.
        ends: Ends of daemon processes.
        readiness: Answers to the questions whether nodes are ready, in order.
        store_impairments: Begin and end of each impairment of the store, in
            seconds.
    """

    attempts: Sequence[Attempt]
    runs: Mapping[str, Sequence[tuple[str, Run]]]
    works: Sequence[PlannedWork]
    impairments: Sequence[Impairment]
    departures: Sequence[Departure] = ()
    manifests: Sequence[float] = ()
    waits: Sequence[ProcessWait] = ()
    ends: Sequence[ProcessEnd] = ()
    readiness: Sequence[ReadinessAnswer] = ()
    store_impairments: Sequence[tuple[float, float]] = ()


def collect_runs(
    nodes: Iterable[PlatformNode],
) -> dict[str, list[tuple[str, Run]]]:
    """Return node and run of each run, in order of the runs, by attempt.

    Args:
        nodes: Nodes of the targets.
    """
    runs = [(node.name, run) for node in nodes for run in node.target.runs]
    found = collections.defaultdict(list)
    for name, run in sorted(runs, key=lambda entry: entry[1].at):
        found[run.attempt_id].append((name, run))
    return dict(found)


def write_record(
    folder: pathlib.Path,
    record: PlatformRecord,
    violations: Sequence[Violation],
) -> None:
    """Write ``record.jsonl``, a document a line, and ``violations.txt``.

    Args:
        folder: Folder of both files.
        record: What was seen.
        violations: Broken promises.
    """
    text = "".join(f"{violation}\n" for violation in violations)
    (folder / "violations.txt").write_text(text, encoding="utf-8")
    entries = (
        *record.works,
        *record.impairments,
        *record.departures,
        *record.waits,
        *record.ends,
        *record.readiness,
        *record.attempts,
    )
    documents = [{type(e).__name__: dataclasses.asdict(e)} for e in entries]
    for span in record.store_impairments:
        documents.append({"StoreImpairment": span})
    for attempt_id, runs in record.runs.items():
        for name, run in runs:
            times = (run.at, run.ended_at, run.is_broken_off)
            limit_ms = run.request.find_header(b"deadline-ms") or b""
            limit = limit_ms.decode("latin-1")
            fields = (attempt_id, name, *times, limit, run.is_aborted)
            documents.append({"Run": fields})
    lines = "".join(json.dumps(document) + "\n" for document in documents)
    (folder / "record.jsonl").write_text(lines, encoding="utf-8")
