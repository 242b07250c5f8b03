"""State machine of a watcher and a store of several eras, in virtual time."""

import asyncio
import random
import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from benchmarks.model.virtual_loop import VirtualLoop
from kumquatwalk.daemon import store_watcher
from kumquatwalk.daemon.store_watcher import StoreWatcher
from kumquatwalk.exception import HistoryLostError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform.store_era import StoreEra
from kumquatwalk.platform.store_items import Snapshot
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store_items import WatchResult
from kumquatwalk.platform.store_position import StorePosition

KEYS = ("a", "b", "c")
CALL_S = 0.01
READ_INTERVAL_S = 2.0
# Time without faults after which a watcher must hold what the store holds, with
# and without the watch, in seconds. A call of the node shows the restore first.
QUIET_WATCHING_S = 2.0
QUIET_READING_S = 5.0


class EraStore:
    """Store whose calls take time, with stale reads, outages and restores.

    Attributes:
        items: Value and revision of each key.
        is_down: Whether each call is refused.
        is_stale: Whether reads that allow it get the state before the last
            change of the same era.
    """

    def __init__(self):
        self.era = StoreEra()
        self.items: dict[str, tuple[bytes, int]] = {}
        self.is_down = False
        self.is_stale = False
        self._number = 1
        self._revision = 1
        self._events: list[tuple[int, str]] = []
        self._previous = (self._number, {}, 1)
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write a key."""
        self._previous = (self._number, dict(self.items), self._revision)
        self._revision += 1
        self.items[key] = (value, self._revision)
        self._events.append((self._revision, key))
        self._notify()

    def take_copy(self):
        """Return a copy of the state."""
        return dict(self.items), self._revision, list(self._events)

    def restore(self, copy) -> None:
        """Return to a copy in a new era; watches that wait go silent."""
        items, self._revision, events = copy
        self.items, self._events = dict(items), list(events)
        self._number += 1
        self._previous = (self._number, dict(items), self._revision)

    def cut_watches(self) -> None:
        """End the watches that wait."""
        self._notify()

    async def list_items(self, _prefix, allow_stale=False) -> Snapshot:
        """Return all items."""
        await self._enter()
        number, items, revision = self._number, self.items, self._revision
        if allow_stale and self.is_stale:
            number, items, revision = self._previous
        rows = tuple(
            StoreItem(key, value, StorePosition(number, at))
            for key, (value, at) in sorted(items.items())
        )
        await self._leave()
        return Snapshot(rows, StorePosition(number, revision))

    async def watch(self, _prefix, after, wait_s) -> WatchResult:
        """Return the changes after a position."""
        await self._enter()
        number, ends_at = self._number, asyncio.get_running_loop().time()
        ends_at += wait_s
        self._check(after)
        if after.revision > self._revision:
            await self._leave()
            raise HistoryLostError("history_lost", "no such revision")
        while True:
            found = [e for e in self._events if e[0] > after.revision]
            left_s = ends_at - asyncio.get_running_loop().time()
            if self._number != number:
                found = []
            if found or left_s <= 0.0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
            if self._number != number:
                raise OutcomeUnknownError("connection_lost", "cut")
        events = tuple(
            StoreItem(k, self.items[k][0], StorePosition(number, r))
            for r, k in found
        )
        revision = self._revision
        await self._leave()
        self._check(after)
        return WatchResult(events, StorePosition(number, revision))

    async def ping(self) -> None:
        """Make any other call, as a renewal."""
        await self._enter()
        await self._leave()

    def _check(self, position: StorePosition) -> None:
        if position.era != self.era.number:
            raise HistoryLostError("store_restored", "another era")

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _enter(self) -> None:
        await asyncio.sleep(CALL_S)
        if self.is_down:
            raise PlatformUnavailableError("platform_unavailable", "down")

    async def _leave(self) -> None:
        number = self._number
        await asyncio.sleep(CALL_S)
        self.era.observe(b"%d" % number)


class WatchMachine(stateful.RuleBasedStateMachine):
    """Changes and restores a store that one or two watchers follow."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.patch = mock.patch.object(
            store_watcher, "read_now", self.loop.time
        )
        self.patch.start()
        random.seed(0)
        self.store = EraStore()
        self.copies = [self.store.take_copy()]
        self.number = 0
        self.held: dict[str, bytes] = {}
        self.watcher: StoreWatcher | None = None
        self.quiet_s = QUIET_READING_S

    @stateful.initialize(is_watching=st.booleans())
    def start_watching(self, is_watching):
        """Start the watcher of a node with or without the duty."""
        if is_watching:
            self.quiet_s = QUIET_WATCHING_S

        async def start():
            self.watcher = StoreWatcher(
                self.store,
                "",
                self.apply_snapshot,
                self.apply_event,
                lambda: is_watching,
                lambda: READ_INTERVAL_S,
            )
            self.store.era.on_restore = self.watcher.handle_restore
            self.watcher.start()

        self.loop.run_until_complete(start())

    def apply_snapshot(self, snapshot):
        """Replace what the watcher reported."""
        self.held = {item.key: item.value for item in snapshot.items}

    def apply_event(self, event):
        """Apply a change that the watcher reported."""
        self.held[event.key] = event.value

    @stateful.rule(key=st.sampled_from(KEYS), count=st.integers(1, 4))
    def put(self, key, count):
        """Write a key some times."""
        for _ in range(count):
            self.number += 1
            self.store.put(key, b"%d" % self.number)

    @stateful.rule(
        lost=st.lists(st.sampled_from(KEYS), max_size=4),
        again=st.lists(st.sampled_from(KEYS), max_size=6),
        is_settled=st.booleans(),
        is_away=st.booleans(),
        are_cut=st.booleans(),
        copies_back=st.integers(0, 2),
    )
    def restore(self, lost, again, is_settled, is_away, are_cut, copies_back):
        """Lose some changes and make others in the next era.

        The store may be away meanwhile; watches are cut or go silent.
        """
        self.copies.append(self.store.take_copy())
        for key in lost:
            self.put(key, 1)
        if is_settled:
            self.wait(3.0)
        self.store.is_down |= is_away
        if is_away:
            self.store.cut_watches()
        self.store.restore(self.copies[-1 - copies_back % len(self.copies)])
        if are_cut:
            self.store.cut_watches()
        for key in again:
            self.put(key, 1)

    @stateful.rule(is_down=st.booleans(), is_stale=st.booleans())
    def set_faults(self, is_down, is_stale):
        """Begin or end an outage and stale reads."""
        self.store.is_down, self.store.is_stale = is_down, is_stale

    @stateful.rule(seconds=st.sampled_from((0.005, 0.05, 0.4, 3.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @stateful.rule()
    def check_after_quiet(self):
        """What the watcher holds is what the store holds, after a quiet."""
        self.store.is_down = self.store.is_stale = False
        # A node that does not reach the store tries again after this time.
        self.wait(store_watcher.RETRY_MAX_READING_S)
        self.loop.run_until_complete(self.store.ping())
        self.wait(self.quiet_s)
        stored = {k: value for k, (value, _) in self.store.items.items()}
        assert self.held == stored, (self.held, stored)

    def teardown(self):
        """Stop the watcher."""
        if self.watcher is not None:
            self.watcher.close()
            self.loop.run_until_complete(asyncio.sleep(0.1))
        self.loop.close()
        self.patch.stop()


class RestoredWatchMachineTest(unittest.TestCase):

    def test_watcher_holds_what_the_store_holds_after_restores(self):
        stateful.run_state_machine_as_test(
            WatchMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=300,
                stateful_step_count=25,
            ),
        )


if __name__ == "__main__":
    unittest.main()
