"""Keys, revisions and leases of the stand-in platform."""

import dataclasses
import secrets

from kumquatwalk.platform.key_value import KeyValue
from kumquatwalk.platform.lease import Lease
from kumquatwalk.standin.platform_error import RefusalError

__all__ = ["PlatformState"]

LEASE_ID_BYTES = 8


@dataclasses.dataclass(slots=True)
class _HeldLease:
    lease: Lease
    expires_at: float
    keys: set[str]


class PlatformState:
    """Keys in memory, with one revision counter for all of them.

    Not safe for several threads; the owner serialises the calls. Leases lapse
    by the time that is passed in.
    """

    def __init__(self):
        self.revision = 0
        self._keys: dict[str, KeyValue] = {}
        self._earlier: dict[str, KeyValue] = {}
        self._leases: dict[str, _HeldLease] = {}

    def get(self, key: str, now: float) -> KeyValue | None:
        """Return the key with its value; None when it does not exist."""
        self._expire(now)
        return self._keys.get(key)

    def get_earlier(self, key: str) -> KeyValue | None:
        """Return the value that the key had before its last write, if any."""
        return self._earlier.get(key)

    def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None,
        now: float,
    ) -> KeyValue:
        """Write the value if the key is at the expected revision.

        Args:
            key: Name of the key.
            value: Bytes to store.
            expected_revision: Revision the key must have; 0 for no such key.
            lease_id: Lease that the key is tied to, if any.
            now: Present time in seconds.

        Returns:
            The key with its new revision.

        Raises:
            RefusalError: If the revision differs or the lease is unknown.
        """
        self._expire(now)
        self._compare(key, expected_revision)
        if lease_id is not None:
            self._find_lease(lease_id).keys.add(key)
        self._release(key, lease_id)
        self.revision += 1
        if key in self._keys:
            self._earlier[key] = self._keys[key]
        self._keys[key] = KeyValue(key, value, self.revision, lease_id)
        return self._keys[key]

    def delete(self, key: str, expected_revision: int, now: float) -> None:
        """Delete the key if it is at the expected revision.

        Args:
            key: Name of the key.
            expected_revision: Revision the key must have.
            now: Present time in seconds.

        Raises:
            RefusalError: If the revision differs or there is no such key.
        """
        self._expire(now)
        if key not in self._keys:
            raise RefusalError(409, "compare_failed", f"{key} does not exist")
        self._compare(key, expected_revision)
        self._release(key, None)
        self._remove(key)

    def grant_lease(self, ttl_s: float, now: float) -> Lease:
        """Return a new lease that lapses after the given seconds."""
        self._expire(now)
        lease = Lease(secrets.token_hex(LEASE_ID_BYTES), ttl_s)
        held = _HeldLease(lease, now + ttl_s, set())
        self._leases[lease.lease_id] = held
        return lease

    def renew_lease(self, lease_id: str, now: float) -> None:
        """Restart the time of the lease.

        Args:
            lease_id: Identifier of the lease.
            now: Present time in seconds.

        Raises:
            RefusalError: If there is no such lease or it has lapsed.
        """
        self._expire(now)
        held = self._find_lease(lease_id)
        held.expires_at = now + held.lease.ttl_s

    def _compare(self, key: str, expected_revision: int) -> None:
        present = self._keys.get(key)
        revision = present.revision if present else 0
        if revision != expected_revision:
            raise RefusalError(
                409,
                "compare_failed",
                f"{key} is at revision {revision}, not {expected_revision}",
            )

    def _find_lease(self, lease_id: str) -> _HeldLease:
        if lease_id not in self._leases:
            raise RefusalError(404, "lease_unknown", "the lease has lapsed")
        return self._leases[lease_id]

    def _release(self, key: str, next_lease_id: str | None) -> None:
        present = self._keys.get(key)
        if present is None or present.lease_id in (None, next_lease_id):
            return
        if present.lease_id in self._leases:
            self._leases[present.lease_id].keys.discard(key)

    def _remove(self, key: str) -> None:
        self.revision += 1
        del self._keys[key]
        self._earlier.pop(key, None)

    def _expire(self, now: float) -> None:
        lapsed = [h for h in self._leases.values() if h.expires_at <= now]
        for held in lapsed:
            del self._leases[held.lease.lease_id]
            for key in sorted(held.keys):
                self._remove(key)
