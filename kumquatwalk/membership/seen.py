"""Identifiers of the broadcasts received lately."""

__all__ = ["SeenBroadcasts"]

RETENTION_S = 120.0
MAX_SEEN = 4096


class SeenBroadcasts:
    """Identifiers of the broadcasts received lately."""

    def __init__(self):
        self._expires_at: dict[int, float] = {}

    def add(self, broadcast_id: int, now: float) -> bool:
        """Record a broadcast.

        Args:
            broadcast_id: Identifier of the broadcast.
            now: Monotonic time in seconds.

        Returns:
            Whether it was new.
        """
        if broadcast_id in self._expires_at:
            return False
        self._expires_at[broadcast_id] = now + RETENTION_S
        if len(self._expires_at) > MAX_SEEN:
            del self._expires_at[next(iter(self._expires_at))]
        return True

    def expire(self, now: float) -> None:
        """Forget old broadcasts.

        Args:
            now: Monotonic time in seconds.
        """
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                return
            del self._expires_at[oldest]
