"""Timeouts of the requests in progress, which the end of a stop bounds."""

import asyncio
import math

from kumquatwalk.clock import read_now

__all__ = ["RequestTimeouts"]


class RequestTimeouts:
    """Timeouts at the deadlines of requests, or at the end of a stop if sooner.

    Attributes:
        ends_at: Time at which all requests time out, in seconds; infinite
            until a stop begins.
    """

    def __init__(self):
        self.ends_at = math.inf
        self._open: set[asyncio.Timeout] = set()

    def open(self, deadline: float) -> asyncio.Timeout:
        """Return a timeout, to be used as context manager and then closed.

        Args:
            deadline: Deadline of the request, in seconds.
        """
        timeout = asyncio.timeout(min(deadline, self.ends_at) - read_now())
        self._open.add(timeout)
        return timeout

    def close(self, timeout: asyncio.Timeout) -> None:
        """Forget a timeout.

        Args:
            timeout: Timeout that ``open`` returned.
        """
        self._open.discard(timeout)

    def set_end(self, ends_at: float) -> None:
        """Let no request last longer than until a time.

        Args:
            ends_at: The time, in seconds.
        """
        self.ends_at = min(self.ends_at, ends_at)
        when = asyncio.get_running_loop().time() + self.ends_at - read_now()
        for timeout in self._open:
            if not timeout.expired() and timeout.when() > when:
                timeout.reschedule(when)
