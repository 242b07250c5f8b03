"""Fault injection: simulated network partitions."""

from collections.abc import Callable

__all__ = ["Partition"]


class Partition:
    """Set of host prefixes that this node treats as unreachable.

    Used by tests and the demo only. Messages to and from such hosts are
    delayed until the partition ends, as TCP would deliver them then.

    Example:
        >>> partition = Partition()
        >>> partition.set_prefixes(("127.2.",))
        >>> partition.blocks("127.2.0.1")
        True
    """

    def __init__(self):
        self._prefixes: tuple[str, ...] = ()
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, on_change: Callable[[], None]) -> None:
        """Register a function to call after each change."""
        self._listeners.append(on_change)

    def remove_listener(self, on_change: Callable[[], None]) -> None:
        """Unregister a function; does nothing if it is not registered."""
        if on_change in self._listeners:
            self._listeners.remove(on_change)

    def set_prefixes(self, prefixes: tuple[str, ...]) -> None:
        """Replace the blocked host prefixes.

        Args:
            prefixes: Prefixes of IP addresses; empty ends the partition.
        """
        self._prefixes = prefixes
        for on_change in tuple(self._listeners):
            on_change()

    def blocks(self, host: str) -> bool:
        """Return whether a host is unreachable by the partition."""
        return bool(self._prefixes) and host.startswith(self._prefixes)
