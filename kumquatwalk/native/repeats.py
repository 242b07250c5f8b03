"""Replies to repeats of a request that the request table already records."""

import functools
from typing import Any

from kumquatwalk import codes
from kumquatwalk.idempotency import begin_result
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["answer_repeat"]


@functools.singledispatch
async def answer_repeat(result: Any, deadline: float, now: float) -> Reply:
    """Return the reply to a repeat of a request.

    If the request is still running, wait for its answer until the deadline.

    Args:
        result: Any result of the request table but ``RunNow``.
        deadline: Deadline of the repeat, in seconds.
        now: Current time in seconds.
    """
    raise TypeError(f"unsupported begin result: {type(result).__name__}")


@answer_repeat.register
async def _answer_in_progress(
    result: begin_result.InProgress, deadline: float, now: float
) -> Reply:
    reply = await result.run.wait(max(deadline - now, 0.0))
    if reply is None:
        return Reply(Outcome.UNKNOWN, codes.DEADLINE_EXCEEDED)
    return reply


@answer_repeat.register
async def _answer_from_cache(
    result: begin_result.Answered, _deadline: float, _now: float
) -> Reply:
    return result.answer


@answer_repeat.register(begin_result.AnswerEvicted)
@answer_repeat.register(begin_result.RecordExpired)
async def _answer_unknown(_result: Any, _deadline: float, _now: float) -> Reply:
    return Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)


@answer_repeat.register
async def _refuse_table_full(
    _result: begin_result.TableFull, _deadline: float, _now: float
) -> Reply:
    return Reply(Outcome.NOT_RUN, codes.OVERLOADED)


@answer_repeat.register
async def _refuse_key_reused(
    _result: begin_result.KeyReused, _deadline: float, _now: float
) -> Reply:
    return Reply(Outcome.NOT_RUN, codes.KEY_REUSED)
