"""Classification of a target's response by its headers."""

import dataclasses

__all__ = ["AnswerJudge"]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerJudge:
    """Result of checking a target's response against the request.

    Attributes:
        is_own: Whether the response belongs to the request.
        is_whole: Whether the response is complete and unchanged.
        was_not_run: Whether the target reports that it did not run the request.
        is_replaced: Whether another target now serves at the address.
    """

    is_own: bool
    is_whole: bool
    was_not_run: bool
    is_replaced: bool
