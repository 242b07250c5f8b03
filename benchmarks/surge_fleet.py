"""Processes of a fleet in the surge benchmark."""

import concurrent.futures
import enum
import json
import time

import urllib3

from benchmarks.processes import ProgramProcess
from benchmarks.surge_shape import ServiceShape
from benchmarks.surge_shape import SurgeShape
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.platform.store_position import ABSENT

__all__ = ["Control", "Fault", "SurgeFleet"]

# Mean run time of the targets.
SERVICE_MS = 300
ZONES = "abc"
# Queue length of a target, as a multiple of its slots.
QUEUE_FACTOR = 4
QUEUE_MS = 1500
# Factor on the run times of the bottleneck service under ``SLOW_DEEP``.
SLOWDOWN_FACTOR = 3.0
READY_TIMEOUT_S = 40


class Control(enum.Enum):
    """Overload control of the fleet.

    ``FULL`` runs nodes. ``STATIC`` runs forwarders with fixed limits and
    ``NONE`` forwarders without limits.
    """

    FULL = "full"
    STATIC = "static"
    NONE = "none"


class Fault(enum.Enum):
    """Fault that is injected during the surge.

    ``SLOW_DEEP`` slows the bottleneck service, and ``HARD_RETRIES`` makes
    callers retry more often with shorter pauses. ``PLATFORM_DOWN`` makes the
    platform unavailable, and ``ZONE_CUT`` cuts zone ``c`` off from the others.
    """

    NONE = "none"
    SLOW_DEEP = "slow_deep"
    HARD_RETRIES = "hard_retries"
    PLATFORM_DOWN = "platform_down"
    ZONE_CUT = "zone_cut"


