"""Follows the items under a key prefix of the store."""

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
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.tasks import keep_running

__all__ = ["StoreWatcher"]

# Timeout of one long poll, in seconds. It bounds the time for which a silent
# connection hides changes, if keep-alive probes do not show it before.
WATCH_TIMEOUT_S = 20.0
# Interval at which a node that reads at intervals checks whether it is to watch
# instead, in seconds.
DUTY_CHECK_INTERVAL_S = 1.0
# Initial and maximum delay before a retry after a failure, in seconds. The
# maximum is well under the two seconds within which an operator's change must
# be in force.
RETRY_INITIAL_S = 0.1
RETRY_MAX_S = 0.5
# The same maximum for a node that reads at intervals: refused calls are charged
# like others, and what it reads is not urgent.
RETRY_MAX_READING_S = 4.0


class StoreWatcher:
    """Reads all items once and then follows their changes.

    A node that has the duty watches for changes by long polls, each of which
    costs a call and one more for each change. The others read all items at
    intervals, allowing the store to answer with an old state, which costs a
    tenth; they learn of urgent changes from the nodes that watch.

    Failures of the store are retried with exponential backoff and jitter. When
    the store no longer has the history since the last position read, when a
    watch broke off, or when the store was restored from a copy, all items are
    listed again.

    Args:
        store: Client of the store.
        prefix: Prefix of the keys.
        on_snapshot: Called with all items, first, after lost history or a
            restore, and at intervals without the duty.
        on_event: Called with each change.
        has_duty: Returns whether this node is to watch.
        get_read_interval: Returns the time until the next read without the
            duty, in seconds.
        allow_stale_first: Whether the first read may return an old state too.

    Attributes:
        is_reached: Whether the last request to the store succeeded.
        is_watching: Whether this node watches for changes at present.
        last_success: Time of the last success; -1 before the first.
    """

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        on_snapshot: Callable[[Snapshot], None],
        on_event: Callable[[StoreItem | Deletion], None],
        has_duty: Callable[[], bool],
        get_read_interval: Callable[[], float],
        allow_stale_first: bool = False,
    ):
        self._store = store
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_event = on_event
        self._has_duty = has_duty
        self._get_read_interval = get_read_interval
        self._allow_stale_first = allow_stale_first
        self._position = ABSENT
        self._must_list = True
        self._restores = 0
        self._pending_watch: asyncio.Timeout | None = None
        self._task: asyncio.Task | None = None
        self.is_reached = False
        self.is_watching = False
        self.last_success = -1.0

    def start(self) -> None:
        """Start to watch."""
        self._task = keep_running(self._run, "store_watcher")

    def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    def handle_restore(self) -> None:
        """List all items again, as the store was restored from a copy."""
        self._must_list = True
        self._restores += 1
        if self._pending_watch is not None:
            now = asyncio.get_running_loop().time()
            self._pending_watch.reschedule(now)
            self._pending_watch = None

    async def _run(self) -> None:
        retry_s = RETRY_INITIAL_S
        while True:
            try:
                if self._must_list:
                    await self._list()
                elif self._has_duty():
                    await self._watch()
                else:
                    await self._wait_and_read()
                retry_s = RETRY_INITIAL_S
                self._set_reached(True)
                continue
            except HistoryLostError as error:
                log_event(
                    "store_history_lost", prefix=self._prefix, code=error.code
                )
                self._must_list = True
            except PlatformError as error:
                # The store may have been restored while it was not reached, and
                # a new watch would not show it before the next change.
                self._must_list |= self.is_watching
                self._set_reached(False, error)
            self.is_watching = False
            await asyncio.sleep(retry_s * random.uniform(0.7, 1.0))
            is_urgent = self._must_list or self._has_duty()
            retry_max_s = RETRY_MAX_S if is_urgent else RETRY_MAX_READING_S
            retry_s = min(retry_max_s, 2.0 * retry_s)

    async def _list(self) -> None:
        restores = self._restores
        allow_stale = self._allow_stale_first and self._position == ABSENT
        snapshot = await self._store.list_items(self._prefix, allow_stale)
        self._position = snapshot.position
        self._must_list = restores != self._restores
        self._on_snapshot(snapshot)

    async def _wait_and_read(self) -> None:
        self.is_watching = False
        due_at = read_now() + self._get_read_interval() * random.uniform(0.8, 1)
        while (left_s := due_at - read_now()) > 0.0:
            await asyncio.sleep(min(left_s, DUTY_CHECK_INTERVAL_S))
            if self._has_duty() or self._must_list:
                return
        snapshot = await self._store.list_items(self._prefix, allow_stale=True)
        if snapshot.position >= self._position:
            self._position = snapshot.position
            self._on_snapshot(snapshot)

    async def _watch(self) -> None:
        self.is_watching = True
        try:
            async with asyncio.timeout(None) as self._pending_watch:
                watched = await self._store.watch(
                    self._prefix, self._position, WATCH_TIMEOUT_S
                )
        except TimeoutError:
            return  # another call showed that the store was restored
        finally:
            self._pending_watch = None
        for event in watched.events:
            self._on_event(event)
        self._position = max(self._position, watched.position)

    def _set_reached(
        self, is_reached: bool, error: PlatformError | None = None
    ) -> None:
        before = self.last_success
        if is_reached:
            self.last_success = read_now()
        if is_reached == self.is_reached:
            return
        self.is_reached = is_reached
        if is_reached:
            away_s = self.last_success - before if before >= 0.0 else None
            log_event("store_reached", prefix=self._prefix, away_s=away_s)
        else:
            log_event(
                "store_lost",
                Level.WARNING,
                prefix=self._prefix,
                code=error.code,
                error=error.message,
            )
