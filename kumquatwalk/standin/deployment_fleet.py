"""Daemon processes of a deployment with calls between its services."""

import json
import pathlib
import random
from collections.abc import Mapping

from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.calling_target import CallingTarget
from kumquatwalk.standin.daemon_fleet import HOST
from kumquatwalk.standin.link_faults import LinkFaults
from kumquatwalk.standin.node_place import NodePlace
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.request_class import CLASSES
from kumquatwalk.standin.target_client import TargetClient

__all__ = ["PLACES", "ZONES", "DeploymentFleet"]

# Zones and their shares of the callers' requests.
ZONES = {"z1": 0.385, "z2": 0.317, "z3": 0.298}
# Slots of each service's targets, and their speeds in the zones.
_SERVICES = {
    "portal": (139, (0.7, 0.7, 1.6)),
    "payments": (139, (0.5, 1.0, 1.5)),
    "registry": (139, (0.6, 1.0, 1.4)),
    "desk": (28, (0.5, 1.0, 1.5)),
}
PLACES = tuple(
    NodePlace(f"{service}-{zone}", service, zone, slots, speed)
    for service, (slots, speeds) in _SERVICES.items()
    for zone, speed in zip(ZONES, speeds)
)


class DeploymentFleet(PlatformFleet):
    """Twelve nodes in three zones, whose targets call each other.

    Args:
        folder: Folder of settings files and logs, one log for each process.
        seed: Seed of the work that calls ask for.
        attempts: Gets each call of a target when it is sent.
        tree: Checkout of which the daemons run; None for the present one.
        zone_delay_s: One-way delay of links between zones, in seconds.
        splits: Weights of services by the name of a route that they share.
    """

    start_timeout_s = 90.0
    probes = tuple(b"/%b/0/1" % name.encode() for name in CLASSES)

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        attempts: list[Attempt],
        tree: str | None = None,
        zone_delay_s: float = 0.0,
        splits: Mapping[str, Mapping[str, int]] | None = None,
    ):
        super().__init__(folder, tree, has_proxies=bool(zone_delay_s))
        self._zone_delay_s = zone_delay_s
        self._splits = splits or {}
        self._seed = seed
        self._attempts = attempts
        self._clients: list[TargetClient] = []

    async def close(self) -> None:
        """Kill all daemons; close the targets, their clients and the store."""
        await super().close()
        for client in self._clients:
            client.close()

    def _make_config(self, version: int) -> bytes:
        paths = [
            {
                "name": entry.name,
                "pathPrefix": f"/{entry.name}/",
                "routeKind": "safe" if entry.is_safe else "unsafe",
                "timeoutS": entry.timeout_s,
                "targetLatencyS": entry.aim_s + 0.1 * (version % 2),
                "maxAttempts": 2,
                "priority": entry.priority,
                "service": entry.service,
            }
            for entry in CLASSES.values()
        ]
        for path in paths:
            if path["name"] in self._splits:
                weights = self._splits[path["name"]]
                path["trafficSplit"] = [
                    {"service": service, "weight": weight}
                    for service, weight in weights.items()
                ]
        document = {
            "version": f"r{version}",
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 934}
                for name in _SERVICES
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1 << 26,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
            "virtualHosts": [{"host": HOST, "paths": paths}],
        }
        return json.dumps(document).encode()

    def _get_place(self, number: int) -> NodePlace:
        return PLACES[number]

    async def _add_node(self, number: int) -> PlatformNode:
        node = await super()._add_node(number)
        if self._zone_delay_s:
            faults = LinkFaults(self._zone_delay_s)
            for place in PLACES:
                if place.zone != node.zone:
                    self.proxies[node.name].set_faults(place.name, faults)
        rng = random.Random(f"{self._seed}-{node.name}-calls")
        client = TargetClient(node, rng, self._attempts)
        target = CallingTarget(node, client, PLACES[number].speed)
        node.target.choose_script = target.choose_script
        self._clients.append(client)
        return node
