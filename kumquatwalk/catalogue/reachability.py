"""Reachability in the call graph of a catalogue."""

from kumquatwalk.catalogue.document import Catalogue

__all__ = ["list_reachable"]


def list_reachable(catalogue: Catalogue, name: str) -> tuple[str, ...]:
    """Return the entries reachable from an entry in the call graph.

    Args:
        catalogue: Catalogue whose calls are followed; calls to unknown entries
            are ignored.
        name: Entry to start from; part of the result only if it is in a
            cycle.

    Returns:
        Sorted names.

    Raises:
        KeyError: If there is no entry with that name.
    """
    found: set[str] = set()
    pending = list(catalogue.entries[name].calls)
    while pending:
        callee = pending.pop()
        if callee in found or callee not in catalogue.entries:
            continue
        found.add(callee)
        pending.extend(catalogue.entries[callee].calls)
    return tuple(sorted(found))
