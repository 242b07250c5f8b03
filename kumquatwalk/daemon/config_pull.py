"""Rate limit of requests to other nodes for a newer fleet configuration."""

__all__ = ["ConfigPull"]

# Time to wait for this node's watch of the store to deliver a version that
# another node already has, in seconds. A document is large, and a request to
# another node may cross availability zones.
WATCH_GRACE_S = 0.8
# Minimum interval between two requests, in seconds; a document arrives sooner.
REQUEST_INTERVAL_S = 0.4


class ConfigPull:
    """Limits the rate of requests, and prefers the watch of the store."""

    def __init__(self):
        self._newest_version = 0
        self._newest_seen_at = 0.0
        self._requested_at = -REQUEST_INTERVAL_S

    def is_due(
        self,
        peer_version: int,
        own_version: int,
        is_store_reached: bool,
        now: float,
    ) -> bool:
        """Return whether to request the configuration of another node now.

        Records the request when it is due.

        Args:
            peer_version: Version that the other node has in force.
            own_version: Version that this node has in force; 0 for none.
            is_store_reached: Whether this node's watch of the store works.
            now: Current time, in seconds.
        """
        if peer_version <= own_version:
            return False
        if peer_version > self._newest_version:
            self._newest_version = peer_version
            self._newest_seen_at = now
        is_waiting = own_version > 0 and is_store_reached
        if is_waiting and now - self._newest_seen_at < WATCH_GRACE_S:
            return False
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return False
        self._requested_at = now
        return True
