"""Client of the platform's key-value service."""

from kumquatwalk.platform.client import PlatformClient
from kumquatwalk.platform.key_value import KeyValue
from kumquatwalk.platform.lease import Lease

__all__ = ["KeyValue", "Lease", "PlatformClient"]
