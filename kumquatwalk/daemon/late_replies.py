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
        unknown: Reply to return when none of them tells the outcome.

    Returns:
        A result; or a refusal when all attempts with late replies were refused,
        which says nothing of other attempts; else ``unknown``.
    """
    waiting = set(late_replies)
    refusal: Reply | None = None
    has_unknown = False
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for late in done:
            if late.cancelled() or late.result().outcome is Outcome.UNKNOWN:
                has_unknown = True
            elif late.result().outcome is Outcome.DONE:
                return late.result()
            else:
                refusal = late.result()
    return unknown if has_unknown or refusal is None else refusal
