"""Health check of the target beside the node."""

import functools

from kumquatwalk.address import Address
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.http1.encoder import encode_request

__all__ = ["make_health_check"]


def make_health_check(
    config: FleetConfig | None, service: str, target: Address
) -> bytes:
    """Return the encoded health check of a target.

    Args:
        config: Fleet configuration in force, which has the path.
        service: Service of the target.
        target: Address of the target.

    Returns:
        The request; empty when the path is not known.
    """
    service_config = config and config.services.get(service)
    if not service_config:
        return b""
    return _encode_health_check(service_config.health_path, target)


@functools.lru_cache(maxsize=8)
def _encode_health_check(path: str, target: Address) -> bytes:
    host = (b"Host", str(target).encode())
    return encode_request(b"GET", path.encode(), (host,), b"")
