"""Requests that end without a complete answer: at which stage, by which end."""

import enum

from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.logs.level import Level

__all__ = ["End", "Stage", "find_level", "find_stage"]


class Stage(enum.StrEnum):
    """How far a request had come when it ended without a complete answer."""

    READING = "reading"  # Received in part.
    READ = "read"  # Received, not passed on to a target.
    PASSED_ON = "passed_on"  # Passed on to a target, which may have run it.
    ANSWERED = "answered"  # Its answer is made, but not wholly taken.


class End(enum.StrEnum):
    """What ended a request without a complete answer."""

    CALLER_LEFT = "caller_left"
    CLOSING_ANSWER = "closing_answer"  # It stood behind the last answer.
    CONNECTION_LOST = "connection_lost"
    HANDLER = "handler"  # The handler asked to close the connection.
    PROCESS_END = "process_end"
    SHORTAGE = "shortage"  # Descriptors or memory ran short.
    TIMEOUT = "timeout"  # The client took nothing of an answer in time.


# Ends that a client brings about or that tell it to send the request again.
_USUAL_ENDS = frozenset((End.CALLER_LEFT, End.CLOSING_ANSWER))


def find_level(end: End) -> Level:
    """Return the level at which an end is logged.

    Args:
        end: What ended the request.
    """
    return Level.INFO if end in _USUAL_ENDS else Level.WARNING


def find_stage(request: HttpRequest, is_answered: bool) -> Stage:
    """Return the stage of a request that has been received.

    Args:
        request: The request.
        is_answered: Whether its answer is made.
    """
    if is_answered:
        return Stage.ANSWERED
    return Stage.PASSED_ON if request.progress.is_passed_on else Stage.READ
