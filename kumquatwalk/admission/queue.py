"""Calls waiting at a gate, in order of importance."""

import bisect
import dataclasses

from kumquatwalk.admission.call import AdmissionCall

__all__ = ["QueuedCall", "WaitingQueue"]


@dataclasses.dataclass(slots=True, order=True)
class QueuedCall:
    """A call that waits.

    Attributes:
        key: Place of the call in the order of importance.
        sequence: Number of arrival, which settles equal keys.
        call: The call.
        queued_at: Time of arrival.
    """

    key: int
    sequence: int
    call: AdmissionCall = dataclasses.field(compare=False)
    queued_at: float = dataclasses.field(compare=False)


class WaitingQueue:
    """Waiting calls, sorted; short, because its bound is a few slots' worth."""

    def __init__(self):
        self._calls: list[QueuedCall] = []

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self):
        return iter(self._calls)

    def add(self, queued: QueuedCall) -> None:
        """Add a call at its place.

        Args:
            queued: The call.
        """
        bisect.insort(self._calls, queued)

    def pop_best(self) -> QueuedCall:
        """Remove the most important call.

        Returns:
            The call.
        """
        return self._calls.pop(0)

    def pop_worst(self) -> QueuedCall:
        """Remove the least important call.

        Returns:
            The call.
        """
        return self._calls.pop()

    def remove_where(self, predicate) -> list[QueuedCall]:
        """Remove all calls for which the predicate holds.

        Args:
            predicate: Function of a queued call.

        Returns:
            The calls removed, most important first.
        """
        removed = [queued for queued in self._calls if predicate(queued)]
        if removed:
            kept = [q for q in self._calls if not predicate(q)]
            self._calls = kept
        return removed

    def cut_from(self, predicate) -> list[QueuedCall]:
        """Remove the first call for which the predicate holds and all after it.

        Args:
            predicate: Function of a queued call.

        Returns:
            The calls removed, most important first.
        """
        for index, queued in enumerate(self._calls):
            if predicate(queued):
                removed = self._calls[index:]
                del self._calls[index:]
                return removed
        return []
