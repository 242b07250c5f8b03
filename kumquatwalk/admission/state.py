"""Admission of calls at one target: a pure state machine."""

from kumquatwalk import codes
from kumquatwalk.admission.call import AdmissionCall
from kumquatwalk.admission.call import order_key
from kumquatwalk.admission.level import NO_LEVEL
from kumquatwalk.admission.level import AdmissionLevel
from kumquatwalk.admission.limit import ConcurrencyLimit
from kumquatwalk.admission.notice import Admitted
from kumquatwalk.admission.notice import Notice
from kumquatwalk.admission.notice import Refused
from kumquatwalk.admission.queue import QueuedCall
from kumquatwalk.admission.queue import WaitingQueue
from kumquatwalk.admission.running import RunningCall
from kumquatwalk.admission.sample import RunSample
from kumquatwalk.admission.usage import EntryUsage
from kumquatwalk.admission.renewal import is_new_target
from kumquatwalk.admission.utilization import Utilization
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.outcome import Outcome

__all__ = ["AdmissionState"]

TARGET_WAIT_S = 0.005
TARGET_WAIT_SHARE = 0.25
STALE_WAIT_FACTOR = 3.0
DEEP_WAIT_FACTOR = 1.0
STANDING_INTERVAL_S = 0.1
TRIM_INTERVAL_S = 0.002
RUN_TIME_WEIGHT = 0.05
QUEUE_PER_SLOT = 1
SHORTEST_QUEUE = 8


