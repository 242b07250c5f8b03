"""Rate limit of requests to other nodes for a newer fleet configuration."""

__all__ = ["ConfigPull"]

# Time to wait for this node's watch of the store to deliver a version that
# another node already has, in seconds. A document is large.
WATCH_GRACE_S = 0.8
# Time to wait for a node in the own zone to offer a version that a node in
# another zone has, in seconds, as bytes between zones are dear.
FAR_GRACE_S = 0.4
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
        is_watching: bool,
        is_near: bool,
        now: float,
    ) -> bool:
        """Return whether to request the configuration of another node now.

        Records the request when it is due.

        Args:
            peer_version: Version that the other node has in force.
            own_version: Version that this node has in force; 0 for none.
            is_watching: Whether this node watches the store.
            is_near: Whether the other node is in the own zone.
            now: Current time, in seconds.
        """
        if peer_version <= own_version:
            return False
        if peer_version > self._newest_version:
            self._newest_version = peer_version
            self._newest_seen_at = now
        grace_s = 0.0 if is_near else FAR_GRACE_S
        if is_watching:
            grace_s = WATCH_GRACE_S
        if own_version > 0 and now - self._newest_seen_at < grace_s:
            return False
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return False
        self._requested_at = now
        return True
