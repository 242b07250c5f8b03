"""When to ask another node for a newer fleet configuration."""

__all__ = ["ConfigPull"]

# Time for which the store's own watch may bring a version that another node
# has already, in seconds. A document is large, and crosses zones.
WATCH_FIRST_S = 0.8
# Time between two requests, in seconds: a document is there in less.
REPEAT_S = 0.4


class ConfigPull:
    """Asks one node at a time, and only after the store had its chance."""

    def __init__(self):
        self._seen_version = 0
        self._seen_at = 0.0
        self._asked_at = -REPEAT_S

    def is_due(
        self, told: int, own: int, is_store_reached: bool, now: float
    ) -> bool:
        """Return whether to ask the node that has just told its version.

        Args:
            told: Version that the other node has in force.
            own: Version that this node has in force.
            is_store_reached: Whether this node's watch of the store works.
            now: Present time.
        """
        if told <= own:
            return False
        if told > self._seen_version:
            self._seen_version = told
            self._seen_at = now
        is_waiting = own > 0 and is_store_reached
        if is_waiting and now - self._seen_at < WATCH_FIRST_S:
            return False
        if now - self._asked_at < REPEAT_S:
            return False
        self._asked_at = now
        return True
