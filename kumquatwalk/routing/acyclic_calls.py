"""Removal of cycles from a learnt call graph."""

from collections.abc import Mapping

__all__ = ["keep_acyclic"]


def keep_acyclic(
    calls: Mapping[tuple[str, str], float],
) -> list[tuple[str, str]]:
    """Return the strongest calls that together form no cycle.

    A run that causes another run of its own route would cause them without end,
    so a cycle is an error of the estimate. Calls are added by falling calls per
    run, and one that would close a cycle is left out. The steps are linear in
    the calls, times the routes that are called.

    Args:
        calls: Calls per run, by calling and called route.

    Returns:
        Pairs of calling and called route.
    """
    # Only called routes can be part of a cycle. The sets of routes that each
    # reaches are held as the bits of integers.
    bits = {c: 1 << i for i, c in enumerate({c for _, c in calls})}
    reached = dict.fromkeys(bits, 0)
    kept = []
    for route, called in sorted(calls, key=lambda e: (-calls[e], e)):
        if route in bits:
            if route == called or reached[called] & bits[route]:
                continue
            gained = bits[called] | reached[called]
            for other, below in reached.items():
                if other == route or below & bits[route]:
                    reached[other] = below | gained
        kept.append((route, called))
    return kept
