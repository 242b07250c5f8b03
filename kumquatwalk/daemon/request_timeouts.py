"""Timeouts of the requests in progress, which the end of a stop bounds."""

import asyncio
import math

from kumquatwalk.clock import read_now
from kumquatwalk.event_loop import Timeouts

__all__ = ["RequestTimeouts"]


class RequestTimeouts:
    """Timeouts at the deadlines of requests, or at the end of a stop if sooner.

    A reply that has come before is still read and ends its request.

    Attributes:
        ends_at: Time at which all requests time out, in seconds; infinite
            until a stop begins.
    """

    def __init__(self):
        self.ends_at = math.inf
        self._timeouts = Timeouts()

    def open(self, deadline: float) -> asyncio.Timeout:
        """Return a timeout, to be used as context manager and then closed.

        Args:
            deadline: Deadline of the request, in seconds.
        """
        return self._timeouts.open(min(deadline, self.ends_at) - read_now())

    def close(self, timeout: asyncio.Timeout) -> None:
        """Forget a timeout.

        Args:
            timeout: Timeout that ``open`` returned.
        """
        self._timeouts.close(timeout)

    def set_end(self, ends_at: float) -> None:
        """Let no request last longer than until a time.

        Args:
            ends_at: The time, in seconds.
        """
        self.ends_at = min(self.ends_at, ends_at)
        self._timeouts.bring_forward(self.ends_at - read_now())
