"""Counter: a number that only increases."""

import threading

__all__ = ["Counter"]


class Counter:
    """Thread-safe counter of events since the start of the process.

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
        """Increase the counter.

        Args:
            amount: Number of events to add; not negative.

        Raises:
            ValueError: The amount is negative.
        """
        if amount < 0:
            raise ValueError("a counter cannot decrease")
        with self._lock:
            self._value += amount

    def read(self) -> int:
        """Return the count."""
        return self._value
