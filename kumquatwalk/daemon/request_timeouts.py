"""Timeouts of the requests in progress, which the end of a stop bounds."""

import asyncio
import math

from kumquatwalk.clock import read_now

__all__ = ["READ_TURNS", "RequestTimeouts"]

# Iterations of the event loop from the end of a time until what it bounds ends.
# In the first ones the loop reads what came before, if the process was not
# scheduled for a while; a reply then passes through a task for each part of its
# way.
READ_TURNS = 8


class RequestTimeouts:
    """Timeouts at the deadlines of requests, or at the end of a stop if sooner.

    A reply that has come before is still read and ends its request.

    Attributes:
        ends_at: Time at which all requests time out, in seconds; infinite
            until a stop begins.
    """

    def __init__(self):
        self.ends_at = math.inf
        # What happens next to each timeout; those whose time has come wait for
        # an iteration of the event loop.
        self._open: dict[asyncio.Timeout, asyncio.Handle] = {}

    def open(self, deadline: float) -> asyncio.Timeout:
        """Return a timeout, to be used as context manager and then closed.

        Args:
            deadline: Deadline of the request, in seconds.
        """
        timeout = asyncio.timeout_at(None)
        loop = asyncio.get_running_loop()
        when = loop.time() + min(deadline, self.ends_at) - read_now()
        self._open[timeout] = loop.call_at(
            when, self._expire, timeout, READ_TURNS
        )
        return timeout

    def close(self, timeout: asyncio.Timeout) -> None:
        """Forget a timeout.

        Args:
            timeout: Timeout that ``open`` returned.
        """
        self._open.pop(timeout).cancel()

    def set_end(self, ends_at: float) -> None:
        """Let no request last longer than until a time.

        Args:
            ends_at: The time, in seconds.
        """
        self.ends_at = min(self.ends_at, ends_at)
        loop = asyncio.get_running_loop()
        when = loop.time() + self.ends_at - read_now()
        for timeout, handle in self._open.items():
            if isinstance(handle, asyncio.TimerHandle) and handle.when() > when:
                handle.cancel()
                self._open[timeout] = loop.call_at(
                    when, self._expire, timeout, READ_TURNS
                )

    def _expire(self, timeout: asyncio.Timeout, turns: int) -> None:
        loop = asyncio.get_running_loop()
        if turns:
            self._open[timeout] = loop.call_soon(
                self._expire, timeout, turns - 1
            )
        else:
            timeout.reschedule(loop.time())
