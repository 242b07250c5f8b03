"""Recorder of a history."""

import functools
import threading

from kumquatwalk.history.events import CallAnswered
from kumquatwalk.history.events import CallSent
from kumquatwalk.history.events import RunRecorded
from kumquatwalk.history.events import TargetLeft

__all__ = ["History"]


class History:
    """Events of one run of a fleet; threads may add to it.

    Attributes:
        sent: Requests sent, by tag.
        answers: Answers received, by tag.
        runs: Runs at targets.
        leavings: Targets that left.
    """

    def __init__(self):
        self.sent: dict[str, CallSent] = {}
        self.answers: dict[str, CallAnswered] = {}
        self.runs: list[RunRecorded] = []
        self.leavings: list[TargetLeft] = []
        self._lock = threading.Lock()

    def add(self, event: object) -> None:
        """Add an event.

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
    def _add_answered(self, event: CallAnswered) -> None:
        self.answers[event.tag] = event

    @_add.register
    def _add_run(self, event: RunRecorded) -> None:
        self.runs.append(event)

    @_add.register
    def _add_leaving(self, event: TargetLeft) -> None:
        self.leavings.append(event)
