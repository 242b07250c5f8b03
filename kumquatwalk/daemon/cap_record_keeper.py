"""Keeps the record in the store by which a node lends the caps of a zone."""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Mapping

from kumquatwalk.caps.record import CapRecord
from kumquatwalk.caps.record import decode_record
from kumquatwalk.caps.record import encode_record
from kumquatwalk.caps.right import RENEWAL_INTERVAL_S
from kumquatwalk.caps.right import LendingRight
from kumquatwalk.caps.succession import RecordObserver
from kumquatwalk.clock import read_now
from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import PlatformError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_items import Snapshot
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.tasks import keep_running

__all__ = ["CapRecordKeeper", "RECORD_PREFIX"]

RECORD_PREFIX = "kumquatwalk/caps/"
# Interval at which a node that may take the record reads it, in seconds. A read
# that allows an old state costs a tenth.
CANDIDATE_READ_INTERVAL_S = 10.0
# Bounds of the interval while an allocator is unknown, in seconds.
SEARCH_INTERVAL_MIN_S = 0.4
SEARCH_INTERVAL_MAX_S = 8.0
# Interval of reads by other nodes, in seconds; ``wake`` makes an earlier one.
IDLE_READ_INTERVAL_S = 60.0
# Minimum time from one read to the next that ``wake`` asks for, in seconds.
WAKE_INTERVAL_S = 2.0
# Bounds of the delay before a retry after a failure, in seconds.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0


