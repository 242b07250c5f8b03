"""Admission of calls from many threads."""

import threading
import time
from collections.abc import Callable

from kumquatwalk.admission.call import AdmissionCall
from kumquatwalk.admission.notice import Admitted
from kumquatwalk.admission.notice import Notice
from kumquatwalk.admission.sample import RunSample
from kumquatwalk.admission.state import AdmissionState
from kumquatwalk.admission.verdict import AdmissionVerdict
from kumquatwalk.membership.member import TargetInfo

__all__ = ["AdmissionGate"]

ADMITTED = AdmissionVerdict(True)
LONGEST_SLEEP_S = 1.0
SHORTEST_SLEEP_S = 0.001


class Waiter:
    """A thread that waits for the verdict on its call."""

    __slots__ = ("lock", "verdict")

    def __init__(self):
        self.lock = threading.Lock()
        self.lock.acquire()
        self.verdict: AdmissionVerdict | None = None


class AdmissionGate:
    """Thread-safe shell of ``AdmissionState``.

    A thread that has to wait sleeps on a lock of its own until its verdict.

    Args:
        now: Present time.
        clock: Source of the time after a wait.
    """

    def __init__(self, now: float, clock: Callable[[], float] = time.monotonic):
        self._state = AdmissionState(now)
        self._clock = clock
        self._lock = threading.Lock()
        self._waiters: dict[int | str, Waiter] = {}
        self._latest = now

    @property
    def in_flight(self) -> int:
        """Calls that run."""
        return self._state.in_flight

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return self._state.queued

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._state.limit

    def acquire(self, call: AdmissionCall, now: float) -> AdmissionVerdict:
        """Wait until a call may run or is refused.

        Args:
            call: The call.
            now: Present time.

        Returns:
            The verdict. An admitted call must be released.
        """
        with self._lock:
            now = self._order_time(now)
            notices = self._state.offer(call, now)
            if len(notices) == 1 and notices[0].call_id == call.call_id:
                return _to_verdict(notices[0])
            waiter = Waiter()
            self._waiters[call.call_id] = waiter
            self._deliver(notices)
        return self._wait(waiter, call, now)

    def release(
        self, call_id: int | str, sample: RunSample, now: float
    ) -> None:
        """Record that an admitted call no longer runs.

        Args:
            call_id: The call.
            sample: What its run showed.
            now: Present time.
        """
        with self._lock:
            now = self._order_time(now)
            self._deliver(self._state.finish(call_id, sample, now))

    def set_target(self, info: TargetInfo, now: float) -> None:
        """Take what the target announces of itself.

        Args:
            info: The announcement.
            now: Present time.
        """
        with self._lock:
            now = self._order_time(now)
            self._deliver(self._state.set_target(info, now))

    def set_shares(self, targets: int) -> None:
        """Take the number of targets that share the entries' limits.

        Args:
            targets: Targets of the service now known.
        """
        with self._lock:
            self._state.set_targets(targets)

    def close_to_new(self, code: str) -> None:
        """Refuse all calls that wait and all to come; running ones go on.

        Args:
            code: Why.
        """
        with self._lock:
            self._deliver(self._state.close_to_new(code))

    def level(self, now: float) -> int:
        """Return the admission level to put on replies.

        Args:
            now: Present time.

        Returns:
            Lowest importance taken, 0 to 1023; -1 when nothing is taken.
        """
        with self._lock:
            now = self._order_time(now)
            self._deliver(self._state.advance(now))
            return self._state.get_level()

    def _order_time(self, now: float) -> float:
        # A thread may get the lock long after it has read the clock.
        self._latest = max(self._latest, now)
        return self._latest

    def _deliver(self, notices: list[Notice]) -> None:
        for notice in notices:
            waiter = self._waiters.pop(notice.call_id)
            waiter.verdict = _to_verdict(notice)
            waiter.lock.release()

    def _wait(
        self, waiter: Waiter, call: AdmissionCall, now: float
    ) -> AdmissionVerdict:
        while True:
            sleep_s = min(LONGEST_SLEEP_S, call.deadline - now)
            waiter.lock.acquire(timeout=max(SHORTEST_SLEEP_S, sleep_s))
            if waiter.verdict is not None:
                return waiter.verdict
            with self._lock:
                now = self._order_time(self._clock())
                self._deliver(self._state.advance(now))


def _to_verdict(notice: Notice) -> AdmissionVerdict:
    if not isinstance(notice, Admitted):
        return AdmissionVerdict(False, notice.code)
    if not notice.waited_s:
        return ADMITTED
    return AdmissionVerdict(True, waited_s=notice.waited_s)
