"""What rendezvous needs of the platform's key-value service."""

from typing import Protocol

__all__ = ["Store", "StoredLease", "StoredValue"]


class StoredValue(Protocol):
    """A value with the revision at which it was written."""

    value: bytes
    revision: int


class StoredLease(Protocol):
    """A lease; its keys go when it is not renewed in time."""

    lease_id: str
    ttl_s: float


class Store(Protocol):
    """What rendezvous needs of the platform's key-value service.

    All methods raise ``PlatformError`` or a subclass on failure.
    """

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key; None when it does not exist."""

    def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> StoredValue:
        """Write a value if the key is at the expected revision."""

    def grant_lease(self, ttl_s: float) -> StoredLease:
        """Return a new lease."""

    def renew_lease(self, lease_id: str) -> None:
        """Renew a lease."""
