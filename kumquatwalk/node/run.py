"""A run in progress at the target on this VM."""

import functools
import secrets
import threading

from kumquatwalk.idempotency.request_table import RequestTable
from kumquatwalk.link.call import Call
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.reply import measure_reply
from kumquatwalk.retry.tokens import TokenPool

__all__ = ["Run"]

_RUN_ID_BYTES = 16


class Run:
    """One run in progress, the context of the calls that it makes.

    Attributes:
        run_id: Unguessable name that the target passes on with its calls.
        call: The call that started the run.
        deadline: Monotonic time by which the run must have ended.
        tokens: Retry tokens left to the run.
    """

    def __init__(self, call: Call, deadline: float):
        self.run_id = secrets.token_hex(_RUN_ID_BYTES)
        self.call = call
        self.deadline = deadline
        self.tokens = TokenPool(call.tokens)
        self._lock = threading.Lock()
        self._children = 0
        self._children_since = 0.0
        self._children_s = 0.0

    @functools.cached_property
    def once(self) -> RequestTable[Reply]:
        """The run's own calls that are not idempotent."""
        return RequestTable(measure_reply)

    def begin_child(self, now: float) -> None:
        """Record that the run waits for a call of its own."""
        with self._lock:
            if not self._children:
                self._children_since = now
            self._children += 1

    def end_child(self, now: float) -> None:
        """Record that a call of the run ended."""
        with self._lock:
            self._children -= 1
            if not self._children:
                self._children_s += now - self._children_since

    def measure_children(self, now: float) -> float:
        """Return how long the run has waited for calls of its own, seconds.

        Parallel calls count once.
        """
        with self._lock:
            waiting_s = now - self._children_since if self._children else 0.0
            return self._children_s + waiting_s
