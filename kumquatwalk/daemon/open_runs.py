"""Runs in progress that a stop may move to other targets."""

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
        self._movable: dict[asyncio.Timeout, tuple[Call, float]] = {}

    def open(self, call: Call, now: float) -> asyncio.Timeout:
        """Return a timeout, to be used as context manager and then closed.

        It expires shortly after the deadline of the call, or at once when the
        run is given back.

        Args:
            call: Call that is run, with its deadline on this node's clock.
            now: Current time, in seconds.
        """
        timeout = self._timeouts.open(call.deadline - now + DEADLINE_GRACE_S)
        if call.is_movable:
            self._movable[timeout] = call, now
        return timeout

    def close(self, timeout: asyncio.Timeout) -> None:
        """Forget a run.

        Args:
            timeout: Timeout that ``open`` returned.
        """
        self._timeouts.close(timeout)
        self._movable.pop(timeout, None)

    def give_back(
        self,
        stop_admission: StopAdmission,
        routes: Mapping[str, Route],
        now: float,
    ) -> None:
        """Let the timeouts of runs expire that have to be moved.

        Args:
            stop_admission: Decides which runs.
            routes: Routes by name. Runs of a route that is not among them go
                on.
            now: Current time, in seconds.
        """
        for timeout, (call, began_at) in tuple(self._movable.items()):
            route = routes.get(call.route)
            if route is not None and stop_admission.should_give_back(
                route.name, call.deadline, began_at, route.objective_s, now
            ):
                del self._movable[timeout]
                self._timeouts.expire(timeout)
                log_event(
                    "run_given_back",
                    attempt=call.attempt_id.decode("latin-1"),
                    route=call.route,
                    elapsed_s=now - began_at,
                )
