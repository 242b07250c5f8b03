"""Limit on repeated log events."""

import dataclasses

__all__ = ["EventRateLimiter", "RateVerdict"]

EVENTS_PER_WINDOW = 20
WINDOW_S = 1.0
EVENT_NAMES_MAX = 256

_OTHER_EVENTS = "other_events"


@dataclasses.dataclass(frozen=True, slots=True)
class RateVerdict:
    """Whether an event may be written.

    Attributes:
        admitted: Whether to write the event.
        suppressed: Events of that name left out since the last one written.
    """

    admitted: bool
    suppressed: int = 0


@dataclasses.dataclass(slots=True)
class _Window:
    started_at: float
    count: int = 0
    suppressed: int = 0


class EventRateLimiter:
    """Fixed window limit for each event name.

    Not thread-safe; the owner serialises the calls.

    Args:
        events_per_window: Events of one name written within ``WINDOW_S``.
    """

    def __init__(self, events_per_window: int = EVENTS_PER_WINDOW):
        self._events_per_window = events_per_window
        self._windows: dict[str, _Window] = {}

    def judge(self, event: str, now: float) -> RateVerdict:
        """Decide on one event and count it.

        Args:
            event: Name of the event.
            now: Present monotonic time, in seconds.

        Returns:
            The verdict. The first event admitted in a new window carries the
            number left out in the windows before.
        """
        window = self._find_window(event, now)
        suppressed = 0
        if now - window.started_at >= WINDOW_S:
            suppressed = window.suppressed
            window.started_at = now
            window.count = 0
            window.suppressed = 0
        if window.count >= self._events_per_window:
            window.suppressed += 1
            return RateVerdict(admitted=False)
        window.count += 1
        return RateVerdict(admitted=True, suppressed=suppressed)

    def take_suppressed(self) -> dict[str, int]:
        """Return the counts not yet reported, by event name, and clear them."""
        counts = {
            event: window.suppressed
            for event, window in self._windows.items()
            if window.suppressed
        }
        self._windows.clear()
        return counts

    def _find_window(self, event: str, now: float) -> _Window:
        window = self._windows.get(event)
        if window is not None:
            return window
        if len(self._windows) >= EVENT_NAMES_MAX:
            event = _OTHER_EVENTS
        return self._windows.setdefault(event, _Window(started_at=now))
