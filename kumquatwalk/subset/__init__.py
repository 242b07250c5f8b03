"""Subset of a service's nodes to which a node keeps links."""

from kumquatwalk.subset.ranking import RankedNodes
from kumquatwalk.subset.ranking import rank_nodes
from kumquatwalk.subset.selection import SUBSET_SIZES
from kumquatwalk.subset.selection import SubsetSizes
from kumquatwalk.subset.selection import select_nodes

__all__ = [
    "RankedNodes",
    "SUBSET_SIZES",
    "SubsetSizes",
    "rank_nodes",
    "select_nodes",
]
