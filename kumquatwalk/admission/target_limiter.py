"""Concurrency limit and priority queue of one target."""

import dataclasses

from kumquatwalk import codes
from kumquatwalk.admission.fair_share import FairQueue
from kumquatwalk.admission.named_rate import NamedRate
from kumquatwalk.admission.run_times import RunTimes

__all__ = ["AdmissionRequest", "Refusal", "TargetLimiter"]

# Fraction of a target's slots that is used at once. Targets slow down when
# nearly all slots are taken, and their health checks need a slot too.
SLOT_FRACTION = 0.94
# Slots assumed until the target has reported their number.
DEFAULT_SLOTS = 16
# Maximum queue length, as a multiple of the concurrency limit.
QUEUE_PER_LIMIT = 4
# Time between the end of a run and its deadline, in seconds, so that the reply
# still reaches the caller: it crosses a link twice.
REPLY_MARGIN_S = 0.01
# Fraction of a route's mean run time that must remain before the deadline. At
# least half of all runs are shorter than the mean, and a mean that was measured
# during a disruption must not exclude the runs that would correct it.
RUN_FRACTION = 0.5
# Additive increase and multiplicative decrease (AIMD) of the concurrency limit:
# it is multiplied by the factor when the target sheds a call. Each run that
# ends adds the increase, divided by the limit.
LIMIT_DECREASE_FACTOR = 0.9
LIMIT_INCREASE = 1.0
# Minimum time between two decreases, in seconds: about one run, after which the
# effect of the first one shows.
DECREASE_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that requests admission.

    Attributes:
        key: Identifier of the call.
        route: Name of the route.
        rank: Priority; 0 is the highest.
        is_preferred: Whether it precedes others of its rank, because it is a
            caller's retry or part of a request already in progress.
        deadline: Time after which its result is useless, in seconds.
        start_by: Time by which it should start, in seconds. The call is refused
            on arrival when its expected wait in the queue is longer, and when
            it is still queued then.
        team: Name of the team of its caller; empty if it has none.
    """

    key: int
    route: str
    rank: int
    is_preferred: bool
    deadline: float
    start_by: float
    team: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call that was refused and will not run.

    Attributes:
        key: Identifier of the call.
        code: Reason, one of ``kumquatwalk.codes``.
        retry_after_s: Estimated time until the target has room, in seconds.
    """

    key: int
    code: str
    retry_after_s: float


