"""Fleet of platform, node and target processes on loopback addresses."""

import json
import time
from collections.abc import Callable

import urllib3

from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.standin.caller import StandinCaller
from kumquatwalk.standin.child import ChildProcess

__all__ = ["LocalFleet", "make_host", "split_address", "wait_until"]

_CATALOGUE_KEY = "catalogue"
_HANG_GUARD_S = 60.0
_POLL_S = 0.02


class LocalFleet:
    """Processes of a simulated platform, its nodes and their targets.

    Attributes:
        platform: Process of the simulated platform; None before its start.
        nodes: Processes of nodes by node id.
        targets: Processes of targets by the node id of their VM.
    """

    def __init__(self):
        self.platform: ChildProcess | None = None
        self.nodes: dict[str, ChildProcess] = {}
        self.targets: dict[str, ChildProcess] = {}
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)

    @property
    def platform_address(self) -> str:
        """Address of the simulated platform, as ``host:port``."""
        return self.platform.addresses[""]

    def start_platform(self, listen: str = "127.0.0.1:0") -> None:
        """Start the simulated platform on an address (port 0: any free)."""
        arguments = ["standin", "platform", "--listen", listen]
        self.platform = ChildProcess(arguments)
        self.platform.start()

    def put_catalogue(self, entries: list[Entry]) -> None:
        """Write catalogue revision 1 to the platform."""
        catalogue = Catalogue(1, {entry.name: entry for entry in entries})
        client = BlockingStoreClient(self.platform_address)
        client.put(_CATALOGUE_KEY, encode_catalogue(catalogue), ABSENT)

    def start_node(
        self,
        node_id: str,
        zone: str,
        host: str,
        extra: tuple[str, ...] = (),
    ) -> ChildProcess:
        """Start or restart a node.

        A restarted node keeps its ports, at which its peers, its target and
        callers know it.

        Args:
            node_id: Name of the node.
            zone: Availability zone of the node.
            host: Loopback address of the node.
            extra: Additional command-line arguments.

        Returns:
            Process whose ``addresses`` are ``http``, ``local`` and ``link``.
        """
        arguments = ["node", "--node-id", node_id, "--zone", zone]
        arguments += ["--host", host, "--enable-faults", "true"]
        arguments += ["--platform", self.platform_address]
        previous = self.nodes.get(node_id)
        ports = dict.fromkeys(("http", "local", "link"), 0)
        if previous is not None:
            for name in ports:
                ports[name] = split_address(previous.addresses[name])[1]
        for name, port in ports.items():
            arguments += [f"--{name}-port", str(port)]
        node = ChildProcess([*arguments, *extra])
        node.start()
        self.nodes[node_id] = node
        return node

    def start_target(
        self, node_id: str, service: str, extra: tuple[str, ...] = ()
    ) -> ChildProcess:
        """Start a target on the VM of a node.

        Args:
            node_id: Node on the same VM.
            service: Service of the target.
            extra: Additional command-line arguments.

        Returns:
            Process of the target.
        """
        local = self.nodes[node_id].addresses["local"]
        arguments = ["standin", "target", "--service", service]
        target = ChildProcess([*arguments, "--node", local, *extra])
        target.start()
        self.targets[node_id] = target
        return target

    def make_caller(self, node_id: str, **options) -> StandinCaller:
        """Return a caller that sends its requests to a node.

        Args:
            node_id: Name of the node.
            **options: Keyword arguments of `StandinCaller`.
        """
        host, port = split_address(self.nodes[node_id].addresses["http"])
        return StandinCaller(host, port, **options)

    def read_members(self, node_id: str) -> list[dict]:
        """Return the member list of a node, from its local listener."""
        local = self.nodes[node_id].addresses["local"]
        url = f"http://{local}/kumquatwalk/members"
        return self._http.request("GET", url).json()["members"]

    def read_json(self, address: str, path: str) -> object:
        """Send a GET request and return the JSON document of the response."""
        return self._http.request("GET", f"http://{address}{path}").json()

    def put_json(self, address: str, path: str, document: object):
        """Send a JSON document in a PUT request; return urllib3's response."""
        body = json.dumps(document).encode()
        return self._http.request("PUT", f"http://{address}{path}", body=body)

    def save_platform_copy(self) -> None:
        """Take a copy of the store, for ``restore_platform``."""
        self.put_json(self.platform_address, "/copy", {})

    def restore_platform(self, age_s: float | None = None) -> None:
        """Restore the store from a copy; later writes and leases are lost.

        Args:
            age_s: Largest age of the copy, in seconds; None for the copy of
                ``save_platform_copy``.
        """
        query = "" if age_s is None else f"?age_s={age_s}"
        self.put_json(self.platform_address, f"/restore{query}", {})

    def block_hosts(self, node_id: str, prefixes: tuple[str, ...]) -> None:
        """Block traffic between a node and hosts to simulate a partition.

        Args:
            node_id: Node to partition.
            prefixes: Prefixes of the blocked IP addresses; empty to heal.
        """
        local = self.nodes[node_id].addresses["local"]
        document = {"blocked_hosts": list(prefixes)}
        self.put_json(local, "/kumquatwalk/faults", document)

    def wait_ready(self, revision: int = 1) -> None:
        """Wait until all running nodes know all targets and the catalogue.

        Args:
            revision: Lowest catalogue revision that the nodes must hold.
        """
        wait_until(lambda: self._is_ready(revision), "the fleet to be ready")

    def close(self) -> None:
        """Terminate all processes and wait until they have ended."""
        children = [*self.targets.values(), *self.nodes.values()]
        if self.platform is not None:
            children.append(self.platform)
        running = [child for child in children if child.is_running()]
        for child in running:
            child.resume()
            child.signal(15)
        for child in running:
            child.wait()

    def _is_ready(self, revision: int) -> bool:
        running = [n for n, child in self.nodes.items() if child.is_running()]
        return all(
            self._is_node_ready(node_id, revision) for node_id in running
        )

    def _is_node_ready(self, node_id: str, revision: int) -> bool:
        local = self.nodes[node_id].addresses["local"]
        status = self.read_json(local, "/kumquatwalk/status")
        if status["catalogue_revision"] < revision:
            return False
        targets = [t for t in self.targets.values() if t.is_running()]
        return sum(status["targets"].values()) >= len(targets)


def make_host(zone: int, number: int) -> str:
    """Return the loopback address of a VM.

    Args:
        zone: Number of the zone, from 1.
        number: Number of the VM in its zone, from 1.

    Example:
        >>> make_host(2, 1)
        '127.2.0.1'
    """
    return f"127.{zone}.0.{number}"


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def wait_until(
    is_true: Callable[[], bool],
    what: str,
    hang_guard_s: float = _HANG_GUARD_S,
) -> None:
    """Poll until a condition holds.

    Args:
        is_true: Returns whether the condition holds.
        what: Description of the condition, for the error message.
        hang_guard_s: Timeout, in seconds.

    Raises:
        KumquatwalkError: The condition did not hold in time (code
            ``hang_guard``).
    """
    deadline = time.monotonic() + hang_guard_s
    while not is_true():
        if time.monotonic() > deadline:
            raise KumquatwalkError(
                "hang_guard", f"timed out waiting for {what}"
            )
        time.sleep(_POLL_S)
