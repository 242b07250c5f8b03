"""Task that keeps this node registered in the store."""

import asyncio
import random
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.exception import LeaseLostError
from kumquatwalk.exception import PlatformError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_lease import StoreLease
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.roster.entry import encode_entry
from kumquatwalk.tasks import keep_running

__all__ = ["Registration"]

# Long enough to survive an outage of the store of several seconds. An entry
# that outlives its node does little harm: links to it are seen to fail.
LEASE_TTL_S = 20.0
# Three renewals fit into a lease.
RENEWAL_INTERVAL_S = 6.0
# Delay before the first retry after an error of the store, and its maximum, in
# seconds. Entries must be restored within two seconds after the store is
# available again.
RETRY_INITIAL_S = 0.5
RETRY_MAX_S = 1.5


class Registration:
    """Writes this node's entry under a lease and renews the lease.

    Args:
        store: Client of the store.
        key: Key of the entry in the store.
        make_entry: Returns the current entry.

    Attributes:
        position: Position at which the entry was last written; ``ABSENT``
            before.
        last_success: Time of the last successful write or renewal, in seconds;
            -1 before the first.
    """

    def __init__(
        self,
        store: StoreClient,
        key: str,
        make_entry: Callable[[], RosterEntry],
    ):
        self._store = store
        self._key = key
        self._make_entry = make_entry
        self._lease: StoreLease | None = None
        self._is_written = False
        self._changes = 0
        self._write_requested = asyncio.Event()
        self._task: asyncio.Task | None = None
        self.position = ABSENT
        self.last_success = -1.0

    def start(self) -> None:
        """Start the registration task."""
        self._task = keep_running(self._run, "roster_registration")

    def mark_missing(self) -> None:
        """Write the entry again after it was deleted from the store."""
        if not self._is_written:
            return  # a write is already in progress
        self._is_written = False
        self._lease = None
        self._write_requested.set()

    def mark_outdated(self) -> None:
        """Write the entry again under the same lease, as it has changed."""
        self._changes += 1
        self._is_written = False
        self._write_requested.set()

    def handle_restore(self) -> None:
        """Write the entry again under a new lease, as the store lost some.

        The store was restored from a copy, which may be older than the entry,
        and its lease numbers are given out again.
        """
        self._lease = None
        self.mark_outdated()

    def close(self) -> None:
        """Stop the renewals; the entry expires with its lease."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        retry_s = RETRY_INITIAL_S
        while True:
            delay_s = RENEWAL_INTERVAL_S
            self._write_requested.clear()
            try:
                await self._renew_or_write()
                retry_s = RETRY_INITIAL_S
            except PlatformError as error:
                log_event(
                    "roster_registration_failed",
                    Level.WARNING,
                    code=error.code,
                    error=error.message,
                )
                # All nodes see an outage together; jitter spreads their return.
                delay_s = retry_s * random.uniform(0.7, 1.0)
                retry_s = min(RETRY_MAX_S, 1.5 * retry_s)
            try:
                async with asyncio.timeout(delay_s):
                    await self._write_requested.wait()
            except TimeoutError:
                pass  # the next renewal or retry is due

    async def _renew_or_write(self) -> None:
        if self._lease and self._is_written:
            try:
                await self._store.renew_lease(self._lease)
            except LeaseLostError:
                self._lease = None
                self._is_written = False
        if not self._is_written:
            await self._write()
        self.last_success = read_now()

    async def _write(self) -> None:
        if not self._lease:
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
        lease, changes = self._lease, self._changes
        value = encode_entry(self._make_entry())
        try:
            self.position = await self._store.commit(
                [Put(self._key, value, lease)]
            )
        except LeaseLostError:
            self._lease = None
            raise
        # The entry may have changed while it was being written.
        self._is_written = changes == self._changes
        log_event("roster_registered", lease=lease.number)
