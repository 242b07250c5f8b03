"""Replies to attempts that go on while their request is tried elsewhere."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from collections.abc import Sequence

from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = [
    "ERROR_STATUS_MIN",
    "has_good_reply",
    "take_first_result",
    "wait_for_late_reply",
]

# Status from which the answer of an attempt is no reason to end another.
ERROR_STATUS_MIN = 500


def has_good_reply(late_replies: Sequence[asyncio.Future[Reply]]) -> bool:
    """Return whether a good answer of a run has come.

    Args:
        late_replies: Replies that may have come.
    """
    return any(
        late.done() and not _is_lost(late) and _is_good(late.result())
        for late in late_replies
    )


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
            if _is_lost(late) or late.result().outcome is Outcome.UNKNOWN:
                has_unknown = True
            elif late.result().outcome is Outcome.DONE:
                return late.result()
            else:
                refusal = late.result()
    return unknown if has_unknown or refusal is None else refusal


async def take_first_result(
    attempt: Coroutine[None, None, Reply],
    late_replies: Sequence[asyncio.Future[Reply]],
) -> Reply:
    """Make an attempt while replies to attempts before it may still come.

    Args:
        attempt: Makes the attempt; it is cancelled if another has a result.
        late_replies: Replies that may still come.

    Returns:
        The first good answer of a run, or else the reply to the attempt. An
        answer that has come late says nothing about the target of the attempt.
    """
    task = asyncio.get_running_loop().create_task(attempt)
    waiting = {task, *late_replies}
    try:
        while not task.done():
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for late in done - {task}:
                if not _is_lost(late) and _is_good(late.result()):
                    return dataclasses.replace(late.result(), is_leaving=False)
        return task.result()
    finally:
        task.cancel()


def _is_lost(late: asyncio.Future[Reply]) -> bool:
    """Return whether a reply that is done is cancelled or has failed."""
    return late.cancelled() or late.exception() is not None


def _is_good(reply: Reply) -> bool:
    return reply.outcome is Outcome.DONE and reply.status < ERROR_STATUS_MIN
