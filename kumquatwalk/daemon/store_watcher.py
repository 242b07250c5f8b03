"""Watches the items under a key prefix of the store."""

import asyncio
import random
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.exception import HistoryLostError
from kumquatwalk.exception import PlatformError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.store_items import Deletion
from kumquatwalk.platform.store_items import Snapshot
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.tasks import start_task

__all__ = ["StoreWatcher"]

# Timeout of one long poll, in seconds. It bounds the time for which a silent
# connection hides changes.
WATCH_TIMEOUT_S = 10.0
# Initial and maximum delay before a retry after a failure, in seconds. The
# maximum is well under the two seconds within which an operator's change must
# be in force.
RETRY_INITIAL_S = 0.1
RETRY_MAX_S = 0.5


class StoreWatcher:
    """Reads all items once and then watches for changes.

    Failures of the store are retried with exponential backoff and jitter. When
    the store no longer has the history since the last revision read, all items
    are read again.

    Args:
        store: Client of the store.
        prefix: Prefix of the keys.
        on_snapshot: Called with all items, first and after lost history.
        on_event: Called with each change.
        batch_delay_s: Delay between an answer with changes and the next watch,
            in seconds, so that the store returns further changes together.

    Attributes:
        is_reached: Whether the last request to the store succeeded.
        last_success: Time of the last success; -1 before the first.
    """

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        on_snapshot: Callable[[Snapshot], None],
        on_event: Callable[[StoreItem | Deletion], None],
        batch_delay_s: float = 0.0,
    ):
        self._store = store
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_event = on_event
        self._batch_delay_s = batch_delay_s
        self._task: asyncio.Task | None = None
        self.is_reached = False
        self.last_success = -1.0

    def start(self) -> None:
        """Start to watch."""
        self._task = start_task(self._run(), "store_watcher")

    def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        revision: int | None = None
        retry_s = RETRY_INITIAL_S
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._watch(revision)
                retry_s = RETRY_INITIAL_S
                self._set_reached(True)
                continue
            except HistoryLostError:
                log_event("store_history_lost", prefix=self._prefix)
                revision = None
            except PlatformError as error:
                self._set_reached(False, error)
            await asyncio.sleep(retry_s * random.uniform(0.7, 1.0))
            retry_s = min(RETRY_MAX_S, 2.0 * retry_s)

    async def _read_all(self) -> int:
        snapshot = await self._store.list_items(self._prefix)
        self._on_snapshot(snapshot)
        return snapshot.revision

    async def _watch(self, revision: int) -> int:
        watched = await self._store.watch(
            self._prefix, revision, WATCH_TIMEOUT_S
        )
        for event in watched.events:
            self._on_event(event)
        if watched.events and self._batch_delay_s:
            await asyncio.sleep(self._batch_delay_s)
        return max(revision, watched.revision)

    def _set_reached(
        self, is_reached: bool, error: PlatformError | None = None
    ) -> None:
        if is_reached:
            self.last_success = read_now()
        if is_reached == self.is_reached:
            return
        self.is_reached = is_reached
        if is_reached:
            log_event("store_reached", prefix=self._prefix)
        else:
            log_event(
                "store_lost",
                Level.WARNING,
                prefix=self._prefix,
                code=error.code,
                error=error.message,
            )
