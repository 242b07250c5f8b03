"""Time limits that do not count what the event loop has yet to read.

A process that was not scheduled runs its timers before it handles what has come
meanwhile, and would take its own pause for the silence of others.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ["handle_pending_events", "limit_time"]

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
    loop = asyncio.get_running_loop()

    def expire(turns: int) -> None:
        nonlocal handle
        if turns:
            handle = loop.call_soon(expire, turns - 1)
        else:
            timeout.reschedule(loop.time())

    async with asyncio.timeout(None) as timeout:
        handle: asyncio.Handle = loop.call_later(timeout_s, expire, TURNS)
        try:
            yield
        finally:
            handle.cancel()


async def handle_pending_events() -> None:
    """Let the event loop handle what the kernel holds for it now."""
    for _ in range(TURNS):
        await asyncio.sleep(0)
