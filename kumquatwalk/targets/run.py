"""A run in progress at the target: the context of the calls that it makes."""

import bisect
import functools
import secrets

from kumquatwalk.idempotency.request_table import RequestTable
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.retry.tokens import TokenPool

__all__ = ["Run", "RunTable", "measure_reply"]

_RUN_ID_BYTES = 16
# How much earlier and later a call's deadline may seem than that of the run
# that makes it, in seconds, and by how much it mostly does. The time that is
# left is cut to whole milliseconds twice on its way, to the target and back,
# and the way takes a part of one.
DEADLINE_EARLIER_S = 0.0022
DEADLINE_LATER_S = 0.0015
DEADLINE_USUAL_S = 0.0006
# Time that a run takes at least until it makes a call, in seconds.
FIRST_CALL_S = 0.0005


class Run:
    """One run in progress.

    Args:
        call: The call that started it.
        began_at: Time at which it started, in seconds.

    Attributes:
        run_id: Unguessable name that the target passes on with its calls.
        call: The call that started the run.
        began_at: Time at which it started, in seconds.
        tokens: Retry tokens left to the run.
    """

    def __init__(self, call: Call, began_at: float):
        self.run_id = secrets.token_hex(_RUN_ID_BYTES)
        self.call = call
        self.began_at = began_at
        self.tokens = TokenPool(call.tokens)

    @functools.cached_property
    def once(self) -> RequestTable[Reply]:
        """The run's own calls that are not idempotent."""
        return RequestTable(measure_reply)


class RunTable:
    """Runs in progress by their names, and by their deadlines."""

    def __init__(self):
        self._runs: dict[str, Run] = {}
        self._by_deadline: list[tuple[float, str]] = []

    def add(self, run: Run) -> None:
        """Add a run that starts."""
        self._runs[run.run_id] = run
        bisect.insort(self._by_deadline, (run.call.deadline, run.run_id))

    def remove(self, run: Run) -> None:
        """Remove a run that has ended; its name is refused from now on."""
        if self._runs.pop(run.run_id, None) is not None:
            place = (run.call.deadline, run.run_id)
            del self._by_deadline[bisect.bisect_left(self._by_deadline, place)]

    def find(self, run_id: str) -> Run | None:
        """Return the run of that name; None when it is not in progress."""
        return self._runs.get(run_id)

    def find_by_deadline(self, deadline: float, now: float) -> Run | None:
        """Return the run that most likely makes a call with a deadline.

        A hint for order and for counts only: two runs may end within the same
        millisecond, and a call may have a deadline of its own.

        Args:
            deadline: Deadline of the call, in seconds on this node's clock.
            now: Present time, in seconds.

        Returns:
            The run whose deadline fits best; None when none fits.
        """
        first = (deadline - DEADLINE_LATER_S, "")
        places = self._by_deadline
        found = None
        least = DEADLINE_EARLIER_S + DEADLINE_LATER_S
        for index in range(bisect.bisect_left(places, first), len(places)):
            at, run_id = places[index]
            if at > deadline + DEADLINE_EARLIER_S:
                break
            misfit = abs(at - deadline - DEADLINE_USUAL_S)
            run = self._runs[run_id]
            if misfit < least and now - run.began_at >= FIRST_CALL_S:
                found, least = run, misfit
        return found

    def __len__(self) -> int:
        return len(self._runs)


def measure_reply(reply: Reply) -> int:
    """Return about how many bytes a reply takes."""
    return len(reply.body) + sum(len(n) + len(v) for n, v in reply.headers)
