"""Decoder of the status and headers of a target's response."""

import re

from kumquatwalk.http1.headers import remove_hop_by_hop
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.message import index_headers
from kumquatwalk.http1.response_match import ResponseMatch
from kumquatwalk.platform import names
from kumquatwalk.targets.rate_limit import NO_RATE_LIMIT
from kumquatwalk.targets.rate_limit import RateLimit
from kumquatwalk.targets.response import ResponseCheck

__all__ = [
    "decode_target_response",
    "is_health_answer",
    "list_response_headers",
    "read_target_id",
    "read_target_slots",
    "read_target_slowness",
]

# Numbers of running and waiting requests, slots and, optionally, how long work
# takes now, normally 100. Only the last two are used.
_LOAD_PATTERN = re.compile(
    rb"[^,]*,[^,]*,\s*(\d{1,9})\s*(?:,\s*(\d{1,6}(?:\.\d{1,6})?)\s*)?", re.ASCII
)
_SLOWNESS_NORMAL = 100.0
_RATE_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,9})?", re.ASCII)
# Statuses with which the not-run header of a target counts.
_NOT_RUN_STATUSES = frozenset((400, 429, 503))
# Status that says, without that header too, that the request was meant for
# another target and was not run.
_STATUS_REPLACED = 421


def decode_target_response(
    response: HttpResponse, attempt_id: bytes
) -> ResponseCheck:
    """Decode what a target's response says of a request.

    A success must echo the attempt identifier to count as the response to this
    request. An error may leave it out; it then names no request.

    Args:
        response: Response read from the connection of the request.
        attempt_id: Attempt identifier with which the request was sent.

    Returns:
        Which request the response names, whether it is unaltered, says that
        the request was not run, comes from another target, and what the target
        says of itself.
    """
    values = index_headers(response.headers)
    is_replaced = response.status == _STATUS_REPLACED
    was_not_run = is_replaced or (
        response.status in _NOT_RUN_STATUSES and names.HEADER_NOT_RUN in values
    )
    echoed = values.get(names.HEADER_ATTEMPT_ID)
    is_success = 200 <= response.status < 300
    if echoed is None:
        match = ResponseMatch.OTHER if is_success else ResponseMatch.UNNAMED
    else:
        is_own = echoed == attempt_id
        match = ResponseMatch.OWN if is_own else ResponseMatch.OTHER
    # A success that lacks the signature or has a content encoding was altered
    # on its way.
    is_complete = not is_success or (
        names.HEADER_SIGNATURE in values and b"content-encoding" not in values
    )
    return ResponseCheck(
        match=match,
        is_complete=is_complete,
        was_not_run=was_not_run,
        is_replaced=is_replaced,
        is_leaving=names.HEADER_LEAVING in values,
        rate_limit=_read_rate_limit(values.get(names.HEADER_RATE_LIMIT)),
        slowness=_read_slowness(values.get(names.HEADER_TARGET_LOAD)),
    )


def list_response_headers(
    headers: tuple[Header, ...], attempt_id: bytes
) -> tuple[Header, ...]:
    """Return the end-to-end headers without the echoed attempt identifier.

    The node of the caller knows the identifier, and ``encode_reply`` adds it
    there. Leaving it out saves traffic between zones, which is expensive.

    Args:
        headers: Header lines of a target's response.
        attempt_id: Attempt identifier with which the request was sent.
    """
    return tuple(
        (name, value)
        for name, value in remove_hop_by_hop(headers)
        if value != attempt_id or name.lower() != names.HEADER_ATTEMPT_ID
    )


def is_health_answer(response: HttpResponse) -> bool:
    """Return whether a response is surely one to a health check.

    It names the target and no request. The refusal of a request that is meant
    for another target may do so too, with a status of its own.

    Args:
        response: Response of a target.
    """
    return (
        response.status != _STATUS_REPLACED
        and bool(read_target_id(response))
        and response.find_header(names.HEADER_ATTEMPT_ID) is None
    )


def read_target_id(response: HttpResponse) -> str:
    """Return the target identifier in a response; empty if it has none."""
    value = response.find_header(names.HEADER_TARGET_ID) or b""
    return value.decode("latin-1")


def read_target_slots(response: HttpResponse) -> int:
    """Return the number of slots in a response; 0 if missing or malformed."""
    value = response.find_header(names.HEADER_TARGET_LOAD) or b""
    match = _LOAD_PATTERN.fullmatch(value)
    return int(match[1]) if match else 0


def read_target_slowness(response: HttpResponse) -> float | None:
    """Return how long work takes at the target, over the normal time.

    Returns:
        The slowness, above 0; None if the response does not say it, or says it
        in a header that is malformed.
    """
    return _read_slowness(response.find_header(names.HEADER_TARGET_LOAD))


def _read_slowness(value: bytes | None) -> float | None:
    # Most targets report three figures; counting is cheaper than matching.
    if value is None or value.count(b",") != 3:
        return None
    match = _LOAD_PATTERN.fullmatch(value)
    return (float(match[2]) / _SLOWNESS_NORMAL or None) if match else None


def _read_rate_limit(value: bytes | None) -> RateLimit:
    if value is None:
        return NO_RATE_LIMIT
    if not _RATE_PATTERN.fullmatch(value):
        return RateLimit(True, None)
    return RateLimit(True, float(value))
