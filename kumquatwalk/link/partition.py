"""Fault injection: hosts that this node treats as cut off."""

__all__ = ["Partition"]


class Partition:
    """Set of host prefixes that are cut off from this node.

    Used by tests and the demo only. Messages from and to such hosts are
    dropped without notice, as in a network partition.

    Example:
        >>> partition = Partition()
        >>> partition.set_prefixes(("127.2.",))
        >>> partition.blocks("127.2.0.1")
        True
    """

    def __init__(self):
        self._prefixes: tuple[str, ...] = ()

    def set_prefixes(self, prefixes: tuple[str, ...]) -> None:
        """Replace the prefixes; none ends the partition."""
        self._prefixes = prefixes

    def blocks(self, host: str) -> bool:
        """Return whether the host is cut off."""
        return bool(self._prefixes) and host.startswith(self._prefixes)
