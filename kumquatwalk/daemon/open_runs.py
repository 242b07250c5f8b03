"""Runs in progress that a stop may move to other targets."""

import asyncio
from collections.abc import Mapping

from kumquatwalk.admission.stop import StopAdmission
from kumquatwalk.config.route import Route
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Call

__all__ = ["OpenRuns"]


class OpenRuns:
    """Runs in progress of movable calls, each with the timeout that ends it."""

    def __init__(self):
        self._runs: dict[asyncio.Timeout, tuple[Call, float]] = {}

    def add(self, call: Call, timeout: asyncio.Timeout, now: float) -> None:
        """Note that a run begins, unless its call is not movable.

        Args:
            call: Call that is run.
            timeout: Timeout of the run. It expires at once when the run is
                given back.
            now: Current time, in seconds.
        """
        if call.is_movable:
            self._runs[timeout] = call, now

    def remove(self, timeout: asyncio.Timeout) -> None:
        """Forget a run.

        Args:
            timeout: Timeout of the run.
        """
        self._runs.pop(timeout, None)

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
        for timeout, (call, began_at) in tuple(self._runs.items()):
            route = routes.get(call.route)
            if timeout.expired():
                continue
            if route is not None and stop_admission.should_give_back(
                route.name, call.deadline, began_at, route.objective_s, now
            ):
                del self._runs[timeout]
                timeout.reschedule(asyncio.get_running_loop().time())
                log_event(
                    "run_given_back",
                    attempt=call.attempt_id.decode("latin-1"),
                    route=call.route,
                    elapsed_s=now - began_at,
                )
