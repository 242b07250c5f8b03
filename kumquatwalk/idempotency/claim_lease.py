"""Lease that a node's claims are tied to."""

import threading
from collections.abc import Callable
from typing import Protocol

from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError

__all__ = ["CLAIM_LEASE_S", "ClaimLease", "LeaseClient"]

CLAIM_LEASE_S = 86_400.0
LEASE_REUSE_S = 3_600.0
LEASE_MIN_LEFT_S = 43_200.0
GRANT_ATTEMPTS = 2
GRANT_RETRY_S = 1.0


class GrantedLease(Protocol):
    """A lease as the platform's client returns it."""

    lease_id: str


class LeaseClient(Protocol):
    """What is needed of the platform's client."""

    def grant_lease(self, ttl_s: float) -> GrantedLease:
        """Return a new lease."""


class ClaimLease:
    """Lease for claims, asked for when used and at most once an hour.

    It is never renewed: a claim lapses a day after the lease was granted. A
    grant whose answer was lost is asked for once more; the lost lease lapses.

    Args:
        client: Client of the platform.
        clock: Returns the present time, in seconds.
    """

    def __init__(self, client: LeaseClient, clock: Callable[[], float]):
        self._client = client
        self._clock = clock
        self._lease_id: str | None = None
        self._granted_at = float("-inf")
        self._tried_at = float("-inf")
        self._lock = threading.Lock()

    def get_id(self) -> str | None:
        """Return a lease to tie a claim to; None when there is none."""
        with self._lock:
            now = self._clock()
            if now - self._granted_at > LEASE_REUSE_S:
                self._grant(now)
            left_s = self._granted_at + CLAIM_LEASE_S - self._clock()
            return self._lease_id if left_s >= LEASE_MIN_LEFT_S else None

    def _grant(self, now: float) -> None:
        if now - self._tried_at < GRANT_RETRY_S:
            return
        for _ in range(GRANT_ATTEMPTS):
            try:
                lease = self._client.grant_lease(CLAIM_LEASE_S)
            except OutcomeUnknownError:
                continue
            except PlatformError:
                break
            self._lease_id = lease.lease_id
            self._granted_at = now
            break
        self._tried_at = self._clock()
