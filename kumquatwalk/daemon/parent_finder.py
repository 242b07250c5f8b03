"""Finds the run that a call belongs to where calls do not name it."""

from kumquatwalk.config.route import Route
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.targets.run import RunTable

__all__ = ["ParentFinder"]


class ParentFinder:
    """Infers the run from the deadline, which a call has from its run.

    The result orders calls and attributes them to requests, and no more: it
    may be another run that ends within the same millisecond.

    Args:
        runs: Runs in progress at the target on this VM.
        graph: Which routes targets call.
    """

    def __init__(self, runs: RunTable, graph: CallGraph):
        self._runs = runs
        self._graph = graph

    def find(
        self, route: Route, deadline: float | None, now: float
    ) -> ChainContext | None:
        """Return what a call has from its chain; None when no run fits.

        Args:
            route: Route of the call.
            deadline: Its deadline, in seconds; None when it does not say.
            now: Present time, in seconds.
        """
        if deadline is None or not self._graph.is_inner(route.name):
            return None
        run = self._runs.find_by_deadline(deadline, now)
        if run is None:
            return None
        return ChainContext(
            depth=run.call.depth + 1,
            rank=run.call.rank,
            deadline=deadline,
            tokens=None,
            is_protected=run.call.is_protected,
            parent_route=run.call.route,
        )
