"""Answers that the HTTP server gives without its handler."""

from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse

__all__ = ["make_error_response", "make_stopping_response"]

# 503 promises that the request was not run, and 413 that it will not fit later.
_STATUS_BY_CODE = {
    "head_too_long": 431,
    "body_too_long": 413,
    "header_timeout": 408,
    "body_timeout": 408,
    "expectation_unsupported": 417,
    "method_unsupported": 501,
    "coding_unsupported": 501,
    "version_unsupported": 505,
    "memory_exhausted": 503,
    "stopping": 503,
}
# Time after which to retry a request that was refused with 503, in seconds.
RETRY_AFTER_S = 1


def make_error_response(code: str) -> HttpResponse:
    """Return the answer to a request that is not passed on.

    Args:
        code: Code of the error, the answer's body; one that is not known here
            stands for a malformed request.

    Returns:
        The answer; one with status 503 has a ``Retry-After`` header.
    """
    status = _STATUS_BY_CODE.get(code, 400)
    headers = ()
    if status == 503:
        headers = ((b"Retry-After", b"%d" % RETRY_AFTER_S),)
    return HttpResponse(status, headers, code.encode() + b"\n")


def make_stopping_response(request: HttpRequest) -> HttpResponse:
    """Return the refusal of a request that came after the stop.

    Args:
        request: The request; no field is used.
    """
    del request
    return make_error_response("stopping")
