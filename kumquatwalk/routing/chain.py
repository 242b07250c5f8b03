"""Chains of services that the entries of a catalogue pass."""

from collections.abc import Mapping

from kumquatwalk.catalogue.entry import Entry

__all__ = ["list_chains"]


def list_chains(entries: Mapping[str, Entry]) -> dict[str, str]:
    """Return, for each entry, a text that names the services it passes.

    Two entries have the same text when their services and those of all calls
    below them are the same.

    Args:
        entries: Entries of a catalogue without cycles, by name.

    Returns:
        The texts by name of the entry.

    Example:
        An entry of service ``portal`` that calls one of service ``registry``
        has the text ``portal(registry())``.
    """
    chains: dict[str, str] = {}
    for name in entries:
        _describe(name, entries, chains)
    return chains


def _describe(
    name: str, entries: Mapping[str, Entry], chains: dict[str, str]
) -> str:
    if name in chains:
        return chains[name]
    entry = entries[name]
    below = {
        _describe(call, entries, chains)
        for call in entry.calls
        if call in entries
    }
    chains[name] = f"{entry.service}({','.join(sorted(below))})"
    return chains[name]
