"""Encoding of HTTP answers of the native interface."""

import json

from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["encode_error", "encode_json", "encode_reply"]

_JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
_MESSAGES = {
    Outcome.NOT_RUN: "the request was not run",
    Outcome.UNKNOWN: "whether the request was run is not known",
}
_STATUS_BY_CODE = {
    "body_too_large": 413,
    "context_unknown": 403,
    "entry_limit": 429,
    "entry_unknown": 404,
    "forged_ticket": 400,
    "key_required": 428,
    "key_reused": 422,
    "overloaded": 429,
    "quarantined": 422,
    "queue_full": 429,
    "rate_limit": 429,
    "request_malformed": 400,
    "target_shed": 429,
    "too_deep": 508,
    "unprotected": 409,
}
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 504
_SERVER_ERROR = 500


def encode_reply(reply: Reply) -> HttpResponse:
    """Encode a reply as the HTTP answer to a caller.

    The answer of a target is forwarded unchanged apart from an added outcome
    header; its status tells whether the outcome is failed. Any other reply
    becomes a JSON document with the code and the outcome.
    """
    if reply.outcome is Outcome.DONE:
        is_failed = reply.status >= _SERVER_ERROR
        outcome = Outcome.FAILED if is_failed else Outcome.DONE
        return HttpResponse(
            reply.status,
            reply.headers + (_make_outcome_header(outcome),),
            reply.body,
        )
    status = _STATUS_UNKNOWN
    headers: tuple[Header, ...] = ()
    if reply.outcome is Outcome.NOT_RUN:
        status = _STATUS_BY_CODE.get(reply.code, _STATUS_NOT_RUN)
        if reply.retry_after_s:
            headers = ((b"Retry-After", b"%.3f" % reply.retry_after_s),)
    message = _MESSAGES[reply.outcome]
    return encode_error(status, reply.code, reply.outcome, message, headers)


def encode_error(
    status: int,
    code: str,
    outcome: Outcome,
    message: str,
    headers: tuple[Header, ...] = (),
) -> HttpResponse:
    """Return an error answer that originates at the node.

    Args:
        status: HTTP status.
        code: Machine-readable error code.
        outcome: Outcome of the request.
        message: Human-readable explanation.
        headers: Additional header lines.
    """
    document = {
        "code": code,
        "message": message,
        "outcome": outcome.name.lower(),
    }
    lines = (
        _JSON_CONTENT_TYPE,
        _make_outcome_header(outcome),
        (b"Kumquat-Code", code.encode()),
    )
    body = json.dumps(document).encode() + b"\n"
    return HttpResponse(status, lines + headers, body)


def encode_json(document: object, status: int = 200) -> HttpResponse:
    """Return an answer whose body is a JSON document.

    Args:
        document: Value that ``json.dumps`` accepts.
        status: HTTP status.
    """
    body = json.dumps(document).encode() + b"\n"
    return HttpResponse(status, (_JSON_CONTENT_TYPE,), body)


def _make_outcome_header(outcome: Outcome) -> Header:
    return (b"Kumquat-Outcome", outcome.name.lower().encode())
