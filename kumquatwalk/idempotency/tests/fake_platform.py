"""Fake of the platform's service that fails as it is told."""

import dataclasses
import enum

from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformUnavailableError


class Fault(enum.Enum):
    """What goes wrong in one operation."""

    NONE = "none"
    OUT = "out"
    ANSWER_LOST = "answer_lost"
    WRITE_LOST = "write_lost"
    WRITE_DELAYED = "write_delayed"
    SLOW = "slow"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"


class CrashError(Exception):
    """The process that called the platform has crashed."""


@dataclasses.dataclass(frozen=True)
class Lease:
    """A granted lease."""

    lease_id: str


@dataclasses.dataclass
class Stored:
    """A stored value."""

    value: bytes
    expires_at: float


class FakePlatform:
    """Keys with leases; the next operation's fault comes from a function.

    Args:
        draw_fault: Returns the fault of an operation.
        interleave: Called between the steps of an operation.
    """

    def __init__(self, draw_fault, interleave):
        self.now = 1000.0
        self.keys = {}
        self.delayed = []
        self._draw_fault = draw_fault
        self._interleave = interleave

    def get(self, key):
        """Return a key's value."""
        fault = self._draw_fault()
        if fault not in (Fault.NONE, Fault.SLOW):
            raise PlatformError("read_failed", "no answer")
        self._interleave()
        stored = self.keys.get(key)
        if stored is not None and stored.expires_at <= self.now:
            return None
        return stored

    def put(self, key, value, expected_revision, lease_id=None):
        """Create a key."""
        assert expected_revision == 0
        fault = self._draw_fault()
        if fault is Fault.OUT:
            raise PlatformUnavailableError("platform_unavailable", "out")
        if fault is Fault.CRASH_BEFORE:
            raise CrashError()
        if fault is Fault.WRITE_DELAYED:
            self.delayed.append((key, value, lease_id))
        self._interleave()
        if fault in (Fault.WRITE_LOST, Fault.WRITE_DELAYED):
            raise OutcomeUnknownError("answer_lost", "no answer")
        is_created = self.create(key, value, lease_id)
        if fault is Fault.SLOW:
            self.now += 30.0
        self._interleave()
        if fault is Fault.CRASH_AFTER:
            raise CrashError()
        if fault is Fault.ANSWER_LOST:
            raise OutcomeUnknownError("answer_lost", "no answer")
        if not is_created:
            raise PlatformError("compare_failed", "the key exists")

    def create(self, key, value, lease_id):
        """Create a key if it does not exist; return whether it was created."""
        stored = self.keys.get(key)
        if stored is not None and stored.expires_at > self.now:
            return False
        expires_at = float(lease_id)
        if expires_at <= self.now:
            return False
        self.keys[key] = Stored(value, expires_at)
        return True

    def grant_lease(self, ttl_s):
        """Return a lease whose name is the time at which it lapses."""
        if self._draw_fault() is Fault.OUT:
            raise PlatformUnavailableError("platform_unavailable", "out")
        return Lease(repr(self.now + ttl_s))
