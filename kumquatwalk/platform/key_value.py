"""A key of the platform's service with its value."""

import dataclasses

__all__ = ["KeyValue"]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value at one revision.

    Attributes:
        key: Name of the key.
        value: Bytes stored under the key.
        revision: Revision of the service at which the value was written.
        lease_id: Lease that deletes the key when it lapses; None without one.
    """

    key: str
    value: bytes
    revision: int
    lease_id: str | None = None
