"""Work left at the local target, where it reports how slow its machine is."""

import dataclasses

from kumquatwalk.clock import read_now
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing.run_forecast import RunForecast
from kumquatwalk.routing.work_left import WorkLeft
from kumquatwalk.targets.response import ResponseCheck

__all__ = ["TargetWork"]

# Kinds of finer keys, in the order of ``_list_keys``.
_KINDS = ("path", "size", "team")
# Length of a path that tells keys apart, in bytes; it bounds memory.
_PATH_BYTES_MAX = 64
# Interval of the log lines with the estimates, in seconds.
LOG_INTERVAL_S = 10.0


class TargetWork:
    """Tracks the calls at the target and estimates their remaining time.

    Does nothing until the target first reports how slow its machine is.
    """

    def __init__(self):
        self._left = WorkLeft()
        self._forecast = RunForecast(_KINDS)
        self._used_keys: frozenset[tuple[str, str]] = frozenset()
        self._logged_at = 0.0

    @property
    def is_reported(self) -> bool:
        """Whether the target has reported how slow its machine is."""
        return self._left.slowness.is_reported

    def observe_response(self, check: ResponseCheck, now: float) -> None:
        """Take in what a response of the target says of its slowness.

        Args:
            check: Result of checking the response, of a run or a refusal.
            now: Time of the response, in seconds.
        """
        is_own = check.is_complete and not check.is_replaced
        if is_own and check.slowness is not None:
            self.observe_slowness(check.slowness, now)

    def observe_slowness(self, slowness: float, now: float) -> None:
        """Take in the slowness that the target has reported.

        Args:
            slowness: Time that work takes now over the normal time.
            now: Time of the report, in seconds.
        """
        if not self.is_reported:
            log_event("target_slowness_reported", slowness=slowness)
            self._logged_at = now
        self._left.slowness.observe(slowness, now)
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log_estimates(now)

    def enter(self, call: Call) -> None:
        """Add a call that waits for the target."""
        if self.is_reported:
            forecast = self._forecast.estimate(call.route, _list_keys(call))
            self._left.enter(id(call), forecast.mean_s)

    def start(self, call: Call) -> None:
        """Note that the run of a call starts."""
        if self.is_reported:
            self._left.start(id(call), read_now())

    def end(self, call: Call, has_run: bool) -> None:
        """Remove a call whose run has ended.

        Args:
            call: The call.
            has_run: Whether the run came to its end, so that its time counts.
        """
        if not self.is_reported:
            return
        now = read_now()
        run_s = self._left.end(id(call), has_run, now)
        if run_s is not None:
            self._forecast.record(call.route, run_s, now, _list_keys(call))

    def leave(self, call: Call) -> None:
        """Remove a call in whatever state it is."""
        if self.is_reported:
            self._left.leave(id(call))

    def measure(self) -> tuple[float, ...]:
        """Return the work left in seconds and the slowness over the usual one.

        Returns:
            Both; nothing if the target does not report its slowness.
        """
        if not self.is_reported:
            return ()
        now = read_now()
        slowness = self._left.slowness
        return self._left.measure(now), slowness.estimate(now) / slowness.usual

    def add_to_status(
        self, status: TargetStatus, routes_max: int
    ) -> TargetStatus:
        """Return a status with the work left and the slowness.

        The run times are replaced by those at the usual slowness: those that
        were measured follow the slowness with a delay, so that callers, who
        multiply them by it, would count it twice.

        Args:
            status: Status of the target.
            routes_max: Maximum number of routes whose run times are published.
        """
        if not self.is_reported:
            return status
        work_left_s, slowness = self.measure()
        usual = self._left.slowness.usual
        means = self._forecast.list_means(routes_max)
        return dataclasses.replace(
            status,
            route_times=tuple((route, usual * s) for route, s in means)
            or status.route_times,
            work_left_s=work_left_s,
            slowness=slowness,
        )

    def describe(self) -> dict[str, object]:
        """Return the estimates for operators; empty without reports."""
        if not self.is_reported:
            return {}
        now = read_now()
        slowness = self._left.slowness
        return {
            "work_left_s": round(self._left.measure(now), 3),
            "work_calls": self._left.calls,
            "slowness": round(slowness.estimate(now), 3),
            "usual_slowness": round(slowness.usual, 3),
            "forecast_error": round(self._forecast.measure_error(), 3),
            "forecast_keys": sorted(f"{r}:{k}" for r, k in self._used_keys),
        }

    def measure_work_left(self) -> float:
        """Return the work left in seconds; 0 without reports."""
        return self._left.measure(read_now()) if self.is_reported else 0.0

    def measure_slowness(self) -> float:
        """Return the slowness of the machine; 0 without reports."""
        if not self.is_reported:
            return 0.0
        return self._left.slowness.estimate(read_now())

    def measure_forecast_error(self) -> float:
        """Return the mean absolute error of forecasts over the mean."""
        return self._forecast.measure_error()

    def clear(self) -> None:
        """Forget all, as another start of the target takes its place."""
        self._left = WorkLeft()
        self._forecast.clear()
        self._used_keys = frozenset()

    def _log_estimates(self, now: float) -> None:
        log_event(
            "target_work",
            work_left_s=self._left.measure(now),
            calls=self._left.calls,
            slowness=self._left.slowness.estimate(now),
            forecast_error=self._forecast.measure_error(),
        )
        gains = self._forecast.list_gains()
        used = frozenset((g.route, g.kind) for g in gains if g.is_used)
        for gain in gains:
            key = gain.route, gain.kind
            if (key in used) != (key in self._used_keys):
                log_event(
                    "forecast_key_changed",
                    route=gain.route,
                    key=gain.kind,
                    used=gain.is_used,
                    gain=gain.gain,
                )
        self._used_keys = used


def _list_keys(call: Call) -> tuple[str, ...]:
    path = call.url.partition(b"?")[0][:_PATH_BYTES_MAX]
    size = len(call.body).bit_length()
    return path.decode("latin-1"), str(size), call.team
