"""Acquisition of a lock until a deadline."""

import asyncio

from kumquatwalk.clock import read_now

__all__ = ["acquire_until"]


async def acquire_until(lock: asyncio.Lock, deadline: float) -> bool:
    """Acquire a lock unless a deadline passes first.

    Args:
        lock: The lock, which the caller releases if it was acquired.
        deadline: The deadline, in seconds.

    Returns:
        Whether it was acquired.
    """
    # A lock that has just been released may be due to another waiter, so the
    # wait is bounded whether it is held or not.
    try:
        async with asyncio.timeout(deadline - read_now()):
            return await lock.acquire()
    except TimeoutError:
        return False
