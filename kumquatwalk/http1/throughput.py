"""Rate at which a client takes bytes that wait for it."""

import math

__all__ = [
    "BACKLOG_BYTES_MAX",
    "BUFFERS_BYTES_MAX",
    "Throughput",
    "estimate_first_s",
]

# Bytes not taken up to which a client is not behind: the buffers of both ends
# hold as many.
BACKLOG_BYTES_MAX = 64 * 1024
# Bytes that the buffers of a client and its kernel may take at once: until it
# has taken more, a client that catches up is not measured.
BUFFERS_BYTES_MAX = 256 * 1024
# Time for which a client must be behind to be measured, in seconds.
WINDOW_S = 0.5
# Share of the measured rate that is relied on: a client's buffer takes the
# first bytes at once, and its later reads may be slower.
RATE_SHARE = 0.5
# Longest time over which what a client takes in several answers is added up, in
# seconds.
SPAN_S_MAX = 2.0
# Rate expected of a client that was not measured yet, beyond what its buffers
# take at once.
FIRST_BYTES_PER_S = 512 * 1024
# Shortest time that is told apart from none, in seconds.
RESOLUTION_S = 0.001


def estimate_first_s(size: float) -> float:
    """Return the time in which a client not measured yet takes an answer.

    Args:
        size: Number of bytes; infinite if not known, which counts as small.
    """
    if size <= BUFFERS_BYTES_MAX or size == math.inf:
        return 0.0
    return (size - BUFFERS_BYTES_MAX) / FIRST_BYTES_PER_S


class Throughput:
    """Measures a client only while it is behind.

    A client that is not behind takes what it gets, which tells nothing.
    """

    def __init__(self):
        self._bytes_per_s: float | None = None
        # Start of the present window; None while the client is not behind.
        self._began_at: float | None = None
        self._taken_bytes = 0
        # Start of the time over which several answers are added up.
        self._span_at = 0.0
        self._span_bytes = 0

    def begin(self, taken_bytes: int, now: float) -> None:
        """Note that the client is behind from now on, unless it was before.

        Args:
            taken_bytes: Number of bytes that the client has taken so far.
            now: Current time, in seconds.
        """
        if self._began_at is None:
            self._restart(taken_bytes, now)

    def update(self, taken_bytes: int, untaken_bytes: int, now: float) -> None:
        """Note what the client has taken.

        Args:
            taken_bytes: Number of bytes that the client has taken so far.
            untaken_bytes: Number of bytes that wait for it.
            now: Current time, in seconds.
        """
        if self._began_at is None:
            return
        elapsed_s = max(now - self._began_at, RESOLUTION_S)
        size = taken_bytes - self._taken_bytes
        rate = size / elapsed_s
        if untaken_bytes > BACKLOG_BYTES_MAX:
            if elapsed_s >= WINDOW_S:
                self._bytes_per_s = rate
                self._restart(taken_bytes, now)
                self._restart_span(taken_bytes, now)
            return
        # It may have caught up at any time before, so this is a lower bound.
        self._began_at = None
        self._add_up(taken_bytes, now)
        if size <= BUFFERS_BYTES_MAX:
            return
        if self._bytes_per_s is not None:
            self._bytes_per_s = max(self._bytes_per_s, rate)
        elif elapsed_s < WINDOW_S:
            self._bytes_per_s = rate

    def estimate_s(self, size: float) -> float | None:
        """Return the time in which the client takes bytes, in seconds.

        Args:
            size: Number of bytes, at least 0.

        Returns:
            The time; None if the client was not measured yet.
        """
        if self._bytes_per_s is None:
            return None
        return size / max(1.0, RATE_SHARE * self._bytes_per_s)

    def _add_up(self, taken_bytes: int, now: float) -> None:
        """Raise the rate by what the client has surely read of several answers.

        That is what it has taken but for what its buffers may hold.
        """
        if self._bytes_per_s is None:
            return
        span_s = max(now - self._span_at, RESOLUTION_S)
        if span_s > SPAN_S_MAX:
            self._restart_span(taken_bytes, now)
            return
        size = taken_bytes - self._span_bytes - BUFFERS_BYTES_MAX
        self._bytes_per_s = max(self._bytes_per_s, size / span_s)

    def _restart_span(self, taken_bytes: int, now: float) -> None:
        self._span_at = now
        self._span_bytes = taken_bytes

    def _restart(self, taken_bytes: int, now: float) -> None:
        self._began_at = now
        self._taken_bytes = taken_bytes