class CapRecordKeeper:
    """Reads the records of all zones, and takes or renews that of its own.

    Args:
        store: Client of the store.
        node_id: Identifier of this node.
        incarnation: Incarnation of this process.
        zone: Zone whose record it may take.
        zones: All zones with records.
        is_candidate: Returns whether this node may take the record.
        on_holders: Called with the holder of each zone that has one.
        on_right: Called when this process has begun to lend.

    Attributes:
        right: Right of this process to lend.
    """

    def __init__(
        self,
        store: StoreClient,
        node_id: str,
        incarnation: int,
        zone: str,
        zones: tuple[str, ...],
        is_candidate: Callable[[], bool],
        on_holders: Callable[[Mapping[str, str]], None],
        on_right: Callable[[], None],
    ):
        self._store = store
        self._incarnation = incarnation
        self._zone = zone
        self._zones = zones
        self._is_candidate = is_candidate
        self._on_holders = on_holders
        self._on_right = on_right
        self._observer = RecordObserver(node_id, incarnation)
        self._holders: dict[str, str] = {}
        self._must_be_fresh = False
        self._search_s = SEARCH_INTERVAL_MIN_S
        self._retry_s = RETRY_MIN_S
        self._read_at = 0.0
        self._is_failing = False
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self.right = LendingRight()

    @property
    def is_running(self) -> bool:
        """Whether it reads and renews."""
        return self._task is not None

    @property
    def holder(self) -> str:
        """Node that holds the record of this zone; empty if not known."""
        record = self._observer.record
        return "" if record is None else record.holder

    def start(self) -> None:
        """Start to read and renew."""
        if self._task is None:
            self._task = keep_running(self._run, "cap_record")

    def close(self) -> None:
        """Stop; the record stays, and this process lends no more."""
        self.right.lose()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def wake(self) -> None:
        """Read soon, as what is known seems outdated."""
        self._wake.set()

    def handle_restore(self) -> None:
        """Read and write again, as the store was restored from a copy."""
        self._observer.handle_restore(read_now())
        self._must_be_fresh = True
        self._wake.set()

    def stop_lending(self) -> CapRecord | None:
        """Stop, and return the record to hand over; None if there is none."""
        record = self._observer.record
        holds_record = self.right.fraction and self._observer.holds_record
        self.close()
        if not holds_record:
            return None
        return CapRecord("", self._incarnation, record.fraction)

    async def hand_over(self, released: CapRecord) -> None:
        """Write the record that ``stop_lending`` has returned.

        Args:
            released: The record, which names no holder.
        """
        try:
            try:
                await self._commit(released)
            except CompareFailedError:
                # A renewal that was cut off may have taken effect.
                self._must_be_fresh = True
                await self._read()
                if self.is_running or not self._observer.holds_record:
                    return
                await self._commit(released)
        except PlatformError as error:
            # Another node takes the record after its lifetime.
            self._log_failure(error)
        else:
            log_event("cap_record_released", zone=self._zone)

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
                self._is_failing = False
                self._retry_s = RETRY_MIN_S
                pause_s = self._choose_pause()
            except CompareFailedError:
                self._must_be_fresh = True
                pause_s = RETRY_MIN_S
            except PlatformError as error:
                # A write may have taken effect.
                self._must_be_fresh = (
                    self._must_be_fresh or self.right.fraction > 0
                )
                if not self._is_failing:
                    self._log_failure(error)
                self._is_failing = True
                pause_s = self._retry_s
                self._retry_s = min(RETRY_MAX_S, 2.0 * self._retry_s)
            await self._pause(pause_s * random.uniform(0.8, 1.0))

    async def _step(self) -> None:
        if self._must_be_fresh or not self._observer.holds_record:
            await self._read()
        now = read_now()
        record = self._observer.plan(self.right, self._is_candidate(), now)
        if record is not None:
            await self._write(record)

    async def _read(self) -> None:
        must_be_fresh, self._must_be_fresh = self._must_be_fresh, False
        try:
            snapshot = await self._store.list_items(
                RECORD_PREFIX, allow_stale=not must_be_fresh
            )
        except PlatformError:
            self._must_be_fresh |= must_be_fresh
            raise
        self._read_at = now = read_now()
        self._observe(snapshot, must_be_fresh, now)

    def _observe(self, snapshot: Snapshot, is_fresh: bool, now: float) -> None:
        observer = self._observer
        own_key = RECORD_PREFIX + self._zone
        own = None
        for item in snapshot.items:
            try:
                record = decode_record(item.value)
            except PlatformError as error:
                log_event(
                    "cap_record_rejected",
                    Level.WARNING,
                    key=item.key,
                    error=error.message,
                )
                continue
            self._holders[item.key.removeprefix(RECORD_PREFIX)] = record.holder
            if item.key == own_key:
                own = record, item.position
        if own is not None and own[1] >= observer.position:
            observer.observe(*own, now)
        elif own is None and (is_fresh or observer.position == ABSENT):
            observer.observe(None, ABSENT, now)
        self._lose_if_replaced(now)
        self._on_holders(self._holders)

    def _lose_if_replaced(self, now: float) -> None:
        if not self.right.fraction or self._observer.holds_record:
            return
        if self._observer.plan(self.right, False, now) is None:
            self.right.lose()
            log_event("cap_lending_ended", zone=self._zone, holder=self.holder)

    async def _write(self, record: CapRecord) -> None:
        had_right = self.right.measure_share(read_now()) > 0.0
        fraction = self.right.fraction
        sent_at = read_now()
        await self._commit(record)
        self.right.confirm(record.fraction, sent_at, read_now())
        self._holders[self._zone] = record.holder
        if not had_right:
            self._on_right()
            self._on_holders(self._holders)
        if not had_right or fraction != record.fraction:
            log_event("cap_lending", zone=self._zone, fraction=record.fraction)

    async def _commit(self, record: CapRecord) -> None:
        key = RECORD_PREFIX + self._zone
        position = await self._store.commit(
            [Put(key, encode_record(record))],
            expected={key: self._observer.position},
        )
        self._observer.observe(record, position, read_now())

    def _choose_pause(self) -> float:
        if self._observer.holds_record:
            return RENEWAL_INTERVAL_S
        if not all(self._holders.get(zone) for zone in self._zones):
            pause_s = self._search_s
            self._search_s = min(SEARCH_INTERVAL_MAX_S, 1.6 * pause_s)
            return pause_s
        self._search_s = SEARCH_INTERVAL_MIN_S
        if self._is_candidate():
            return CANDIDATE_READ_INTERVAL_S
        return IDLE_READ_INTERVAL_S

    async def _pause(self, pause_s: float) -> None:
        """Wait for a time, or until ``wake`` and the least interval."""
        self._wake.clear()
        due_at = read_now() + pause_s
        try:
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        except TimeoutError:
            return
        wake_s = self._read_at + WAKE_INTERVAL_S - read_now()
        await asyncio.sleep(max(0.0, min(wake_s, due_at - read_now())))

    def _log_failure(self, error: PlatformError) -> None:
        log_event(
            "cap_record_failed",
            Level.WARNING,
            zone=self._zone,
            code=error.code,
            error=error.message,
        )
