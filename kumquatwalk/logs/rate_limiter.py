"""Rate limiter for log events."""

import dataclasses

__all__ = ["EventRateLimiter", "RateDecision"]

EVENTS_PER_WINDOW = 20
WINDOW_S = 1.0
# Further names share one window, which bounds the memory of the limiter.
EVENT_NAMES_MAX = 256

_OTHER_EVENTS = "other_events"


@dataclasses.dataclass(frozen=True, slots=True)
class RateDecision:
    """Decision of the rate limiter on one event.

    Attributes:
        admitted: Whether to write the event.
        suppressed: Number of events of that name that were suppressed since
            the last report.
    """

    admitted: bool
    suppressed: int = 0


@dataclasses.dataclass(slots=True)
class _Window:
    started_at: float
    count: int = 0
    suppressed: int = 0


class EventRateLimiter:
    """Fixed-window rate limiter with a separate limit for each event name.

    Not thread-safe: the owner serialises the calls.

    Args:
        events_per_window: Number of events of one name that are admitted
            within ``WINDOW_S``.
    """

    def __init__(self, events_per_window: int = EVENTS_PER_WINDOW):
        self._events_per_window = events_per_window
        self._windows: dict[str, _Window] = {}

    def check(self, event: str, now: float) -> RateDecision:
        """Count one event and decide whether to write it.

        Args:
            event: Name of the event.
            now: Current monotonic time, in seconds.

        Returns:
            The decision. For the first event in a new window it carries the
            number of events suppressed in the previous window.
        """
        window = self._get_window(event, now)
        suppressed = 0
        if now - window.started_at >= WINDOW_S:
            suppressed = window.suppressed
            window.started_at = now
            window.count = 0
            window.suppressed = 0
        if window.count >= self._events_per_window:
            window.suppressed += 1
            return RateDecision(admitted=False)
        window.count += 1
        return RateDecision(admitted=True, suppressed=suppressed)

    def take_suppressed(self) -> dict[str, int]:
        """Return unreported suppressed counts by event name, and reset all."""
        counts = {
            event: window.suppressed
            for event, window in self._windows.items()
            if window.suppressed
        }
        self._windows.clear()
        return counts

    def _get_window(self, event: str, now: float) -> _Window:
        window = self._windows.get(event)
        if window is not None:
            return window
        if len(self._windows) >= EVENT_NAMES_MAX:
            event = _OTHER_EVENTS
        return self._windows.setdefault(event, _Window(started_at=now))
