"""Catalogue entry: one callable operation of a service."""

import dataclasses

from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits

__all__ = ["Entry"]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One callable operation, its owner and the policy applied to it.

    Attributes:
        name: Unique name; callers use it as the first part of the URL path.
        owner: Name of the team that owns the entry.
        service: Service whose targets run the entry.
        importance: Priority class of requests that enter the mesh at this
            entry.
        idempotent: Whether repeated runs have the same effect as one.
        limits: Limits on concurrency, rate, retries and time.
        calls: Names of the entries that a run of this entry may call.
    """

    name: str
    owner: str
    service: str
    importance: Importance
    idempotent: bool
    limits: Limits
    calls: tuple[str, ...] = ()
