"""Decoder and encoder of the request headers that the platform defines."""

from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.http1.headers import remove_hop_by_hop
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import index_headers
from kumquatwalk.platform import names

__all__ = [
    "decode_caller_request",
    "find_attempt_id",
    "make_retry_after",
    "make_target_headers",
]

_MS_PER_S = 1000
# Longer deadlines are cut to one day.
_DEADLINE_MS_MAX = 86_400_000
# Nodes set these headers on requests to targets; a caller's values are dropped.
_NODE_HEADERS = frozenset(
    (
        names.HEADER_CALLER_SERVICE,
        names.HEADER_DEADLINE_MS,
        names.HEADER_TARGET_ID_EXPECTED,
    )
)


def decode_caller_request(request: HttpRequest) -> CallerRequest:
    """Decode the headers of a caller's request.

    Of a header that is repeated, the first value counts.

    Args:
        request: Request as received from the caller.

    Returns:
        Attempt identifier (empty if missing), host without its port, timeout
        in seconds (None if missing or malformed) and the headers to forward.
    """
    values = index_headers(request.headers)
    host = values.get(b"host", b"").decode("latin-1")
    return CallerRequest(
        attempt_id=values.get(names.HEADER_ATTEMPT_ID, b""),
        host=host.rpartition(":")[0] if ":" in host else host,
        timeout_s=_read_timeout(values.get(names.HEADER_DEADLINE_MS)),
        headers=remove_hop_by_hop(request.headers, _NODE_HEADERS),
    )


def find_attempt_id(request: HttpRequest) -> str:
    """Return the attempt identifier of a caller's request; empty if missing.

    Args:
        request: Request as received from the caller.
    """
    value = request.find_header(names.HEADER_ATTEMPT_ID) or b""
    return value.decode("latin-1")


def make_target_headers(
    headers: tuple[Header, ...],
    caller_service: str,
    target_id: str,
    remaining_s: float,
) -> tuple[Header, ...]:
    """Return the headers with which a request is sent to its target.

    Args:
        headers: Header lines of the caller to forward.
        caller_service: Service of the VM on which the request originated.
        target_id: Only target that may run the request.
        remaining_s: Time until the deadline, in seconds; at least 1 ms is
            sent.
    """
    remaining_ms = max(1, int(remaining_s * _MS_PER_S))
    return headers + (
        (b"Deadline-Ms", b"%d" % remaining_ms),
        (b"Expect-Instance", target_id.encode("latin-1", "replace")),
        (b"Caller-Service", caller_service.encode("latin-1", "replace")),
    )


def make_retry_after(delay_s: float) -> Header:
    """Return a ``Retry-After`` header.

    Args:
        delay_s: Time after which the caller may retry, in seconds.
    """
    return (b"Retry-After", b"%.3f" % delay_s)


def _read_timeout(value: bytes | None) -> float | None:
    if value is None or not value.isdigit() or len(value) > 12:
        return None
    return min(int(value), _DEADLINE_MS_MAX) / _MS_PER_S
