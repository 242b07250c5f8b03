"""Choice of the nodes of a service to which links are kept."""

import dataclasses
from collections.abc import Collection
from collections.abc import Sequence

from kumquatwalk.subset.ranking import RankedNodes

__all__ = ["SUBSET_SIZES", "SubsetSizes", "select_nodes"]


@dataclasses.dataclass(frozen=True, slots=True)
class SubsetSizes:
    """Numbers of links that a node keeps to the nodes of one service.

    Attributes:
        total: Links to nodes that can serve.
        far: How many of them lead to other zones at least, so that the loss of
            the own zone leaves some.
        unfit: Links to nodes that cannot serve at present, on top of the
            others, by which their return is noticed.
    """

    total: int
    far: int
    unfit: int


# A service with up to ``total`` nodes besides the caller is linked to in full.
SUBSET_SIZES = SubsetSizes(total=9, far=3, unfit=6)


def select_nodes(
    ranked: RankedNodes, unfit: Collection[str], sizes: SubsetSizes
) -> tuple[str, ...]:
    """Select the nodes of a service to keep links to.

    The first nodes of each part are selected. A node that is known not to serve
    does not count, and the next one is selected in its place, so the subset
    moves on over a lost zone or a release and back after it.

    Args:
        ranked: Nodes of the service, by falling preference.
        unfit: Identifiers of the nodes known not to serve at present.
        sizes: Numbers of links.
    """
    far_fit = sum(node not in unfit for node in ranked.far)
    near_size = sizes.total - min(sizes.far, far_fit)
    near, near_fit = _take(ranked.near, unfit, near_size, sizes.unfit)
    far, _ = _take(ranked.far, unfit, sizes.total - near_fit, sizes.unfit)
    return near + far


def _take(
    nodes: Sequence[str], unfit: Collection[str], size: int, unfit_max: int
) -> tuple[tuple[str, ...], int]:
    """Return the first nodes with a number of fit ones, and that number."""
    taken = []
    fit_count = 0
    unfit_count = 0
    for node in nodes:
        if fit_count == size:
            break
        if node not in unfit:
            fit_count += 1
        elif unfit_count == unfit_max:
            continue
        else:
            unfit_count += 1
        taken.append(node)
    return tuple(taken), fit_count
