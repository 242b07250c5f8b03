"""Replies made by a node itself."""

from kumquatwalk.link.reply import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["INTERNAL_ERROR", "fail_unknown", "refuse"]

_STATUS_BY_CODE = {
    "body_too_large": 413,
    "context_unknown": 403,
    "deadline_exceeded": 504,
    "entry_unknown": 404,
    "forged_ticket": 400,
    "key_required": 428,
    "key_reused": 422,
    "method_unsupported": 405,
    "overloaded": 429,
    "entry_limit": 429,
    "rate_limit": 429,
    "queue_full": 429,
    "target_shed": 429,
    "quarantined": 422,
    "request_malformed": 400,
    "too_deep": 508,
    "unprotected": 409,
}
_STATUS_OTHER = 503
_STATUS_UNKNOWN = 504


def refuse(code: str, tokens: int = 0) -> Reply:
    """Return a reply that promises that the call was not run.

    Args:
        code: Why.
        tokens: Retry tokens handed back.
    """
    status = _STATUS_BY_CODE.get(code, _STATUS_OTHER)
    return Reply(Outcome.NOT_RUN, code, status, tokens=tokens)


def fail_unknown(code: str, tokens: int = 0) -> Reply:
    """Return a reply that promises nothing about whether the call ran."""
    return Reply(Outcome.UNKNOWN, code, _STATUS_UNKNOWN, tokens=tokens)


INTERNAL_ERROR = fail_unknown("internal_error")
