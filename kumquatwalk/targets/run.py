"""Runs in progress at the target, the context of the calls they make."""

import functools
from typing import TYPE_CHECKING

from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.random_source import RandomSource
from kumquatwalk.retry.tokens import TokenPool

if TYPE_CHECKING:
    from kumquatwalk.idempotency.request_table import RequestTable

__all__ = ["Run", "RunTable", "measure_reply"]

_RUN_ID_BYTES = 16
_random = RandomSource()


class Run:
    """Run in progress at the target.

    Args:
        call: Call that started the run.

    Attributes:
        run_id: Unguessable identifier that the target sends with its calls.
        call: Call that started the run.
        tokens: Retry tokens that the run has left.
    """

    def __init__(self, call: Call):
        self.run_id = _random.take_hex(_RUN_ID_BYTES)
        self.call = call
        self.tokens = TokenPool(call.tokens)

    @functools.cached_property
    def non_idempotent_calls(self) -> "RequestTable[Reply]":
        """Calls of this run that are not idempotent, to deduplicate repeats."""
        # Only the project's own interface uses it.
        # pylint: disable-next=import-outside-toplevel
        from kumquatwalk.idempotency.request_table import RequestTable

        return RequestTable(measure_reply)


class RunTable:
    """Runs in progress by their identifiers."""

    def __init__(self):
        self._runs: dict[str, Run] = {}

    def add(self, run: Run) -> None:
        """Add a run that has started."""
        self._runs[run.run_id] = run

    def remove(self, run: Run) -> None:
        """Remove a run that has ended; its identifier becomes invalid."""
        self._runs.pop(run.run_id, None)

    def find(self, run_id: str) -> Run | None:
        """Return a run by its identifier; None when it is not in progress."""
        return self._runs.get(run_id)

    def __len__(self) -> int:
        return len(self._runs)


def measure_reply(reply: Reply) -> int:
    """Return the approximate size of a reply in bytes."""
    return len(reply.body) + sum(len(n) + len(v) for n, v in reply.headers)
