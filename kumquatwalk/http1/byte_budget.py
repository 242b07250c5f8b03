"""Bound on the bytes of bodies that a process holds at once."""

from collections.abc import Callable

__all__ = ["ByteBudget"]


class ByteBudget:
    """Counts reserved bytes up to a limit.

    Args:
        limit: Maximum of the bytes reserved at once.

    Attributes:
        limit: Maximum of the bytes reserved at once.
        used: Bytes reserved or held at present.
        refusals: Number of reservations refused so far for what others hold.
        reclaim: Called with the bytes that a reservation lacks, to free some;
            it does nothing unless it is set.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0
        self.refusals = 0
        self.reclaim: Callable[[int], None] = _reclaim_nothing

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes and return True, unless they exceed the limit.

        Args:
            size: Number of bytes, at least 0.
        """
        if size <= self.limit < self.used + size:
            self.reclaim(self.used + size - self.limit)
        if self.used + size > self.limit:
            self.note_refusal(size)
            return False
        self.used += size
        return True

    def note_refusal(self, size: int) -> None:
        """Count a refusal, unless the size alone exceeds the limit.

        Args:
            size: Number of bytes refused.
        """
        self.refusals += size <= self.limit

    def hold(self, size: int) -> None:
        """Count bytes that exist already, even if they exceed the limit.

        Args:
            size: Number of bytes, at least 0.
        """
        self.used += size

    def release(self, size: int) -> None:
        """Return reserved or held bytes.

        Args:
            size: Number of bytes that were reserved or held.
        """
        self.used -= size


def _reclaim_nothing(_size: int) -> None:
    pass