class SurgeFleet:
    """Fleet of targets, each with a node or a forwarder beside it.

    Args:
        shape: Services and request kinds of the fleet.
        control: Overload control, which decides between node and forwarder.
        seed: Seed of the service times.
    """

    def __init__(self, shape: SurgeShape, control: Control, seed: int):
        self._shape = shape
        self._control = control
        self._seed = seed
        self._http = urllib3.PoolManager()
        self._processes: list[ProgramProcess] = []
        self._platform: ProgramProcess | None = None
        self._nodes: list[tuple[ServiceShape, str, ProgramProcess]] = []
        self._targets: list[tuple[ServiceShape, ProgramProcess]] = []

    @property
    def addresses(self) -> list[str]:
        """Addresses to which callers send requests."""
        name = "http" if self._control is Control.FULL else "main"
        return [node.addresses[name] for _, _, node in self._nodes]

    def start(self) -> None:
        """Start all processes and wait until each node serves requests.

        Raises:
            TimeoutError: A request kind is not served within 40 s.
        """
        if self._control is Control.FULL:
            self._start_platform()
        for service in self._shape.services:
            for number in range(service.targets):
                self._start_target_with_sidecar(service, number)
        if self._control is not Control.FULL:
            self._send_routes()
        self._wait_until_ready()

    def close(self) -> None:
        """Stop all processes."""
        with concurrent.futures.ThreadPoolExecutor(32) as executor:
            list(executor.map(ProgramProcess.close, self._processes[::-1]))

    def set_fault(self, fault: Fault, is_active: bool) -> None:
        """Inject a fault or remove it.

        Faults of parts that the fleet does not have are ignored.
        """
        match fault:
            case Fault.SLOW_DEEP:
                self._slow_bottleneck_targets(
                    SLOWDOWN_FACTOR if is_active else 1.0
                )
            case Fault.PLATFORM_DOWN if self._platform is not None:
                address = self._platform.addresses["main"]
                self._put(address, "/faults", {"outage": is_active})
            case Fault.ZONE_CUT if self._control is Control.FULL:
                self._cut_zone(is_active)

    def read_runs(self) -> list[dict]:
        """Return the run records of all targets."""
        runs: list[dict] = []
        for _, target in self._targets:
            address = target.addresses["main"]
            response = self._http.request("GET", f"http://{address}/runs")
            runs += response.json()
        return runs

    def read_cpu_s(self) -> dict[str, float]:
        """Return the CPU time used so far by nodes and by all processes."""
        nodes = sum(node.read_cpu_s() for _, _, node in self._nodes)
        return {
            "nodes": nodes,
            "all": sum(p.read_cpu_s() for p in self._processes),
        }

    def _start_platform(self) -> None:
        self._platform = self._start(ProgramProcess("standin", "platform"))
        client = BlockingStoreClient(self._platform.addresses["main"])
        catalogue = encode_catalogue(self._shape.make_catalogue())
        client.put("catalogue", catalogue, ABSENT)

    def _start_target_with_sidecar(
        self, service: ServiceShape, number: int
    ) -> None:
        if self._control is Control.FULL:
            zone = ZONES[number % len(ZONES)]
            node = self._start_node(service, zone)
            local = node.addresses["local"]
        else:
            zone = ""
            node = self._start_forwarder(service)
            local = node.addresses["main"]
        self._nodes.append((service, zone, node))
        target = ProgramProcess(
            *("standin", "target", "--service", service.name, "--node", local),
            *("--slots", str(service.slots)),
            *("--connections", str(service.connections)),
            *("--service-ms", str(SERVICE_MS), "--queue-ms", str(QUEUE_MS)),
            *("--queue", str(QUEUE_FACTOR * service.slots)),
            *("--seed", str(self._seed * 100 + len(self._nodes))),
            *self._list_calls(service),
        )
        self._targets.append((service, self._start(target)))

    def _start_node(self, service: ServiceShape, zone: str) -> ProgramProcess:
        number = len(self._nodes) + 1
        host = f"127.0.{ZONES.index(zone) + 1}.{number}"
        ports = ("http", "local", "link")
        return self._start(
            ProgramProcess(
                *("node", "--node-id", f"{service.name}-{number}"),
                *("--zone", zone, "--host", host, "--log-level", "error"),
                *("--platform", self._platform.addresses["main"]),
                *("--enable-faults", "true"),
                *(f"--{port}-port=0" for port in ports),
            )
        )

    def _start_forwarder(self, service: ServiceShape) -> ProgramProcess:
        is_static = self._control is Control.STATIC
        limit = service.slots if is_static else 0
        return self._start(
            ProgramProcess("--limit", str(limit), module="benchmarks.forwarder")
        )

    def _start(self, process: ProgramProcess) -> ProgramProcess:
        self._processes.append(process)
        process.start()
        return process

    def _list_calls(self, service: ServiceShape) -> list[str]:
        flags = []
        for entry in self._shape.make_catalogue().entries.values():
            if entry.service == service.name and entry.calls:
                flags += ["--calls", f"{entry.name}={','.join(entry.calls)}"]
        return flags

    def _send_routes(self) -> None:
        entries = self._shape.make_catalogue().entries.values()
        peers: dict[str, list[str]] = {}
        for service, _, node in self._nodes:
            peers.setdefault(service.name, []).append(node.addresses["main"])
        routes = {"services": {e.name: e.service for e in entries}}
        for address in self.addresses:
            self._put(address, "/routes", routes | {"peers": peers})

    def _slow_bottleneck_targets(self, factor: float) -> None:
        for service, target in self._targets:
            if service is self._shape.bottleneck:
                address = target.addresses["main"]
                self._put(address, "/faults", {"service_factor": factor})

    def _cut_zone(self, is_active: bool) -> None:
        prefixes = {z: f"127.0.{i + 1}." for i, z in enumerate(ZONES)}
        for _, zone, node in self._nodes:
            blocked = [
                prefixes[z] for z in ZONES if (z == "c") != (zone == "c")
            ]
            document = {"blocked_hosts": blocked if is_active else []}
            address = node.addresses["local"]
            self._put(address, "/kumquatwalk/faults", document)

    def _put(self, address: str, path: str, document: dict) -> None:
        response = self._http.request(
            "PUT", f"http://{address}{path}", body=json.dumps(document)
        )
        if response.status != 200:
            raise RuntimeError(
                f"PUT {path} returned status {response.status}, not 200"
            )

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        idempotent = [k for k in self._shape.kinds if not k.is_at_most_once]
        entries = {kind.list_entries()[0] for kind in idempotent}
        for address in self.addresses:
            for entry in entries:
                while not self._is_served(address, entry):
                    if time.monotonic() > deadline:
                        raise TimeoutError(f"{address} does not serve {entry}")
                    time.sleep(0.2)

    def _is_served(self, address: str, entry: str) -> bool:
        response = self._http.request(
            "POST", f"http://{address}/{entry}", body=b"warm-up"
        )
        return response.status == 200
