"""The stand-in platform's operations, with faults, counters and watches."""

import dataclasses
import threading
import time

from kumquatwalk.platform.key_value import KeyValue
from kumquatwalk.platform.lease import Lease
from kumquatwalk.standin.platform_faults import Faults
from kumquatwalk.standin.platform_state import PlatformState

__all__ = ["PlatformService"]

COUNTED = (
    "get",
    "put",
    "delete",
    "watch",
    "lease_grant",
    "lease_renew",
    "dropped",
    "lost",
)


class PlatformService:
    """State shared by the threads of the stand-in platform."""

    def __init__(self):
        self._state = PlatformState()
        self._changed = threading.Condition()
        self._faults = Faults()
        self._counts = dict.fromkeys(COUNTED, 0)
        self._stopped = False

    @property
    def faults(self) -> Faults:
        """Faults in force."""
        return self._faults

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force and wake the waiting watches."""
        with self._changed:
            self._faults = faults
            self._changed.notify_all()

    def stop(self) -> None:
        """Wake all waiting watches, and let later ones not wait."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def count(self, kind: str) -> None:
        """Count one call of that kind."""
        with self._changed:
            self._counts[kind] += 1

    def get_counts(self) -> dict[str, int]:
        """Return the calls so far by kind."""
        with self._changed:
            return dict(self._counts)

    def is_dropped(self, host: str) -> bool:
        """Return whether connections of that client are dropped."""
        faults = self._faults
        return faults.outage or host.startswith(faults.cut_hosts)

    def delay(self) -> None:
        """Hold the calling thread for the delay in force."""
        deadline = time.monotonic() + self._faults.delay_ms / 1000
        with self._changed:
            while not self._stopped:
                left = deadline - time.monotonic()
                if left <= 0:
                    return
                self._changed.wait(left)

    def take_lost_answer(self) -> bool:
        """Return whether the answer of a write just done is to be lost."""
        with self._changed:
            left = self._faults.lose_answers
            if left == 0:
                return False
            self._faults = dataclasses.replace(
                self._faults, lose_answers=left - 1
            )
            self._counts["lost"] += 1
            return True

    def get(self, key: str) -> KeyValue | None:
        """Return the key, or an earlier value of it where reads are stale."""
        with self._changed:
            return self._read(key)

    def watch(
        self, key: str, after_revision: int, wait_s: float, host: str
    ) -> KeyValue | None:
        """Wait until the key has a higher revision, and return it.

        Args:
            key: Name of the key.
            after_revision: Revision that the client has.
            wait_s: Longest wait.
            host: Client's IP number; the wait ends when it is cut off.

        Returns:
            The key, or None when the wait ended without a change.
        """
        deadline = time.monotonic() + wait_s
        with self._changed:
            while not self._stopped and not self.is_dropped(host):
                present = self._state.get(key, time.monotonic())
                if present is not None and present.revision > after_revision:
                    return self._read(key)
                left = deadline - time.monotonic()
                if left <= 0:
                    return None
                self._changed.wait(left)
            return None

    def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None,
    ) -> KeyValue:
        """Write the value if the key is at the expected revision."""
        with self._changed:
            written = self._state.put(
                key, value, expected_revision, lease_id, time.monotonic()
            )
            self._changed.notify_all()
            return written

    def delete(self, key: str, expected_revision: int) -> None:
        """Delete the key if it is at the expected revision."""
        with self._changed:
            self._state.delete(key, expected_revision, time.monotonic())

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""
        with self._changed:
            return self._state.grant_lease(ttl_s, time.monotonic())

    def renew_lease(self, lease_id: str) -> None:
        """Restart the time of the lease."""
        with self._changed:
            self._state.renew_lease(lease_id, time.monotonic())

    def _read(self, key: str) -> KeyValue | None:
        present = self._state.get(key, time.monotonic())
        if present is not None and self._faults.stale_reads:
            return self._state.get_earlier(key) or present
        return present
