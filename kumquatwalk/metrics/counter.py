"""Counter: a number that only grows."""

import threading

__all__ = ["Counter"]


class Counter:
    """Thread-safe count of events since the start of the process.

    Example:
        >>> counter = Counter()
        >>> counter.increment()
        >>> counter.read()
        1
    """

    __slots__ = ("_lock", "_value")

    def __init__(self):
        self._lock = threading.Lock()
        self._value = 0

    def increment(self, amount: int = 1) -> None:
        """Add a number of events.

        Args:
            amount: Events to add; not negative.

        Raises:
            ValueError: The amount is negative.
        """
        if amount < 0:
            raise ValueError("a counter does not go down")
        with self._lock:
            self._value += amount

    def read(self) -> int:
        """Return the count."""
        return self._value
