"""Daemon settings for tests that bind no fixed port."""

from kumquatwalk.address import Address
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.settings import FleetBounds

__all__ = ["make_settings"]


def make_settings(**changes) -> DaemonSettings:
    """Return settings of the node ``here`` of the service ``web``.

    Args:
        **changes: Values of fields that differ from the defaults.
    """
    any_port = Address("127.0.0.1", 0)
    fields = {
        "node_id": "here",
        "availability_zone": "z1",
        "service": "web",
        "target": any_port,
        "caller_listener": any_port,
        "link_listener": any_port,
        "readiness_listener": any_port,
        "heartbeat_listener": any_port,
        "store": any_port,
        "metrics_listener": None,
        "bounds": FleetBounds(),
    }
    return DaemonSettings(**(fields | changes))
