"""Time limits that do not count what the event loop has yet to read.

A process that was not scheduled runs its timers before it handles what has come
meanwhile, and would take its own pause for the silence of others.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ["Timeouts", "handle_pending_events", "limit_time"]

# Turns of the event loop in which it handles what the kernel holds. Each turn
# polls the sockets; an operation takes several from its event to its end.
TURNS = 16


@contextlib.asynccontextmanager
async def limit_time(timeout_s: float) -> AsyncIterator[None]:
    """Limit the time of the operations in the context.

    As ``asyncio.timeout``, but the timeout expires only once the event loop has
    handled what the kernel holds when the time has passed. An operation that
    ends by that does not time out.

    Args:
        timeout_s: Maximum time, in seconds.

    Raises:
        TimeoutError: The timeout has expired.
    """
    timeouts = Timeouts()
    timeout = timeouts.open(timeout_s)
    try:
        async with timeout:
            yield
    finally:
        timeouts.close(timeout)


async def handle_pending_events() -> None:
    """Let the event loop handle what the kernel holds for it now."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


class Timeouts:
    """Timeouts that expire as that of ``limit_time``, until they are closed."""

    def __init__(self):
        # What happens next to each; those whose time has come wait for a turn
        # of the event loop.
        self._open: dict[asyncio.Timeout, asyncio.Handle] = {}

    def open(self, timeout_s: float) -> asyncio.Timeout:
        """Return a timeout, to be used as context manager and then closed.

        Args:
            timeout_s: Time until it expires, in seconds.
        """
        timeout = asyncio.timeout_at(None)
        self._open[timeout] = asyncio.get_running_loop().call_later(
            timeout_s, self._expire, timeout, TURNS
        )
        return timeout

    def close(self, timeout: asyncio.Timeout) -> None:
        """Forget a timeout.

        Args:
            timeout: Timeout that ``open`` returned.
        """
        self._open.pop(timeout).cancel()

    def bring_forward(self, timeout_s: float) -> None:
        """Let no open timeout expire later than after a time.

        Args:
            timeout_s: The time, in seconds.
        """
        loop = asyncio.get_running_loop()
        when = loop.time() + timeout_s
        for timeout, handle in self._open.items():
            if isinstance(handle, asyncio.TimerHandle) and handle.when() > when:
                handle.cancel()
                self._open[timeout] = loop.call_at(
                    when, self._expire, timeout, TURNS
                )

    def _expire(self, timeout: asyncio.Timeout, turns: int) -> None:
        loop = asyncio.get_running_loop()
        if turns:
            self._open[timeout] = loop.call_soon(
                self._expire, timeout, turns - 1
            )
        else:
            timeout.reschedule(loop.time())
