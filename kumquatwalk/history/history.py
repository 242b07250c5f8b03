"""Thread-safe recorder of events."""

import functools
import threading

from kumquatwalk.history.events import CallCompleted
from kumquatwalk.history.events import CallSent
from kumquatwalk.history.events import RunRecorded
from kumquatwalk.history.events import TargetShutdown

__all__ = ["History"]


class History:
    """Events of one run of a fleet; safe for use by several threads.

    Attributes:
        sent: Requests sent, by tag.
        responses: Responses received, by tag.
        runs: Runs at targets, in the order added.
        shutdowns: Shutdown notices of targets.
    """

    def __init__(self):
        self.sent: dict[str, CallSent] = {}
        self.responses: dict[str, CallCompleted] = {}
        self.runs: list[RunRecorded] = []
        self.shutdowns: list[TargetShutdown] = []
        self._lock = threading.Lock()

    def add(self, event: object) -> None:
        """Add an event to the collection for its type.

        Args:
            event: One of the types in ``kumquatwalk.history.events``.
        """
        with self._lock:
            self._add(event)

    @functools.singledispatchmethod
    def _add(self, event: object) -> None:
        raise TypeError(f"not an event: {type(event).__name__}")

    @_add.register
    def _add_sent(self, event: CallSent) -> None:
        self.sent[event.tag] = event

    @_add.register
    def _add_answered(self, event: CallCompleted) -> None:
        self.responses[event.tag] = event

    @_add.register
    def _add_run(self, event: RunRecorded) -> None:
        self.runs.append(event)

    @_add.register
    def _add_shutdown(self, event: TargetShutdown) -> None:
        self.shutdowns.append(event)
