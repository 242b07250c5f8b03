"""Answers that a node gives itself, each with a line in the log."""

import random

from kumquatwalk import codes
from kumquatwalk.daemon.pending_request import PendingRequest
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.platform.request_headers import CallerRequest
from kumquatwalk.platform.request_headers import make_retry_after

__all__ = ["answer_late", "answer_unknown", "make_error", "refuse"]

# Shortest delay that a refusal names, in seconds: a few runs of the services in
# view; and the range of the factor by which delays are spread.
RETRY_AFTER_LEAST_S = 0.4
RETRY_AFTER_SPREAD = (0.75, 1.5)


def make_error(status: int, code: str, *headers: Header) -> HttpResponse:
    """Return an answer with a code.

    Args:
        status: HTTP status.
        code: Why.
        *headers: More header lines.
    """
    body = f'{{"error":"{code}"}}\n'.encode()
    content_type = (b"Content-Type", b"application/json")
    return HttpResponse(status, (content_type, *headers), body)


def refuse(
    caller: CallerRequest, code: str, delay_s: float, rng: random.Random
) -> HttpResponse:
    """Return a refusal: the request has not run and will not.

    Args:
        caller: The request.
        code: Why.
        delay_s: Time after which there will be room, in seconds, as far as it
            is known.
        rng: Source of the spread, so that callers do not come back together.
    """
    delay_s = max(delay_s, RETRY_AFTER_LEAST_S)
    delay_s *= rng.uniform(*RETRY_AFTER_SPREAD)
    log_event(
        "request_refused",
        attempt=caller.attempt_id.decode("latin-1"),
        code=code,
        retry_after_s=delay_s,
    )
    return make_error(503, code, make_retry_after(delay_s))


def answer_unknown(request: PendingRequest, code: str) -> HttpResponse:
    """Return the answer to a request that may have run.

    Args:
        request: The request.
        code: Why its outcome is not known.
    """
    log_event(
        "request_outcome_unknown",
        attempt=request.caller.attempt_id.decode("latin-1"),
        route=request.route.name,
        tried=",".join(request.tried),
        code=code,
    )
    return make_error(502, code)


def answer_late(request: PendingRequest) -> HttpResponse:
    """Return the answer to a request whose time has run out.

    Args:
        request: The request.
    """
    log_event(
        "request_timed_out",
        attempt=request.caller.attempt_id.decode("latin-1"),
        route=request.route.name,
        tried=",".join(request.tried),
    )
    return make_error(504, codes.DEADLINE_EXCEEDED)
