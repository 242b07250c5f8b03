"""Fake of the platform's store with injected faults."""

import dataclasses
import enum

from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform.store_position import ABSENT


class Fault(enum.Enum):
    """Fault injected into one operation."""

    NONE = "none"
    OUTAGE = "outage"
    ANSWER_LOST = "answer_lost"
    WRITE_LOST = "write_lost"
    WRITE_DELAYED = "write_delayed"
    SLOW = "slow"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"


class CrashError(Exception):
    """The process that called the platform has crashed."""


@dataclasses.dataclass
class StoredValue:
    """Value of a key."""

    value: bytes


def run_without_loop(coroutine):
    """Run a coroutine that never suspends, and return its result.

    No event loop is used, so that a fake operation can run a step of another
    node synchronously.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine was suspended")


class FakePlatform:
    """In-memory store whose operations fail as ``draw_fault`` says.

    Args:
        draw_fault: Returns the fault of the next operation.
        interleave: Called between the steps of an operation, to run other
            operations concurrently with it.
    """

    def __init__(self, draw_fault, interleave):
        self.now = 1000.0
        self.keys = {}
        self.delayed = []
        self._draw_fault = draw_fault
        self._interleave = interleave

    async def get(self, key):
        """Return the value of a key; None if it does not exist."""
        fault = self._draw_fault()
        if fault not in (Fault.NONE, Fault.SLOW):
            raise PlatformError("read_failed", "no answer")
        self._interleave()
        return self.keys.get(key)

    async def commit(self, puts, expected):
        """Create a key, subject to the fault drawn."""
        (put,) = puts
        key, value = put.key, put.value
        assert expected == {key: ABSENT}
        fault = self._draw_fault()
        if fault is Fault.OUTAGE:
            raise PlatformUnavailableError("platform_unavailable", "outage")
        if fault is Fault.CRASH_BEFORE:
            raise CrashError()
        if fault is Fault.WRITE_DELAYED:
            self.delayed.append((key, value))
        self._interleave()
        if fault in (Fault.WRITE_LOST, Fault.WRITE_DELAYED):
            raise OutcomeUnknownError("answer_lost", "no answer")
        is_created = self.create(key, value)
        if fault is Fault.SLOW:
            self.now += 30.0
        self._interleave()
        if fault is Fault.CRASH_AFTER:
            raise CrashError()
        if fault is Fault.ANSWER_LOST:
            raise OutcomeUnknownError("answer_lost", "no answer")
        if not is_created:
            raise PlatformError("compare_failed", "the key exists")

    def create(self, key, value):
        """Create a key unless it exists; return whether it was created."""
        if key in self.keys:
            return False
        self.keys[key] = StoredValue(value)
        return True
