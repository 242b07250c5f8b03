"""Rate at which a client takes its answers."""

__all__ = ["ReadingRate"]

# Bytes that a client has to take in each window while memory is short, and the
# length of the window in seconds. A client on a link that loses packets or with
# a small receive buffer takes several times as much.
TAKEN_BYTES_MIN = 16 * 1024
WINDOW_S = 1.0
# A window that lasts longer, in seconds, tells nothing of the client: this
# process did not run.
WINDOW_S_MAX = 3.0


class ReadingRate:
    """Tells whether a client reads too slowly to hold scarce memory.

    Attributes:
        is_slow: Whether the client has taken less than ``TAKEN_BYTES_MIN`` in
            the latest whole window.
    """

    def __init__(self):
        self.is_slow = False
        self._began_at = 0.0
        self._taken_bytes = 0

    def restart(self, taken_bytes: int, now: float) -> None:
        """Begin a window: there is an answer to take from now on.

        Args:
            taken_bytes: Number of bytes that the client has taken so far.
            now: Current time, in seconds.
        """
        self.is_slow = False
        self._began_at = now
        self._taken_bytes = taken_bytes

    def update(self, taken_bytes: int, now: float) -> None:
        """End the window if it is over, and begin the next.

        Args:
            taken_bytes: Number of bytes that the client has taken so far.
            now: Current time, in seconds.
        """
        elapsed_s = now - self._began_at
        if elapsed_s < WINDOW_S:
            return
        taken = taken_bytes - self._taken_bytes
        self.restart(taken_bytes, now)
        self.is_slow = taken < TAKEN_BYTES_MIN and elapsed_s <= WINDOW_S_MAX
