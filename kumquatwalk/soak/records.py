"""What callers of a soak saw, and the promises checked against it."""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Set

from kumquatwalk.history import RunRecorded
from kumquatwalk.history import Violation

__all__ = ["Sending", "check_nothing_cut_off"]

# A request that takes longer than this may outlast the time that a node has for
# its stop, in seconds.
QUICK_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """One sending of a request by a caller.

    Attributes:
        request: Name of the request.
        pids: Processes of the node that may have received it: the one before
            the sending, and the one after it if it was restarted meanwhile.
        elapsed_s: Time until the answer or the failure, in seconds.
        outcome: Outcome stated in the answer; ``none`` without one.
        code: Code in the answer, or the name of the error without one.
    """

    request: str
    pids: frozenset[int]
    elapsed_s: float
    outcome: str
    code: str


def check_nothing_cut_off(
    sendings: Collection[Sending],
    runs: Iterable[RunRecorded],
    disturbed: Set[int],
) -> list[Violation]:
    """Check that no planned stop of a node cut off a request in progress.

    A request that no target has run may cross the close of its connection. One
    that was sent again may have run elsewhere, and is left out.

    Args:
        sendings: What callers saw.
        runs: Runs at all targets.
        disturbed: Processes that were killed, paused or cut off.
    """
    runs_by_request = collections.Counter(run.request for run in runs)
    sent_by_request = collections.Counter(s.request for s in sendings)
    return [
        Violation(
            "cut_off",
            sending.request,
            f"node processes {sorted(sending.pids)}, {sending.code} after"
            f" {sending.elapsed_s:.2f} s",
        )
        for sending in sendings
        if sending.outcome == "none"
        and sending.elapsed_s < QUICK_S
        and sending.pids.isdisjoint(disturbed)
        and sending.code != "NewConnectionError"
        and sent_by_request[sending.request] == 1
        and runs_by_request[sending.request]
    ]
