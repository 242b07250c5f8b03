"""Daemon processes on the platform's interface, beside simulated targets."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.exception import ExchangeError
from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.deployed_command import ROOT
from kumquatwalk.standin.deployed_command import read_deployed_command
from kumquatwalk.standin.kv_store import KvStore
from kumquatwalk.standin.link_proxy import LinkProxy
from kumquatwalk.standin.node_place import NodePlace
from kumquatwalk.standin.platform_node import GRACE_S
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.scripted_target import ScriptedTarget

__all__ = ["PlatformFleet"]

SERVICES = ("look", "pay")
ROUTE_TIMEOUT_S = 5.0
_HEARTBEAT_S = 1.5
_REPORT_TIMEOUT_S = 1.0
_LISTENERS = ("inbound", "outbound", "ready", "control", "metrics", "proxied")


class PlatformFleet:
    """Store, targets and daemon processes on loopback addresses.

    The store and the targets run on the running event loop; each daemon is
    started as the deploy file says. Route ``/look/`` is safe,
    ``/pay-pay/`` is unsafe.

    Args:
        folder: Folder of settings files and logs, one log for each process.
        has_proxies: Whether all links between nodes pass through proxies.
        tree: Checkout of which the daemons run; None for the present one.

    Attributes:
        nodes: Nodes by name.
        proxies: Proxies of links by the node that accepts the links.
        store: Simulated store.
    """

    # Time until all nodes serve, in seconds.
    start_timeout_s = 30.0
    # Paths of requests that show that a node serves.
    probes = (b"/look/0/1", b"/pay-pay/0/1")
    # Memory, in megabytes, and descriptors of each process.
    memory_mb = 300
    fds_max = 4096

    def __init__(
        self,
        folder: pathlib.Path,
        tree: str | None = None,
        has_proxies: bool = False,
    ):
        self.nodes: dict[str, PlatformNode] = {}
        self.proxies: dict[str, LinkProxy] = {}
        self._has_proxies = has_proxies
        self.store = KvStore()
        self._folder = folder
        self._tree = tree
        self._version = 0
        self._beats: list[asyncio.Task] = []
        # Apart from other fleets, and from the ports of outgoing connections.
        self._subnet = random.SystemRandom().randrange(100, 250)

    async def start(self, nodes: int) -> None:
        """Start all processes and wait until each serves each route.

        Args:
            nodes: Number of nodes, in three zones.

        Raises:
            TimeoutError: They did not within ``start_timeout_s``.
        """
        await self.store.start()
        self.change_config()
        for number in range(nodes):
            await self._add_node(number)
        async with asyncio.timeout(self.start_timeout_s):
            for name in self.nodes:
                await self.wait_until_served(name)

    async def close(self) -> None:
        """Kill all daemons; close the targets and the store."""
        for task in self._beats:
            task.cancel()
        for node in self.nodes.values():
            if node.is_running:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
            await node.target.close()
        for proxy in self.proxies.values():
            await proxy.close()
        await self.store.close()

    def change_config(self) -> None:
        """Write the next version of the fleet configuration to the store."""
        self._version += 1
        self.store.put("op/config", self._make_config(self._version))

    def _make_config(self, version: int) -> bytes:
        return make_config(
            SERVICES,
            version,
            timeoutS=ROUTE_TIMEOUT_S,
            targetLatencyS=1.5 + version % 2,
        )

    def _get_place(self, number: int) -> NodePlace:
        return NodePlace(
            f"n{number + 1}", SERVICES[number % 2], f"z{number // 2 % 3 + 1}"
        )

    def start_daemon(self, node: PlatformNode) -> None:
        """Start the daemon of a node; do not wait until it is ready.

        Args:
            node: Node whose daemon is not running.
        """
        node.starts += 1
        node.started_at = read_now()
        node.is_killed = False
        log = self._folder / f"{node.name}-{node.starts}.log"
        with log.open("wb") as output:
            node.process = subprocess.Popen(
                [sys.executable, *self._make_command(node)],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=self._tree or ROOT,
            )

    def _make_command(self, node: PlatformNode) -> list[str]:
        settings = ["--settings", str(node.settings)]
        if not self._has_proxies:
            return [*read_deployed_command(self._tree or ROOT)[1:], *settings]
        listener = str(node.listeners["proxied"])
        module = "kumquatwalk.standin.proxied_daemon"
        return ["-m", module, listener, "daemon", *settings]

    def change_settings(self, node: PlatformNode) -> None:
        """Change a bound in the settings file and send SIGHUP.

        Args:
            node: Node whose settings change.
        """
        node.reloads += 1
        node.write_settings(self.store.address)
        node.signal(signal.SIGHUP)

    async def stop_daemon(self, node: PlatformNode) -> None:
        """Send SIGTERM, and SIGKILL after ``GRACE_S``, as the platform does.

        Args:
            node: Node to stop; returns once its daemon has ended.
        """
        process = node.process
        process.send_signal(signal.SIGTERM)
        deadline = read_now() + GRACE_S
        while process.poll() is None:
            if read_now() > deadline:
                node.signal(signal.SIGKILL)
                process.wait()
            await asyncio.sleep(0.01)

    async def restart_target(self, node: PlatformNode) -> None:
        """Start a crashed target again, under a new identifier.

        Args:
            node: Node beside the target; one that runs is left as it is.
        """
        if node.target.is_running or node.state == "starting":
            return
        node.state = "starting"
        await node.target.restart(f"i-{node.name}-{time.time_ns()}")
        node.target.is_healthy = True
        node.born, node.sequence = time.time_ns() // 1_000_000, 0
        node.state = "ready"

    async def wait_until_served(self, name: str) -> None:
        """Wait until a node serves each route.

        Args:
            name: Name of the node.
        """
        listener = self.nodes[name].listeners["outbound"]
        for path in self.probes:
            status = 0
            while status != 200:
                await asyncio.sleep(0.05)
                attempt = (b"Attempt-Id", os.urandom(8).hex().encode())
                limit = (b"Deadline-Ms", b"2000")
                with contextlib.suppress(Exception):
                    status = (
                        await exchange(
                            listener, b"GET", path, (attempt, limit), b""
                        )
                    ).status

    async def _add_node(self, number: int) -> PlatformNode:
        place = self._get_place(number)
        name = place.name
        host = f"127.{self._subnet}.{number // 250}.{number % 250 + 1}"
        target = ScriptedTarget(f"i-{name}", host=host)
        await target.start()
        node = PlatformNode(
            name,
            place.service,
            place.zone,
            target,
            dict(zip(_LISTENERS, _reserve(host, len(_LISTENERS)))),
            self._folder / f"{name}.toml",
            target.address,
            slots=place.slots,
            memory_mb=self.memory_mb,
            fds_max=self.fds_max,
        )
        target.choose_script = node.choose_script
        node.write_settings(self.store.address)
        self.nodes[name] = node
        if self._has_proxies:
            proxy = LinkProxy(
                node.listeners["inbound"], node.listeners["proxied"]
            )
            await proxy.start()
            self.proxies[name] = proxy
        self.start_daemon(node)
        loop = asyncio.get_running_loop()
        self._beats.append(loop.create_task(self._send_beats(node)))
        return node

    async def _send_beats(self, node: PlatformNode) -> None:
        while True:
            if node.target.is_running and node.state != "gone":
                await self.send_beat(node)
            # Soon again until the daemon has started.
            await asyncio.sleep(_HEARTBEAT_S if node.sequence > 5 else 0.2)

    async def send_beat(self, node: PlatformNode) -> None:
        """Send one heartbeat of a node's target to its daemon.

        Args:
            node: Node beside the target.
        """
        await self.report(node, node.target.target_id, node.make_heartbeat())

    async def report(
        self, node: PlatformNode, target_id: str, document: dict | None
    ) -> int:
        """Send what a target says of itself to the daemon beside it.

        Args:
            node: Node of the daemon.
            target_id: Identifier of the target.
            document: Heartbeat; None to say that the target leaves for good.

        Returns:
            Status of the answer; 0 without an answer in time.
        """
        method = b"DELETE" if document is None else b"PUT"
        body = b"" if document is None else json.dumps(document).encode()
        path = f"/instances/{target_id}".encode()
        try:
            async with asyncio.timeout(_REPORT_TIMEOUT_S):
                answer = await exchange(
                    node.listeners["control"], method, path, (), body
                )
        except (ExchangeError, TimeoutError):
            return 0
        return answer.status


def _reserve(host: str, count: int) -> list[Address]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [Address(host, sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
