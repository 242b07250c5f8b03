"""In-process daemons, targets and a store that share one event loop."""

import asyncio
import dataclasses
import json
import socket

from kumquatwalk.address import Address
from kumquatwalk.composition import make_daemon
from kumquatwalk.daemon.process import Daemon
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.http1.client_connection import open_connection
from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.standin.kv_store import KvStore
from kumquatwalk.standin.scripted_target import ScriptedTarget
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["DaemonFleet", "FleetNode", "make_config"]

HOST = "shop.example"
_ANSWER_BYTES_MAX = 1 << 26
_START_TIMEOUT_S = 20.0
_POLL_S = 0.01


def make_config(
    services: tuple[str, ...], version: int = 1, **route_fields
) -> bytes:
    """Return a fleet configuration with two routes for each service.

    ``/<service>/`` is idempotent and ``/<service>-pay/`` is not.

    Args:
        services: Names of the services.
        version: Number in the version of the configuration.
        **route_fields: JSON fields that override the defaults of each route.
    """
    paths = []
    for service in services:
        for suffix, kind, rank in (("", "safe", 2), ("-pay", "unsafe", 0)):
            path = {
                "name": f"{service}{suffix}",
                "pathPrefix": f"/{service}{suffix}/",
                "routeKind": kind,
                "timeoutS": 2.0,
                "targetLatencyS": 0.5,
                "maxAttempts": 2,
                "priority": rank,
                "service": service,
            }
            path.update(route_fields)
            paths.append(path)
    document = {
        "version": f"r{version}",
        "services": [
            {"name": s, "healthPath": "/health", "maxConnections": 100}
            for s in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutS": 1,
            "idleTimeoutS": 5,
        },
        "virtualHosts": [{"host": HOST, "paths": paths}],
    }
    return json.dumps(document).encode()


@dataclasses.dataclass(slots=True)
class FleetNode:
    """Daemon and target of one node.

    Attributes:
        settings: Settings of the daemon.
        daemon: Running daemon.
        target: Target served by the daemon.
        sequence: Sequence number of the target's last heartbeat.
    """

    settings: DaemonSettings
    daemon: Daemon
    target: ScriptedTarget
    sequence: int = 0


