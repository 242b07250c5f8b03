"""Runs in progress, of which a stop may have some hedged at other targets."""

import asyncio
from collections.abc import Mapping

from kumquatwalk.admission.stop import StopAdmission
from kumquatwalk.config.route import Route
from kumquatwalk.event_loop import Timeouts
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Call

__all__ = ["DEADLINE_GRACE_S", "OpenRuns"]

# Time to wait beyond the deadline for the target's own answer that its run has
# ended, in seconds: the target may not be scheduled at once. In a stop, the
# time of a call may be cut by as much, see ``DEADLINE_MARGIN_S``.
DEADLINE_GRACE_S = 0.1


class OpenRuns:
    """Runs in progress, each with the timeout that ends it.

    An answer that has come before the timeout is still read.
    """

    def __init__(self):
        self._timeouts = Timeouts()
        self._hedgeable: dict[asyncio.Timeout, tuple[Call, float]] = {}

    def open(self, call: Call, now: float) -> asyncio.Timeout:
        """Return a timeout, to be used as context manager and then closed.

        It expires shortly after the deadline of the call.

        Args:
            call: Call that is run, with its deadline on this node's clock.
            now: Current time, in seconds.
        """
        timeout = self._timeouts.open(call.deadline - now + DEADLINE_GRACE_S)
        if call.is_hedgeable:
            self._hedgeable[timeout] = call, now
        return timeout

    def close(self, timeout: asyncio.Timeout) -> None:
        """Forget a run.

        Args:
            timeout: Timeout that ``open`` returned.
        """
        self._timeouts.close(timeout)
        self._hedgeable.pop(timeout, None)

    def take_due(
        self,
        stop_admission: StopAdmission,
        routes: Mapping[str, Route],
        now: float,
    ) -> list[Call]:
        """Return the calls that are to be hedged now, each of them once.

        Args:
            stop_admission: Decides which calls.
            routes: Routes by name. Calls of a route that is not among them are
                left alone.
            now: Current time, in seconds.
        """
        due = []
        for timeout, (call, began_at) in tuple(self._hedgeable.items()):
            route = routes.get(call.route)
            if route is not None and stop_admission.should_hedge(
                route.name, call.deadline, began_at, route.objective_s, now
            ):
                del self._hedgeable[timeout]
                due.append(call)
                log_event(
                    "run_hedged",
                    attempt=call.attempt_id.decode("latin-1"),
                    route=call.route,
                    elapsed_s=now - began_at,
                )
        return due
