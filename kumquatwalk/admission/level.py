"""Admission level: the least important priority that a gate has room for."""

import bisect
import itertools

__all__ = ["AdmissionLevel", "FULL_LEVEL", "NO_LEVEL"]

FULL_LEVEL = 1023
NO_LEVEL = -1

WINDOW_S = 0.1
MANY_OFFERS = 100
MANY_OFFERS_WEIGHT = 0.5
FEW_OFFERS_WEIGHT = 0.8
LEAST_OFFERS = 0.001
FIRST_STEP = 8
LARGEST_STEP = 256
TARGET_LOAD = 1.0
LEAST_LOAD = 0.9
DRAIN_SHARE = 0.05
LEAST_UTILIZATION = 0.05


class AdmissionLevel:
    """Level that follows the measured capacity, window by window.

    The rule follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat
    Microservices", SoCC 2018): a histogram of the priorities offered gives the
    level at which the volume admitted equals the capacity less a share of the
    calls that wait, so that a backlog drains. The capacity is the volume
    started over the utilization. Priorities that callers already hold
    back do not show in the histogram; towards these the level rises in steps
    that double, unless calls wait too long. The level tells callers what to
    hold back; the gate itself goes by the order of its queue.

    Args:
        now: Present time.
    """

    def __init__(self, now: float):
        self.value = FULL_LEVEL
        self._offers = [0.0] * (FULL_LEVEL + 1)
        self._offer_count = 0
        self._starts = 0
        self._capacity = 0.0
        self._window_end = now + WINDOW_S
        self._step = FIRST_STEP

    def note_offer(self, priority: int) -> None:
        """Record a call offered, admitted or not.

        Args:
            priority: Priority of the call.
        """
        self._offers[priority] += 1.0
        self._offer_count += 1

    def note_start(self) -> None:
        """Record that a call starts."""
        self._starts += 1

    def is_due(self, now: float) -> bool:
        """Tell whether the window has ended.

        Args:
            now: Present time.

        Returns:
            Whether ``close_window`` is to be called.
        """
        return now >= self._window_end

    def close_window(
        self,
        utilization: float,
        is_overloaded: bool,
        queued: int,
        now: float,
    ) -> None:
        """Set the level from the window that has ended and begin a new one.

        Args:
            utilization: Share of the concurrency limit used in the window.
            is_overloaded: Whether calls waited too long in the window.
            queued: Calls that wait.
            now: Present time.
        """
        windows = 1 + int((now - self._window_end) / WINDOW_S)
        weight = self._get_weight(windows)
        utilization = max(LEAST_UTILIZATION, utilization)
        self._capacity += self._starts / utilization
        backlog = queued * DRAIN_SHARE / (1.0 - weight)
        self._set_level(is_overloaded, backlog, windows)
        self._begin_window(weight, now)

    def _get_weight(self, windows: int) -> float:
        many = self._offer_count >= MANY_OFFERS
        weight = MANY_OFFERS_WEIGHT if many else FEW_OFFERS_WEIGHT
        return weight**windows

    def _set_level(
        self, is_overloaded: bool, backlog: float, windows: int
    ) -> None:
        volumes = list(itertools.accumulate(self._offers))
        least = self._capacity * LEAST_LOAD
        wanted = max(least, self._capacity * TARGET_LOAD - backlog)
        if wanted < volumes[-1]:
            self._step = FIRST_STEP
            self.value = max(0, bisect.bisect_right(volumes, wanted) - 1)
            return
        if is_overloaded:
            return
        for _ in range(min(windows, 8)):
            self.value = min(FULL_LEVEL, self.value + self._step)
            self._step = min(LARGEST_STEP, 2 * self._step)

    def _begin_window(self, weight: float, now: float) -> None:
        if self._offer_count or self._capacity > LEAST_OFFERS:
            self._offers = [count * weight for count in self._offers]
        self._capacity *= weight
        self._window_end = now + WINDOW_S
        self._offer_count = 0
        self._starts = 0
