"""A fleet of node processes without targets, for the cost of control."""

import concurrent.futures
import json
import os
import random
import signal
import time
import urllib.request
from collections.abc import Callable

from benchmarks.processes import ProgramProcess
from kumquatwalk.catalogue import Entry
from kumquatwalk.catalogue import Importance
from kumquatwalk.catalogue import Limits
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.cli.node_client import parse_node
from kumquatwalk.cli.node_client import read_node
from kumquatwalk.platform.client import PlatformClient

__all__ = ["ControlFleet"]

ZONES = 6
PEERS = 3
ENTRIES = 8
STARTS_AT_ONCE = 8
POLL_S = 0.02
HANG_GUARD_S = 120.0


class ControlFleet:
    """A platform and nodes in six zones, as processes on loopback.

    Args:
        size: Number of nodes.
        seed: Seed of all choices.
    """

    def __init__(self, size: int, seed: int):
        self._size = size
        self._rng = random.Random(seed)
        self._platform = ProgramProcess("standin", "platform")
        self._client: PlatformClient | None = None
        self._peers = ""
        self.nodes: dict[int, ProgramProcess] = {}

    def start(self) -> None:
        """Start all processes and wait until each node knows the fleet."""
        self._platform.start()
        self._client = PlatformClient(self._platform.addresses["main"])
        self.change_catalogue()
        for number in range(min(PEERS, self._size)):
            self._start_node(number)
        self._peers = ",".join(
            node.addresses["gossip"] for node in self.nodes.values()
        )
        with concurrent.futures.ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
            list(pool.map(self._start_node, range(PEERS, self._size)))
        self._await_all(self.nodes, self._knows_fleet)

    def close(self) -> None:
        """Stop all processes."""
        with concurrent.futures.ThreadPoolExecutor(self._size) as pool:
            list(pool.map(ProgramProcess.close, self.nodes.values()))
        self.nodes.clear()
        if self._client is not None:
            self._client.close()
        self._platform.close()

    def choose(self) -> int:
        """Return the number of a node that is not a peer of the others."""
        return self._rng.choice(sorted(n for n in self.nodes if n >= PEERS))

    def change_catalogue(self) -> int:
        """Change an entry and return the catalogue's new revision."""
        name = f"entry-{self._rng.randrange(ENTRIES)}"
        limits = Limits(self._rng.randrange(10, 1000), 1000.0, 2, 10_000)
        entry = Entry(name, "bench", "none", Importance.HIGH, True, limits)
        change = Change(name, entry, f"{self._rng.getrandbits(64):016x}")
        editor = Editor("bench", "bench", round(time.time() * 1000), True)
        store = CatalogueStore(self._client)
        records = store.edit((change,), editor)
        return max(record.revision for record in records)

    def restart(self, number: int) -> None:
        """Stop a node gracefully and start it again."""
        self.nodes.pop(number).close()
        self._start_node(number)

    def measure_change(self) -> float:
        """Change the catalogue; return the seconds until all have it."""
        started = time.monotonic()
        revision = self.change_catalogue()
        self._await_all(
            self.nodes, lambda node: _read_revision(node) >= revision
        )
        return time.monotonic() - started

    def measure_kill(self) -> float:
        """Kill a node; return the seconds until all hold it to be dead."""
        number = self.choose()
        killed = self.nodes.pop(number)
        started = time.monotonic()
        os.kill(killed.pid, signal.SIGKILL)
        killed.close()
        self._await_all(
            self.nodes,
            lambda node: _find(node, number)["state"] == "dead",
        )
        return time.monotonic() - started

    def measure_leave(self) -> float:
        """Stop a node; return the seconds until no other gives it work."""
        number = self.choose()
        leaving = self.nodes.pop(number)
        started = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            stopped = pool.submit(leaving.close)
            self._await_all(
                self.nodes, lambda node: _is_leaving(_find(node, number))
            )
            taken_s = time.monotonic() - started
            stopped.result()
        return taken_s

    def count_platform_calls(self) -> int:
        """Return the calls that the platform has counted."""
        address = self._platform.addresses["main"]
        with urllib.request.urlopen(f"http://{address}/stats") as answer:
            stats = json.load(answer)
        return sum(v for v in _flatten(stats) if isinstance(v, int))

    def _start_node(self, number: int) -> None:
        zone = number % ZONES + 1
        host = f"127.{zone}.0.{number // ZONES + 1}"
        ports = ("http", "local", "link", "gossip")
        flags = [f"--{port}-port=0" for port in ports]
        if self._peers:
            flags += ["--peers", self._peers]
        node = ProgramProcess(
            *("node", "--node-id", f"node-{number}", "--zone", f"zone-{zone}"),
            *("--host", host, "--local-host", host, "--log-level", "error"),
            *("--platform", self._platform.addresses["main"], *flags),
        )
        node.start()
        self.nodes[number] = node
        if number < PEERS:
            addresses = [n.addresses["gossip"] for n in self.nodes.values()]
            self._peers = ",".join(addresses)

    def _knows_fleet(self, node: ProgramProcess) -> bool:
        return len(_read_members(node)) == self._size

    def _await_all(
        self,
        nodes: dict[int, ProgramProcess],
        condition: Callable[[ProgramProcess], bool],
    ) -> None:
        guard = time.monotonic() + HANG_GUARD_S
        waiting = list(nodes.values())
        while waiting:
            if time.monotonic() > guard:
                raise TimeoutError(f"{len(waiting)} nodes did not follow")
            if condition(waiting[-1]):
                waiting.pop()
            else:
                time.sleep(POLL_S)


def _read_json(node: ProgramProcess, path: str) -> dict:
    return json.loads(read_node(parse_node(node.addresses["local"]), path))


def _read_members(node: ProgramProcess) -> list[dict]:
    return _read_json(node, "/kumquatwalk/members")["members"]


def _read_revision(node: ProgramProcess) -> int:
    return _read_json(node, "/kumquatwalk/status")["catalogue_revision"]


def _find(node: ProgramProcess, number: int) -> dict:
    members = _read_members(node)
    return next(m for m in members if m["node_id"] == f"node-{number}")


def _is_leaving(member: dict) -> bool:
    return member["state"] == "left" or member["target_state"] == "draining"


def _flatten(value: object) -> list[object]:
    if isinstance(value, dict):
        return [leaf for part in value.values() for leaf in _flatten(part)]
    return [value]
