"""Fake client of the platform's key-value store with scripted faults."""

import enum

from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.platform.store_position import StorePosition

__all__ = ["FakeClient", "Fault", "StoreState"]


class StoreState:
    """In-memory items, with the previous value of each."""

    def __init__(self):
        self.revision = 0
        self._items = {}
        self._earlier = {}

    def get(self, key):
        """Return an item; None when the key does not exist."""
        return self._items.get(key)

    def get_earlier(self, key):
        """Return the item before its last write, or None."""
        return self._earlier.get(key)

    def put(self, key, value, expected):
        """Write a value if the key is at the expected position."""
        present = self._items.get(key)
        if (present.position if present else ABSENT) != expected:
            raise CompareFailedError("compare_failed", key)
        if present is not None:
            self._earlier[key] = present
        self.revision += 1
        position = StorePosition(1, self.revision)
        self._items[key] = StoreItem(key, value, position)
        return position

    def delete(self, key):
        """Remove a key."""
        del self._items[key]


class Fault(enum.Enum):
    """Fault injected into one call of the client."""

    NONE = 0
    UNREACHABLE = 1
    REQUEST_LOST = 2
    RESPONSE_LOST = 3
    DELAYED = 4
    STALE = 5
    EDIT_OF_OTHER_ENTRY = 6
    EDIT_OF_SAME_ENTRY = 7


class FakeClient:
    """Client of an in-memory store that injects one scripted fault per call.

    Args:
        state: State shared with other fake clients.
        faults: Faults of the next calls, in order; later calls succeed.
        concurrent_edit: Called with the fault to edit as another operator.
    """

    def __init__(self, state: StoreState, faults=(), concurrent_edit=None):
        self.delayed = []
        self._state = state
        self._faults = list(faults)
        self._concurrent_edit = concurrent_edit

    def get(self, key):
        """Read a key, subject to the next fault."""
        fault = self._take_fault()
        if fault is Fault.UNREACHABLE:
            raise PlatformUnavailableError("unreachable", key)
        if fault in (Fault.REQUEST_LOST, Fault.RESPONSE_LOST):
            raise PlatformReadError("answer_lost", key)
        if fault is Fault.STALE:
            earlier = self._state.get_earlier(key)
            return earlier or self._state.get(key)
        return self._state.get(key)

    def put(self, key, value, expected):
        """Write a key, subject to the next fault."""
        fault = self._take_fault()
        if fault is Fault.UNREACHABLE:
            raise PlatformUnavailableError("unreachable", key)
        if fault is Fault.REQUEST_LOST:
            raise OutcomeUnknownError("answer_lost", key)
        if fault is Fault.DELAYED:
            self.delayed.append((key, value, expected))
            raise OutcomeUnknownError("answer_lost", key)
        written = self._state.put(key, value, expected)
        if fault is Fault.RESPONSE_LOST:
            raise OutcomeUnknownError("answer_lost", key)
        return written

    def deliver_delayed(self):
        """Apply the delayed writes whose expected revision still holds."""
        waiting, self.delayed = self.delayed, []
        for write in waiting:
            try:
                self._state.put(*write)
            except CompareFailedError:
                pass

    def _take_fault(self):
        fault = self._faults.pop(0) if self._faults else Fault.NONE
        if fault in (Fault.EDIT_OF_OTHER_ENTRY, Fault.EDIT_OF_SAME_ENTRY):
            self._concurrent_edit(fault)
        if fault is Fault.STALE:
            self.deliver_delayed()
        return fault
