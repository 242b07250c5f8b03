"""Decoding of requests of the native interface."""

import hashlib
import secrets

from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.exception import RequestError
from kumquatwalk.http1.headers import remove_hop_by_hop
from kumquatwalk.http1.message import Header
from kumquatwalk.native import names

__all__ = ["decode_caller_request", "digest_request", "find_route"]

_MS = 1000
_REQUEST_ID_BYTES = 16
_TIMEOUT_DIGITS_MAX = 9
# Headers that callers and targets exchange with nodes, not with each other.
_NODE_HEADERS = frozenset(
    (
        names.HEADER_CONTEXT,
        names.HEADER_IDEMPOTENCY_KEY,
        names.HEADER_REQUEST_ID,
        names.HEADER_TICKET,
        names.HEADER_TIMEOUT_MS,
    )
)


def decode_caller_request(
    headers: tuple[Header, ...], request_id: bytes = b""
) -> CallerRequest:
    """Decode the headers of a request.

    Args:
        headers: Header lines as received.
        request_id: Identifier of the root request; if empty, a new one is
            generated.

    Returns:
        The timeout, if the caller gives one, and the headers to be forwarded.

    Raises:
        RequestError: The timeout is malformed (code ``request_malformed``).
    """
    new_id = secrets.token_hex(_REQUEST_ID_BYTES).encode("ascii")
    return CallerRequest(
        attempt_id=request_id or new_id,
        host="",
        timeout_s=_parse_timeout(headers),
        headers=remove_hop_by_hop(headers, _NODE_HEADERS),
    )


def digest_request(method: bytes, url: bytes, body: bytes) -> bytes:
    """Return a digest of a request, equal for all its repeats.

    Args:
        method: HTTP method.
        url: Path with the query string.
        body: Complete body.
    """
    digest = hashlib.sha256(method + b"\0" + url)
    digest.update(b"\0" + body)
    return digest.digest()


def find_route(config: FleetConfig, url: bytes) -> Route | None:
    """Return the route of a URL; None if its entry is unknown.

    Args:
        config: Configuration in force.
        url: Path with the query string; the first path segment is the name of
            the entry.
    """
    path = url.partition(b"?")[0]
    name = path[1:].partition(b"/")[0].decode("latin-1")
    return config.routes_by_name.get(name)


def _parse_timeout(headers: tuple[Header, ...]) -> float | None:
    for name, text in headers:
        if name.lower() == names.HEADER_TIMEOUT_MS:
            if not text.isdigit() or len(text) > _TIMEOUT_DIGITS_MAX:
                raise RequestError(
                    "request_malformed",
                    "timeout is not a whole number of up to 9 digits",
                )
            return int(text) / _MS
    return None
