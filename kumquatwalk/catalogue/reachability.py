"""Which entries a run of an entry may reach through its calls."""

from kumquatwalk.catalogue.document import Catalogue

__all__ = ["list_reachable"]


def list_reachable(catalogue: Catalogue, name: str) -> tuple[str, ...]:
    """Return the entries that a run of an entry may reach over any calls.

    Args:
        catalogue: Catalogue whose calls are followed; calls to entries that do
            not exist are passed over.
        name: Entry to begin from; it is not part of the result.

    Returns:
        Names, sorted.

    Raises:
        KeyError: If there is no entry of that name.
    """
    found: set[str] = set()
    waiting = list(catalogue.entries[name].calls)
    while waiting:
        callee = waiting.pop()
        if callee in found or callee not in catalogue.entries:
            continue
        found.add(callee)
        waiting.extend(catalogue.entries[callee].calls)
    return tuple(sorted(found))
