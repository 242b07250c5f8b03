"""Load balancing across targets, and the learned call graph."""

from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.route_sizes import RouteSizes
from kumquatwalk.routing.split import TrafficSplitter

__all__ = ["CallGraph", "RouteSizes", "TrafficSplitter"]
