"""Admission level: the least important priority that a gate takes."""

import itertools

__all__ = ["AdmissionLevel", "FULL_LEVEL", "NO_LEVEL"]

FULL_LEVEL = 1023
NO_LEVEL = -1

WINDOW_S = 0.1
TARGET_WAIT_S = 0.005
OLD_OFFERS_WEIGHT = 0.5
FIRST_STEP = 8
LARGEST_STEP = 256
ADMITTED_SHARE = 1.0
LEAST_CUT_SHARE = 0.98


class AdmissionLevel:
    """Level that follows the measured capacity, window by window.

    The rule follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat
    Microservices", SoCC 2018). When calls wait longer than the target time, a
    histogram of the priorities offered gives the level at which the volume
    admitted equals the volume that was run. Otherwise the level rises, in
    steps that double while the target has room.

    Args:
        now: Present time.
    """

    def __init__(self, now: float):
        self.value = FULL_LEVEL
        self._offers = [0.0] * (FULL_LEVEL + 1)
        self._window_end = now + WINDOW_S
        self._step = FIRST_STEP
        self._starts = 0
        self._wait_sum_s = 0.0
        self._has_room = False
        self._offer_count = 0
        self._refusals = 0

    def note_offer(self, priority: int) -> None:
        """Record a call offered, admitted or not.

        Args:
            priority: Priority of the call.
        """
        self._offers[priority] += 1.0
        self._offer_count += 1

    def note_start(self, waited_s: float) -> None:
        """Record that a call starts.

        Args:
            waited_s: Time that it waited.
        """
        self._starts += 1
        self._wait_sum_s += waited_s

    def note_room(self) -> None:
        """Record that a call could start and none waited."""
        self._has_room = True

    def note_refusal(self) -> None:
        """Record that a call was refused because too many waited."""
        self._refusals += 1

    def is_due(self, now: float) -> bool:
        """Tell whether the window has ended.

        Args:
            now: Present time.

        Returns:
            Whether ``close_window`` is to be called.
        """
        return now >= self._window_end

    def close_window(self, oldest_wait_s: float, now: float) -> bool:
        """Set the level from the window that has ended and begin a new one.

        Args:
            oldest_wait_s: Longest time that a call now in the queue waits.
            now: Present time.

        Returns:
            Whether the level was lowered.
        """
        before = self.value
        if self._is_overloaded(oldest_wait_s):
            self._lower()
        else:
            windows = 1 + int((now - self._window_end) / WINDOW_S)
            self._raise(windows)
        self._begin_window(now)
        return self.value < before

    def _is_overloaded(self, oldest_wait_s: float) -> bool:
        if oldest_wait_s > TARGET_WAIT_S or self._refusals:
            return True
        mean_s = self._wait_sum_s / self._starts if self._starts else 0.0
        return mean_s > TARGET_WAIT_S

    def _lower(self) -> None:
        self._step = FIRST_STEP
        volumes = list(itertools.accumulate(self._offers))
        admitted = volumes[self.value] if self.value >= 0 else 0.0
        if not admitted:
            return
        share = self._starts / max(1, self._offer_count)
        wanted = volumes[-1] * share * ADMITTED_SHARE
        wanted = min(wanted, admitted * LEAST_CUT_SHARE)
        while self.value > 0 and volumes[self.value] > wanted:
            self.value -= 1

    def _raise(self, windows: int) -> None:
        if self._has_room or windows > 1:
            for _ in range(min(windows, 8)):
                self.value = min(FULL_LEVEL, self.value + self._step)
                self._step = min(LARGEST_STEP, 2 * self._step)
        else:
            self._step = FIRST_STEP
            self.value = min(FULL_LEVEL, self.value + self._step)

    def _begin_window(self, now: float) -> None:
        if self._offer_count or any(self._offers):
            self._offers = [n * OLD_OFFERS_WEIGHT for n in self._offers]
        self._window_end = now + WINDOW_S
        self._starts = 0
        self._wait_sum_s = 0.0
        self._has_room = False
        self._offer_count = 0
        self._refusals = 0
