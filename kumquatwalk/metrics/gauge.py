"""Gauge: a number that goes up and down."""

import threading
from collections.abc import Callable

__all__ = ["Gauge"]


class Gauge:
    """Thread-safe present value, set by its owner or read from a function.

    Args:
        reader: Function that returns the value when the gauge is read; None
            when the owner sets it. A reader that fails reads as not a number.
    """

    __slots__ = ("_lock", "_reader", "_value")

    def __init__(self, reader: Callable[[], float] | None = None):
        self._lock = threading.Lock()
        self._reader = reader
        self._value = 0.0

    def set(self, value: float) -> None:
        """Replace the value.

        Args:
            value: The present value.
        """
        with self._lock:
            self._value = value

    def add(self, amount: float) -> None:
        """Change the value by an amount.

        Args:
            amount: What to add; negative to subtract.
        """
        with self._lock:
            self._value += amount

    def read(self) -> float:
        """Return the present value."""
        if self._reader is None:
            return self._value
        try:
            return float(self._reader())
        except Exception:  # pylint: disable=broad-exception-caught
            # One broken reader must not hide all other metrics.
            return float("nan")
