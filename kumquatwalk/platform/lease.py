"""A lease of the platform's service."""

import dataclasses

__all__ = ["Lease"]


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease: its keys are deleted when it is not renewed in time.

    Attributes:
        lease_id: Identifier given by the service.
        ttl_s: Seconds from the last renewal until the lease lapses.
    """

    lease_id: str
    ttl_s: float