class AdmissionState:
    """Decides which calls run at the target, and which are refused.

    The queue is controlled as by CoDel (Nichols and Jacobson, "Controlling
    Queue Delay", ACM Queue 2012): it may absorb a burst, but once it has not
    been empty for an interval, no call may wait longer than a bound. A call
    that waits longer is refused together with all that come after it.

    Order: at any moment, no call is refused for load (codes ``overloaded``
    and ``queue_full``) while a call that comes after it in the order of
    ``order_key`` waits in the queue and may later be admitted. Refusals for
    other reasons (a deadline, an entry's limit, a suspect) do not depend on
    other calls' importance.

    Args:
        now: Present time.
    """

    def __init__(self, now: float):
        self._limit = ConcurrencyLimit()
        self._level = AdmissionLevel(now)
        self._queue = WaitingQueue()
        self._running: dict[int | str, RunningCall] = {}
        self._usages: dict[str, EntryUsage] = {}
        self._targets = 1
        self._target = TargetInfo()
        self._closed_code = codes.TARGET_ABSENT
        self._shutdown_code = ""
        self._suspects = 0
        self._sequence = 0
        self._standing_since = float("inf")
        self._trim_at = now
        self._use = Utilization(now)
        self._run_time_s = 0.0
        self._is_overloaded = False

    @property
    def in_flight(self) -> int:
        """Calls that run."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._limit.value

    def get_level(self) -> int:
        """Return the admission level.

        Returns:
            Lowest importance taken, 0 to 1023; -1 when nothing is taken.
        """
        return NO_LEVEL if self._refusal_to_all() else self._level.value

    def set_target(self, info: TargetInfo, now: float) -> list[Notice]:
        """Take what the target announces of itself.

        Args:
            info: The announcement.
            now: Present time.

        Returns:
            Verdicts on calls that waited.
        """
        before = self._target
        self._target = info
        if info.state is TargetState.ABSENT:
            self._closed_code = codes.TARGET_ABSENT
            return self._refuse_all(codes.TARGET_ABSENT)
        if info.state is TargetState.DRAINING:
            self._closed_code = codes.TARGET_LEAVING
            return self._refuse_all(codes.TARGET_LEAVING)
        if is_new_target(before.state, info.state):
            is_cold = info.state is TargetState.WARMING
            self._limit.restart(info.slots, info.connections, is_cold)
        self._closed_code = ""
        return self.advance(now)

    def set_targets(self, targets: int) -> None:
        """Take the number of targets that share the entries' limits.

        Args:
            targets: Targets of the service now known.
        """
        self._targets = max(1, targets)

    def close_to_new(self, code: str) -> list[Notice]:
        """Refuse all calls that wait and all to come; running ones go on.

        Args:
            code: Why.

        Returns:
            Verdicts on calls that waited.
        """
        self._shutdown_code = code
        return self._refuse_all(code)

    def offer(self, call: AdmissionCall, now: float) -> list[Notice]:
        """Take a call that asks to run.

        Args:
            call: The call.
            now: Present time.

        Returns:
            Verdicts. When none is on this call, the call waits.
        """
        code = self._refusal_to_all() or self._find_refusal(call, now)
        if code:
            return [Refused(call.call_id, code)]
        self._level.note_offer(call.priority)
        if not self._queue and len(self._running) < self._limit.value:
            notices = [self._start(call, 0.0, now)]
        else:
            notices = self._enqueue(call, now)
        if self._level.is_due(now):
            notices += self.advance(now)
        return notices

    def finish(
        self, call_id: int | str, sample: RunSample, now: float
    ) -> list[Notice]:
        """Record that a call no longer runs.

        Args:
            call_id: A call that was admitted.
            sample: What its run showed.
            now: Present time.

        Returns:
            Verdicts on calls that waited.
        """
        self._use.note(len(self._running), self._limit.value, now)
        running = self._running.pop(call_id, None)
        if running is None:
            return []
        call = running.call
        self._suspects -= call.is_suspect
        was_run = sample.outcome is not Outcome.NOT_RUN
        run_time_s = now - running.started_at if was_run else None
        self._usages[call.entry.name].finish(run_time_s)
        if was_run:
            change_s = run_time_s - self._run_time_s
            self._run_time_s += RUN_TIME_WEIGHT * change_s
        if sample.shed_by_target:
            self._limit.note_shed(len(self._running), now)
        elif sample.outcome is Outcome.DONE:
            self._limit.note_run(call.entry.name, sample.own_time_s, now)
        return self.advance(now)

    def advance(self, now: float) -> list[Notice]:
        """Let time pass: start what may start, refuse what waits too long.

        Args:
            now: Present time.

        Returns:
            Verdicts on calls that waited.
        """
        notices: list[Notice] = []
        self._dispatch(notices, now)
        self._trim(notices, now)
        if self._level.is_due(now):
            self._close_window(now)
        return notices

    def _close_window(self, now: float) -> None:
        self._use.note(len(self._running), self._limit.value, now)
        self._level.close_window(
            self._use.take(), self._is_overloaded, len(self._queue), now
        )
        self._is_overloaded = False

    def _get_target_wait(self) -> float:
        return max(TARGET_WAIT_S, TARGET_WAIT_SHARE * self._run_time_s)

    def _refusal_to_all(self) -> str:
        return self._shutdown_code or self._closed_code

    def _find_refusal(self, call: AdmissionCall, now: float) -> str:
        usage = self._get_usage(call.entry, now)
        code = usage.find_refusal(call.deadline - now, now)
        if not code and call.is_suspect and self._suspects:
            return codes.QUARANTINED
        return code

    def _get_usage(self, entry: Entry, now: float) -> EntryUsage:
        usage = self._usages.get(entry.name)
        if usage is None:
            usage = EntryUsage(entry, self._targets, now)
            self._usages[entry.name] = usage
        usage.set_limits(entry.limits, self._targets, now)
        return usage

    def _start(
        self, call: AdmissionCall, waited_s: float, now: float
    ) -> Admitted:
        self._use.note(len(self._running), self._limit.value, now)
        self._running[call.call_id] = RunningCall(call, now)
        self._usages[call.entry.name].start()
        self._suspects += call.is_suspect
        self._limit.note_start(len(self._running))
        self._level.note_start()
        if waited_s > self._get_target_wait():
            self._is_overloaded = True
        return Admitted(call.call_id, waited_s)

    def _enqueue(self, call: AdmissionCall, now: float) -> list[Notice]:
        if not self._queue:
            self._standing_since = now
        self._sequence += 1
        queued = QueuedCall(order_key(call), self._sequence, call, now)
        self._queue.add(queued)
        bound = max(SHORTEST_QUEUE, QUEUE_PER_SLOT * self._limit.value)
        if len(self._queue) <= bound:
            return []
        self._is_overloaded = True
        worst = self._queue.pop_worst()
        return [Refused(worst.call.call_id, codes.QUEUE_FULL)]

    def _dispatch(self, notices: list[Notice], now: float) -> None:
        while self._queue and len(self._running) < self._limit.value:
            queued = self._queue.pop_best()
            call = queued.call
            code = self._find_refusal(call, now)
            if code:
                notices.append(Refused(call.call_id, code))
                continue
            waited_s = now - queued.queued_at
            notices.append(self._start(call, waited_s, now))
        if not self._queue:
            self._standing_since = float("inf")

    def _trim(self, notices: list[Notice], now: float) -> None:
        if not self._queue or now < self._trim_at:
            return
        self._trim_at = now + TRIM_INTERVAL_S
        late = self._queue.remove_where(lambda q: q.call.deadline <= now)
        notices += _refuse(late, codes.DEADLINE_EXCEEDED)
        if now - self._standing_since < STANDING_INTERVAL_S:
            return
        stale = self._queue.cut_from(lambda q: self._is_stale(q, now))
        notices += _refuse(stale, codes.OVERLOADED)
        self._is_overloaded = self._is_overloaded or bool(stale)

    def _is_stale(self, queued: QueuedCall, now: float) -> bool:
        bound_s = STALE_WAIT_FACTOR * self._get_target_wait()
        if queued.call.depth > 0:
            bound_s *= DEEP_WAIT_FACTOR
        return now - queued.queued_at > bound_s

    def _refuse_all(self, code: str) -> list[Notice]:
        return _refuse(self._queue.remove_where(lambda _: True), code)


def _refuse(queued: list[QueuedCall], code: str) -> list[Notice]:
    return [Refused(q.call.call_id, code) for q in queued]
