"""Replies to attempts whose link has gone silent."""

import asyncio
from collections.abc import Sequence

from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["wait_for_late_reply"]


async def wait_for_late_reply(
    late_replies: Sequence[asyncio.Future[Reply]], unknown: Reply
) -> Reply:
    """Return the first reply that comes with a known result of a run.

    Args:
        late_replies: Replies that may still come.
        unknown: Reply to return when none of them does.
    """
    waiting = set(late_replies)
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for late in done:
            if not late.cancelled() and late.result().outcome is Outcome.DONE:
                return late.result()
    return unknown
