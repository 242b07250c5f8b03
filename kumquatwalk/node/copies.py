"""Replies to copies of a call that has been taken already."""

import functools
from typing import Any

from kumquatwalk import codes
from kumquatwalk.idempotency import begin_result
from kumquatwalk.link.reply import Reply
from kumquatwalk.node.refusal import fail_unknown
from kumquatwalk.node.refusal import refuse

__all__ = ["answer_copy"]


@functools.singledispatch
def answer_copy(result: Any, deadline: float, now: float) -> Reply:
    """Return the reply to a copy of a call or a repeat of a request.

    Args:
        result: What the table said.
        deadline: Monotonic time by which the answer is due.
        now: Present time.
    """
    raise TypeError(f"not a result: {type(result).__name__}")


@answer_copy.register
def _answer_running(
    result: begin_result.AttachTo, deadline: float, now: float
) -> Reply:
    reply = result.run.wait(max(deadline - now, 0.0))
    return fail_unknown(codes.DEADLINE_EXCEEDED) if reply is None else reply


@answer_copy.register
def _answer_done(
    result: begin_result.Answered, _deadline: float, _now: float
) -> Reply:
    return result.answer


@answer_copy.register
def _answer_refused(
    result: begin_result.Tombstoned, _deadline: float, _now: float
) -> Reply:
    return result.answer or refuse(codes.OVERLOADED)


@answer_copy.register(begin_result.AnswerDropped)
@answer_copy.register(begin_result.TooOld)
def _answer_unknown(_result: Any, _deadline: float, _now: float) -> Reply:
    return fail_unknown(codes.OUTCOME_UNKNOWN)


@answer_copy.register
def _answer_full(
    _result: begin_result.TableFull, _deadline: float, _now: float
) -> Reply:
    return refuse(codes.OVERLOADED)


@answer_copy.register
def _answer_reused(
    _result: begin_result.KeyReused, _deadline: float, _now: float
) -> Reply:
    return refuse("key_reused")
