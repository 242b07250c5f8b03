"""One accepted link."""

import threading
import time
from typing import Any

from kumquatwalk.link.running import Running
from kumquatwalk.link.stream import FrameStream

__all__ = ["Session"]


class Session:
    """One accepted link and the exchange in progress on it.

    Attributes:
        peer_id: Name of the node that connected.
        peer_host: IP number of its VM.
    """

    def __init__(self, stream: FrameStream, peer_id: str, peer_host: str):
        self.peer_id = peer_id
        self.peer_host = peer_host
        self._stream = stream
        self._lock = threading.Lock()
        self._busy_since: float | None = None

    def receive(self) -> Any:
        """Wait for the next message; None when the peer closed."""
        return self._stream.receive()

    def begin(self, now: float) -> None:
        """Mark the start of an exchange."""
        self._busy_since = now

    def reply(self, frame: bytes) -> None:
        """Send the encoded reply and mark the end of the exchange."""
        with self._lock:
            self._busy_since = None
            self._stream.send_frame(frame)

    def beat(self, now: float, after_s: float) -> None:
        """Send a heartbeat when the exchange has lasted for ``after_s``."""
        if self._busy_since is None:
            return
        if not self._lock.acquire(blocking=False):
            return
        try:
            since = self._busy_since
            if since is not None and now - since >= after_s:
                self._stream.send(Running())
        finally:
            self._lock.release()

    @property
    def is_busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._busy_since is not None

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


def read_clock_us() -> int:
    """Return this process's monotonic clock in microseconds."""
    return int(time.monotonic() * 1_000_000)