class DaemonFleet:
    """Store, daemons and targets that listen on loopback addresses."""

    def __init__(self):
        self.store = KvStore()
        self.nodes: dict[str, FleetNode] = {}
        self.admits_by_retries = False

    async def start(self, config: bytes) -> None:
        """Start the store and write a fleet configuration to it.

        Args:
            config: JSON document, as from ``make_config``.
        """
        await self.store.start()
        self.store.put("op/config", config)

    async def close(self) -> None:
        """Close all daemons and targets, then the store."""
        for node in self.nodes.values():
            await node.daemon.close()
            await node.target.close()
        await self.store.close()

    async def add_node(
        self, name: str, service: str, zone: str = "z1", **bounds: float
    ) -> FleetNode:
        """Start a target and its daemon.

        Args:
            name: Name of the node.
            service: Service of the target.
            zone: Availability zone of the node.
            **bounds: Fields of `FleetBounds` that override the defaults.
        """
        target = ScriptedTarget(f"i-{name}")
        await target.start()
        settings = self._make_settings(name, service, zone, target, bounds)
        node = FleetNode(settings, make_daemon(settings), target)
        self.nodes[name] = node
        await node.daemon.start()
        return node

    async def restart_daemon(self, name: str) -> None:
        """Restart the daemon of a node while its target keeps running.

        Args:
            name: Name of the node.
        """
        node = self.nodes[name]
        await node.daemon.close()
        node.daemon = make_daemon(node.settings)
        await node.daemon.start()

    async def send_heartbeat(
        self, name: str, target_id: str = "", **changes
    ) -> HttpResponse:
        """Send a heartbeat from a node's target to its daemon.

        Args:
            name: Name of the node.
            target_id: Identifier of another target that it is of; empty for the
                node's own.
            **changes: JSON fields that override the defaults.
        """
        node = self.nodes[name]
        node.sequence += 1
        document = {
            "service": node.settings.service,
            "address": str(node.settings.target),
            "zone": node.settings.availability_zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftS": 0,
            "sequence": node.sequence,
            "born": 1000,
        }
        document.update(changes)
        return await exchange(
            node.settings.heartbeat_listener,
            b"PUT",
            f"/instances/{target_id or node.target.target_id}".encode(),
            (),
            json.dumps(document).encode(),
        )

    async def send_departure(self, name: str) -> HttpResponse:
        """Let a node's target tell its daemon that it leaves for good.

        Args:
            name: Name of the node.
        """
        node = self.nodes[name]
        path = f"/instances/{node.target.target_id}".encode()
        address = node.settings.heartbeat_listener
        return await exchange(address, b"DELETE", path, (), b"")

    async def wait_until_ready(self) -> None:
        """Send heartbeats and wait until all daemons are ready and connected.

        Raises:
            TimeoutError: The fleet was not ready within 20 s.
        """
        for name in self.nodes:
            await self.send_heartbeat(name)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(self._is_ready(n) for n in self.nodes.values()):
                await asyncio.sleep(_POLL_S)

    async def call(
        self,
        name: str,
        path: str,
        attempt_id: str,
        deadline_ms: int = 2000,
        method: bytes = b"GET",
        body: bytes = b"",
    ) -> HttpResponse:
        """Send a request to the caller listener of a node.

        Args:
            name: Name of the node.
            path: Path with its query.
            attempt_id: Identifier of the attempt.
            deadline_ms: Time limit of the request, in milliseconds.
            method: HTTP method.
            body: Body of the request.
        """
        headers = (
            (b"Attempt-Id", attempt_id.encode()),
            (b"Deadline-Ms", str(deadline_ms).encode()),
        )
        address = self.nodes[name].settings.caller_listener
        return await exchange(address, method, path.encode(), headers, body)

    def _is_ready(self, node: FleetNode) -> bool:
        daemon = node.daemon
        others = len(self.nodes) - 1
        return (
            daemon.is_ready
            and daemon.core.target_side.record.state is TargetState.READY
            and daemon.core.peers.count_ready() >= others
        )

    def _make_settings(
        self,
        name: str,
        service: str,
        zone: str,
        target: ScriptedTarget,
        bounds: dict[str, float],
    ) -> DaemonSettings:
        addresses = [Address("127.0.0.1", p) for p in _reserve_ports(4)]
        return DaemonSettings(
            node_id=name,
            availability_zone=zone,
            service=service,
            target=target.address,
            caller_listener=addresses[0],
            link_listener=addresses[1],
            readiness_listener=addresses[2],
            heartbeat_listener=addresses[3],
            store=self.store.address,
            metrics_listener=None,
            bounds=FleetBounds(**bounds),
            admits_by_retries=self.admits_by_retries,
        )


async def exchange(
    address: Address,
    method: bytes,
    path: bytes,
    headers: tuple,
    body: bytes,
) -> HttpResponse:
    """Send one request over a new connection and return the response.

    Args:
        address: Address of the server.
        method: HTTP method.
        path: Path with its query.
        headers: Names and values of headers, without ``Host``.
        body: Body of the request.
    """
    connection = await open_connection(address, 5.0, _ANSWER_BYTES_MAX)
    host = ((b"Host", HOST.encode()),)
    try:
        data = encode_request(method, path, host + headers, body)
        return await connection.exchange(data, method == b"HEAD")
    finally:
        connection.abort()


def _reserve_ports(count: int) -> list[int]:
    """Return loopback ports that are free at present.

    All sockets are held open together so that the ports differ. If another
    process binds a port before its listener does, the start fails.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
