"""Admission of requests while the process stops."""

import math

from kumquatwalk.admission.recent_times import RecentTimes

__all__ = ["StopAdmission"]

# A request may take longer than those of late: the time that is expected for it
# is theirs, times this factor, plus this time in seconds.
TIME_FACTOR = 1.25
TIME_MARGIN_S = 0.3
# The longest of fewer requests of a route says too little of the next one.
REQUESTS_MIN = 50
# Time from the end of the drain until a restarted process serves, in seconds.
RESTART_S = 1.5
# Maximum retry delay, in seconds: callers are sent to other nodes before the
# process ends.
RETRY_DELAY_MAX_S = 1.0
# Time between the deadline that a target is handed during a stop and the end of
# the drain, in seconds, for the target's own answer that it has stopped work.
DEADLINE_MARGIN_S = 0.1


class StopAdmission:
    """Decides whether a request can still end before the process does.

    It measures how long requests of each route take. Until a stop begins it
    admits everything.

    Args:
        requests_min: Number of requests of a route from which its longest time
            of late is known.

    Attributes:
        ends_at: Time at which requests must have ended, in seconds; infinite
            until a stop begins.
        refused: Number of requests refused because of the stop.
    """

    def __init__(self, requests_min: int = REQUESTS_MIN):
        self._requests_min = requests_min
        self.ends_at = math.inf
        self.refused = 0
        self._typical_until = -math.inf
        self._certain_from = math.inf
        self._recent = RecentTimes()
        self._in_progress: dict[str, dict[int, float]] = {}
        self._last_key = 0

    @property
    def has_begun(self) -> bool:
        """Whether a stop has begun; until then, all is admitted."""
        return self.ends_at < math.inf

    def set_end(
        self,
        ends_at: float,
        typical_until: float = -math.inf,
        certain_from: float = math.inf,
    ) -> None:
        """Set the end of the drain; a later one than set before is ignored.

        Args:
            ends_at: Time at which requests must have ended, in seconds.
            typical_until: Time until which a request is taken to last as long
                as its route does in the mean, in seconds. One long request does
                not turn all others away then.
            certain_from: Time from which a request is admitted only if its
                deadline lies before the end, in seconds: a target may turn slow
                after that.
        """
        self.ends_at = min(self.ends_at, ends_at)
        self._typical_until = typical_until
        self._certain_from = certain_from

    def begin(self, route: str, now: float) -> int:
        """Record the start of a request.

        Args:
            route: Name of its route.
            now: Current time, in seconds; it never decreases.

        Returns:
            Key to pass to ``finish``.
        """
        self._last_key += 1
        self._in_progress.setdefault(route, {})[self._last_key] = now
        return self._last_key

    def finish(self, route: str, key: int, has_run: bool, now: float) -> None:
        """Record the end of a request.

        Args:
            route: Name of its route.
            key: Key that ``begin`` returned.
            has_run: Whether the request has run or may have; the duration of
                others says nothing about runs.
            now: Current time, in seconds.
        """
        started = self._in_progress[route]
        began_at = started.pop(key)
        if not started:
            del self._in_progress[route]
        if has_run:
            self._recent.record(route, now - began_at, now)

    def admits(
        self,
        route: str,
        deadline: float,
        objective_s: float,
        now: float,
        *,
        is_nested: bool = False,
        has_alternative: bool = False,
        taking_s: float = 0.0,
        judged_from: float | None = None,
    ) -> bool:
        """Return whether a request will end before the drain does.

        It will if its deadline lies before the end, or if the longest time that
        a request of its route took of late does; a route with few requests has
        none. The age of requests in progress counts too. Until
        ``typical_until``, and for a nested call, the mean time counts instead;
        from ``certain_from`` on, and not for a nested call, only the deadline.
        With an alternative only the deadline counts throughout. Counts the
        refusals.

        Args:
            route: Name of its route.
            deadline: Time by which it is answered in any case, in seconds.
            objective_s: Mean time assumed where no request of the route is
                known, in seconds.
            now: Current time, in seconds.
            is_nested: Whether it is a call of a run in progress, which a
                refusal would fail as surely as the end of the stop.
            has_alternative: Whether another target accepts it, so that a
                refusal costs it a round trip only.
            taking_s: Time that its client needs to take the answer, in seconds.
            judged_from: Time that is compared with ``typical_until`` and
                ``certain_from``, in seconds; None for ``now``.
        """
        if not self.has_begun:
            return True
        ends_at = self.ends_at - taking_s
        if judged_from is None:
            judged_from = now
        is_typical = is_nested or judged_from < self._typical_until
        is_certain = not is_nested and judged_from >= self._certain_from
        is_admitted = now < ends_at and (
            deadline < ends_at
            or (
                not has_alternative
                and not is_certain
                and now + self._estimate_s(route, objective_s, is_typical, now)
                < ends_at
            )
        )
        self.refused += not is_admitted
        return is_admitted

    def bound_deadline(self, deadline: float, now: float) -> float:
        """Return the deadline to hand to a target for a call passed on now.

        A target that turns slow then stops work before the end of the drain and
        says so itself. A deadline that lies before the end is not changed. The
        margin is at most half of the time left, so that some is handed out.

        Args:
            deadline: Deadline of the call, in seconds.
            now: Current time, in seconds.
        """
        if deadline < self.ends_at:
            return deadline
        left_s = max(0.0, self.ends_at - now)
        return self.ends_at - min(DEADLINE_MARGIN_S, left_s / 2.0)

    def should_hedge(
        self,
        route: str,
        deadline: float,
        began_at: float,
        objective_s: float,
        now: float,
    ) -> bool:
        """Return whether a run in progress should be hedged at another target.

        It should when it may outlast the drain, has lasted longer than its
        route does in the mean, and time for just one such run is left.

        Args:
            route: Name of its route.
            deadline: Time by which it has ended in any case, in seconds.
            began_at: Time at which it began, in seconds.
            objective_s: Mean time assumed where no request of the route is
                known, in seconds.
            now: Current time, in seconds.
        """
        expected_s = self._estimate_mean_s(route, objective_s, now)
        return (
            deadline >= self.ends_at
            and now - began_at > expected_s
            and now + expected_s >= self.ends_at
        )

    def has_ended(self, now: float) -> bool:
        """Return whether the end of the drain has come.

        Args:
            now: Current time, in seconds.
        """
        return now >= self.ends_at

    def estimate_retry_delay(self, now: float) -> float:
        """Return when to send a refused request again, in seconds from now.

        Args:
            now: Current time, in seconds.
        """
        return min(RETRY_DELAY_MAX_S, self.ends_at - now + RESTART_S)

    def _estimate_s(
        self, route: str, objective_s: float, is_typical: bool, now: float
    ) -> float:
        if is_typical:
            return self._estimate_mean_s(route, objective_s, now)
        if self._recent.count(route, now) < self._requests_min:
            return math.inf
        longest_s = self._recent.find_longest(route, now)
        started = self._in_progress.get(route)
        oldest_s = now - next(iter(started.values())) if started else 0.0
        return _stretch(max(longest_s, oldest_s))

    def _estimate_mean_s(
        self, route: str, objective_s: float, now: float
    ) -> float:
        mean_s = self._recent.find_mean(route, now)
        return objective_s if mean_s is None else _stretch(mean_s)


def _stretch(time_s: float) -> float:
    return TIME_FACTOR * time_s + TIME_MARGIN_S
