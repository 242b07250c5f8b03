"""Replies that a node makes without an answer of a target; each is logged."""

import random

from kumquatwalk import codes
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.pending_request import PendingRequest
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["make_timeout_reply", "make_unknown_reply", "make_refusal"]

# Minimum retry delay in a refusal before the jitter, in seconds: about a few
# runs of the intended services.
RETRY_AFTER_MIN_S = 0.4
# Range of the random factor applied to the retry delay.
RETRY_AFTER_JITTER = (0.75, 1.5)


def make_refusal(
    caller: CallerRequest,
    code: str,
    delay_s: float,
    rng: random.Random,
    route: str,
    asked: str = "",
) -> Reply:
    """Return a refusal: the request has not run and will not.

    Args:
        caller: Decoded headers of the request.
        code: Code of the refusal.
        delay_s: Estimated time until there is capacity, in seconds; 0 when
            not known.
        rng: Source of the jitter, so that callers do not retry all at once.
        route: Name of the route, for the log.
        asked: Node that refused it last, for the log; empty when no node was
            asked.
    """
    delay_s = max(delay_s, RETRY_AFTER_MIN_S)
    delay_s *= rng.uniform(*RETRY_AFTER_JITTER)
    team = {} if caller.team is None else {"team": caller.team.name}
    log_event(
        "request_refused",
        attempt=caller.attempt_id.decode("latin-1"),
        **team,
        route=route,
        asked=asked,
        code=code,
        retry_after_s=delay_s,
    )
    return Reply(Outcome.NOT_RUN, code, retry_after_s=delay_s)


def make_unknown_reply(request: PendingRequest, code: str) -> Reply:
    """Return the reply to a request that may have run.

    The log tells the node asked last, and whether its reply was still awaited:
    then this node has ended the request, else the code is that of the attempt.
    The last refusal tells that no other target has taken the request.

    Args:
        request: Request with the attempts made so far.
        code: Code of the failure.
    """
    refusal = request.last_refusal
    log_event(
        "request_outcome_unknown",
        attempt=request.caller.attempt_id.decode("latin-1"),
        route=request.route.name,
        tried=",".join(request.tried_nodes),
        asked=request.last_node,
        in_flight=request.is_in_flight,
        code=code,
        refusal=refusal.code if refusal is not None else "",
    )
    return Reply(Outcome.UNKNOWN, code)


def make_timeout_reply(request: PendingRequest) -> Reply:
    """Return the reply to a request whose deadline has passed.

    Args:
        request: Request with the attempts made so far.
    """
    log_event(
        "request_timed_out",
        attempt=request.caller.attempt_id.decode("latin-1"),
        route=request.route.name,
        tried=",".join(request.tried_nodes),
        asked=request.last_node,
    )
    return Reply(Outcome.UNKNOWN, codes.DEADLINE_EXCEEDED)
