"""Encoding of HTTP/1.1 messages."""

import http

from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse

__all__ = ["encode_request", "encode_response"]

_REASONS = {s.value: s.phrase.encode() for s in http.HTTPStatus}
_BODILESS_METHODS = frozenset(
    (b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE")
)


def encode_request(
    method: bytes, url: bytes, headers: tuple[Header, ...], body: bytes
) -> bytes:
    """Encode a request, with a ``Content-Length`` for its body.

    Args:
        method: HTTP method.
        url: Path and query string.
        headers: Header lines without ``Content-Length`` and
            ``Transfer-Encoding``.
        body: Complete body.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (method, url)]
    lines += [b"%b: %b\r\n" % header for header in headers]
    if body or method not in _BODILESS_METHODS:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def encode_response(
    response: HttpResponse, is_head: bool, closes_connection: bool
) -> bytes:
    """Encode a response, with a ``Content-Length`` for its body.

    Args:
        response: The response; its ``closes_connection`` is not used here.
        is_head: Whether the method is HEAD, whose response has no body.
        closes_connection: Whether to announce that the connection closes.
    """
    reason = _REASONS.get(response.status, b"Status")
    lines = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    lines += [b"%b: %b\r\n" % header for header in response.headers]
    if response.status not in (204, 304):
        lines.append(b"Content-Length: %d\r\n" % len(response.body))
    if closes_connection:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not is_head:
        lines.append(response.body)
    return b"".join(lines)
