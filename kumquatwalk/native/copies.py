"""Replies to repeats of a request that has been taken already."""

import functools
from typing import Any

from kumquatwalk import codes
from kumquatwalk.idempotency import begin_result
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["answer_copy"]


@functools.singledispatch
async def answer_copy(result: Any, deadline: float, now: float) -> Reply:
    """Return the reply to a repeat of a request.

    Args:
        result: What the table said.
        deadline: Time by which the answer is due.
        now: Present time.
    """
    raise TypeError(f"not a result: {type(result).__name__}")


@answer_copy.register
async def _answer_running(
    result: begin_result.InProgress, deadline: float, now: float
) -> Reply:
    reply = await result.run.wait(max(deadline - now, 0.0))
    if reply is None:
        return Reply(Outcome.UNKNOWN, codes.DEADLINE_EXCEEDED)
    return reply


@answer_copy.register
async def _answer_done(
    result: begin_result.Answered, _deadline: float, _now: float
) -> Reply:
    return result.answer


@answer_copy.register(begin_result.AnswerEvicted)
@answer_copy.register(begin_result.RecordExpired)
async def _answer_unknown(_result: Any, _deadline: float, _now: float) -> Reply:
    return Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)


@answer_copy.register
async def _answer_full(
    _result: begin_result.TableFull, _deadline: float, _now: float
) -> Reply:
    return Reply(Outcome.NOT_RUN, codes.OVERLOADED)


@answer_copy.register
async def _answer_reused(
    _result: begin_result.KeyReused, _deadline: float, _now: float
) -> Reply:
    return Reply(Outcome.NOT_RUN, codes.KEY_REUSED)