class TargetLimiter:
    """Bounds the concurrency of one target and queues the excess calls.

    The queue is ordered by rank, then preferred calls, then arrival; calls of
    teams by rank and the fair shares of teams, see ``FairQueue``. A call that
    could not end before its deadline is refused immediately, so that its caller
    learns early that it has not run.

    A rate that the target names bounds the calls that start, besides.

    Attributes:
        run_times: Run times measured at the target, by route.
        named_rate: Rate limit that the target has named.
    """

    def __init__(self):
        self._slots = DEFAULT_SLOTS
        self._limit = float(DEFAULT_SLOTS)
        self._decreased_at = -1.0
        self._running: dict[int, tuple[str, float]] = {}
        self._running_estimate_s = 0.0
        self._queue = FairQueue()
        self._closed_code = codes.TARGET_ABSENT
        self.run_times = RunTimes()
        self.named_rate = NamedRate()

    @property
    def limit(self) -> int:
        """Concurrency limit, at least 1."""
        return max(1, int(self._limit))

    @property
    def effective_limit(self) -> int:
        """Concurrency limit, or what the named rate allows if that is less.

        Calls that start at a rate r and take a time t run rt at once (Little,
        1961).
        """
        per_s = self.named_rate.per_s
        if per_s is None:
            return self.limit
        return max(1, min(self.limit, int(per_s * self.run_times.mean())))

    @property
    def running(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    @property
    def is_open(self) -> bool:
        """Whether calls are accepted."""
        return not self._closed_code

    def open(self, slots: int) -> None:
        """Accept calls.

        The concurrency limit is reset when calls were not accepted before or
        the number of slots has changed.

        Args:
            slots: Calls that the target runs at once; 0 when unknown.
        """
        slots = slots or DEFAULT_SLOTS
        if self._closed_code or slots != self._slots:
            self._limit = max(1.0, slots * SLOT_FRACTION)
        self._slots = slots
        self._closed_code = ""

    def close(self, code: str) -> list[Refusal]:
        """Stop accepting calls; running calls continue.

        Args:
            code: Reason, with which calls are refused from now on.

        Returns:
            Refusals of the queued calls.
        """
        self._closed_code = code
        queue = self._queue.clear()
        return [Refusal(item.call.key, code, 0.0) for item in queue]

    def submit(
        self, call: AdmissionRequest, now: float
    ) -> tuple[bool, list[Refusal]]:
        """Admit, queue or refuse a call.

        Args:
            call: Call that requests admission.
            now: Current time, in seconds.

        Returns:
            Whether the call is admitted to run now, and refusals: of this call,
            or of the last queued call when the queue is full. A call that is
            neither admitted nor refused is queued.
        """
        if self._closed_code:
            return False, [Refusal(call.key, self._closed_code, 0.0)]
        if not self._queue and self._can_start(now):
            if not self._can_end_in_time(call, 0.0, now):
                return False, [self._refuse(call, codes.DEADLINE_EXCEEDED, now)]
            self._start(call)
            return True, []
        item = self._queue.make_item(call, self.run_times.estimate(call.route))
        index = self._queue.find_index(item)
        wait_s = self._estimate_wait_at(index, now)
        if not self._can_end_in_time(call, wait_s, now):
            return False, [self._refuse(call, codes.OVERLOADED, now)]
        self._queue.insert(index, item)
        if len(self._queue) <= QUEUE_PER_LIMIT * self.limit:
            return False, []
        last = self._queue.remove_last()
        return False, [self._refuse(last.call, codes.QUEUE_FULL, now)]

    def finish(
        self, key: int, run_s: float | None, now: float
    ) -> tuple[list[int], list[Refusal]]:
        """Release the slot of a running call and start queued calls.

        Args:
            key: Identifier of the call.
            run_s: Its run time in seconds; None when it did not run to its
                end, which leaves the run times and the limit unchanged.
            now: Current time, in seconds.

        Returns:
            Keys of the queued calls that start now, and refusals of others.
        """
        entry = self._running.pop(key, None)
        if entry is not None:
            self._running_estimate_s = max(
                0.0, self._running_estimate_s - entry[1]
            )
        if entry is not None and run_s is not None:
            self.run_times.record(entry[0], run_s)
            limit_max = self._slots * SLOT_FRACTION
            if self._limit < limit_max:
                increase = LIMIT_INCREASE / max(1.0, self._limit)
                self._limit = min(limit_max, self._limit + increase)
        return self.dispatch(now)

    def record_shed(self, now: float) -> None:
        """Lower the concurrency limit after the target has shed a call.

        Args:
            now: Current time, in seconds.
        """
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * LIMIT_DECREASE_FACTOR)

    def cancel(self, key: int) -> bool:
        """Remove a call from the queue.

        Args:
            key: Identifier of the call.

        Returns:
            Whether the call was queued.
        """
        items = [item for item in self._queue if item.call.key == key]
        self._queue.remove(items)
        return bool(items)

    def dispatch(self, now: float) -> tuple[list[int], list[Refusal]]:
        """Start queued calls up to the concurrency limit.

        Args:
            now: Current time, in seconds.

        Returns:
            Keys of the queued calls that start now, and refusals of those that
            can no longer start or end in time.
        """
        started: list[int] = []
        refused: list[Refusal] = []
        while self._queue and self._can_start(now):
            call = self._queue.get_first().call
            code = self._find_expiry(call, now)
            if code:
                self._queue.remove_first()
                refused.append(self._refuse(call, code, now))
                continue
            self._queue.start_first()
            self._start(call)
            started.append(call.key)
        return started, refused

    def expire(self, now: float) -> list[Refusal]:
        """Remove queued calls that can no longer start or end in time.

        They are refused with ``DEADLINE_EXCEEDED``, or with ``OVERLOADED`` when
        only their time to start has passed.

        Args:
            now: Current time, in seconds.

        Returns:
            Refusals of the removed calls.
        """
        found = [(i, self._find_expiry(i.call, now)) for i in self._queue]
        expired = [(item, code) for item, code in found if code]
        if expired:
            self._queue.remove([item for item, _ in expired])
        return [self._refuse(item.call, code, now) for item, code in expired]

    def _find_expiry(self, call: AdmissionRequest, now: float) -> str:
        """Return the code with which a queued call expires; empty if not."""
        if not self._can_end_in_time(call, 0.0, now):
            return codes.DEADLINE_EXCEEDED
        return codes.OVERLOADED if now > call.start_by else ""

    def _can_start(self, now: float) -> bool:
        has_slot = len(self._running) < self.limit
        return has_slot and self.named_rate.has_token(now)

    def _start(self, call: AdmissionRequest) -> None:
        run_s = self.run_times.estimate(call.route)
        self._running[call.key] = (call.route, run_s)
        self._running_estimate_s += run_s
        self.named_rate.take()

    def estimate_wait(self, now: float) -> float:
        """Return the expected wait of a call that arrives now, in seconds.

        Args:
            now: Current time, in seconds.
        """
        if not self._queue and self._can_start(now):
            return 0.0
        return self._estimate_wait_at(len(self._queue), now)

    def _estimate_wait_at(self, index: int, now: float) -> float:
        return max(
            self._estimate_slot_wait(index),
            self.named_rate.estimate_wait(index, now),
        )

    def _estimate_slot_wait(self, index: int) -> float:
        ahead_s = self._queue.sum_run_times(index)
        running = len(self._running)
        if running < self.limit:
            return ahead_s / self.limit
        # With n runs in progress, the next one ends on average after 1/n of
        # the mean run time.
        next_end_s = self._running_estimate_s / running
        return (ahead_s + next_end_s) / self.limit

    def _can_end_in_time(
        self, call: AdmissionRequest, wait_s: float, now: float
    ) -> bool:
        if wait_s and now + wait_s > call.start_by:
            return False
        run_s = RUN_FRACTION * self.run_times.estimate(call.route)
        return now + wait_s + run_s + REPLY_MARGIN_S <= call.deadline

    def _refuse(self, call: AdmissionRequest, code: str, now: float) -> Refusal:
        if not call.team:
            return Refusal(call.key, code, self.estimate_wait(now))
        index = self._queue.estimate_index(call)
        if not index and self._can_start(now):
            return Refusal(call.key, code, 0.0)
        return Refusal(call.key, code, self._estimate_wait_at(index, now))
