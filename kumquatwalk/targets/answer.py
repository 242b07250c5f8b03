"""Reading of a target's answer: what became of the request."""

import dataclasses

__all__ = ["AnswerJudge"]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerJudge:
    """What the headers of a target's answer say.

    Attributes:
        is_own: Whether the answer belongs to the request.
        is_whole: Whether it is the target's whole answer, unchanged.
        was_not_run: Whether the target says that it did not run the request.
        is_replaced: Whether another target has the address.
    """

    is_own: bool
    is_whole: bool
    was_not_run: bool
    is_replaced: bool
