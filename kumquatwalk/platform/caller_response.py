"""Encoder of replies as the HTTP responses that the platform defines."""

from kumquatwalk import codes
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["encode_reply"]

# 503 guarantees that the request has not run and will not run; after 502 and
# 504 it may have run.
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502
# Statuses of refusals with these codes.
_STATUS_REFUSED = {
    codes.API_KEY_INVALID: 401,
    codes.ATTEMPT_ID_MISSING: 400,
    codes.ENTRY_UNKNOWN: 404,
    codes.TEAM_CAP: 429,
}
# Statuses after which the caller may send the request again.
_RETRYABLE_STATUSES = (429, _STATUS_NOT_RUN)
_STATUS_BY_CODE = {
    codes.DEADLINE_EXCEEDED: 504,
}
_CONTENT_TYPE = (b"Content-Type", b"application/json")


def encode_reply(reply: Reply, attempt_id: bytes) -> HttpResponse:
    """Encode a reply as the HTTP response to a caller.

    A completed request gets the target's status, headers and body. Any other
    reply gets a JSON body with its error code and, if the request has not run
    and may be retried, a ``Retry-After`` header.

    Args:
        reply: Outcome of the request, with the target's response if it has
            completed.
        attempt_id: Attempt identifier of the request. It is added as the
            ``Attempt-Id`` that the target echoed, see ``list_answer_headers``.
    """
    if reply.outcome is Outcome.DONE:
        headers = ((b"Attempt-Id", attempt_id), *reply.headers)
        return HttpResponse(reply.status, headers, reply.body)
    headers = (_CONTENT_TYPE,)
    if reply.outcome is Outcome.NOT_RUN:
        status = _STATUS_REFUSED.get(reply.code, _STATUS_NOT_RUN)
        if status in _RETRYABLE_STATUSES:
            headers += ((b"Retry-After", b"%.3f" % reply.retry_after_s),)
    else:
        status = _STATUS_BY_CODE.get(reply.code, _STATUS_UNKNOWN)
    body = f'{{"error":"{reply.code}"}}\n'.encode()
    return HttpResponse(status, headers, body)
