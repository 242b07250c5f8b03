"""Gauge: a number that can increase and decrease."""

import threading
from collections.abc import Callable

__all__ = ["Gauge"]


class Gauge:
    """Thread-safe gauge with a value that is set or computed on each read.

    Args:
        reader: Function that returns the value on each read; None if the value
            is set by ``set`` and ``add``. If the function raises an exception,
            the gauge reads as NaN.
    """

    __slots__ = ("_lock", "_reader", "_value")

    def __init__(self, reader: Callable[[], float] | None = None):
        self._lock = threading.Lock()
        self._reader = reader
        self._value = 0.0

    def set(self, value: float) -> None:
        """Set the value; without effect on reads if there is a reader.

        Args:
            value: New value.
        """
        with self._lock:
            self._value = value

    def add(self, amount: float) -> None:
        """Add to the value; without effect on reads if there is a reader.

        Args:
            amount: Amount to add; may be negative.
        """
        with self._lock:
            self._value += amount

    def read(self) -> float:
        """Return the current value; NaN if the reader raises an exception."""
        if self._reader is None:
            return self._value
        try:
            return float(self._reader())
        except Exception:  # pylint: disable=broad-exception-caught
            # One failing reader must not make the other metrics unavailable.
            return float("nan")
