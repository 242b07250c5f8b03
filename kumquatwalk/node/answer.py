"""HTTP answers made from replies."""

import json

from kumquatwalk.gateway.response import HttpResponse
from kumquatwalk.link.reply import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["make_answer", "make_error", "make_json"]

_JSON = b"Content-Type: application/json\r\n"
_OUTCOME_LINES = {
    outcome: b"Kumquat-Outcome: %b\r\n" % outcome.name.lower().encode()
    for outcome in Outcome
}
_MESSAGES = {
    Outcome.NOT_RUN: "the request was not run",
    Outcome.FAILED: "the target ran the request and failed",
    Outcome.UNKNOWN: "whether the request was run is not known",
}


def make_answer(reply: Reply) -> HttpResponse:
    """Return the HTTP answer for a reply.

    An answer of a target is passed on whole; everything else becomes a JSON
    document with the code and the outcome.
    """
    if not reply.code or reply.headers or reply.body:
        return HttpResponse(
            reply.status,
            reply.headers + _OUTCOME_LINES[reply.outcome],
            reply.body,
        )
    message = _MESSAGES.get(reply.outcome, "")
    return make_error(reply.status, reply.code, reply.outcome, message)


def make_error(
    status: int, code: str, outcome: Outcome, message: str
) -> HttpResponse:
    """Return an answer that a node makes itself."""
    lines = _OUTCOME_LINES[outcome] + b"Kumquat-Code: %b\r\n" % code.encode()
    document = {
        "code": code,
        "message": message,
        "outcome": outcome.name.lower(),
    }
    body = json.dumps(document).encode() + b"\n"
    return HttpResponse(status, _JSON + lines, body)


def make_json(document: object, status: int = 200) -> HttpResponse:
    """Return an answer with a JSON document."""
    return HttpResponse(status, _JSON, json.dumps(document).encode() + b"\n")
