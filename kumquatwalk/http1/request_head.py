"""Checks and normal form of a request head (RFC 9110 and RFC 9112)."""

from collections.abc import Sequence

from kumquatwalk.exception import RequestError
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import list_values

__all__ = [
    "CHECKED_HEADERS",
    "check_head",
    "encode_without_upgrade",
    "make_origin_form",
]

# Names of the headers that ``check_head`` looks at, in lower case.
CHECKED_HEADERS = frozenset(
    (b"content-length", b"expect", b"host", b"transfer-encoding")
)

_VERSIONS = ("1.0", "1.1")
_SCHEMES = (b"http://", b"https://")


def check_head(
    method: bytes, url: bytes, version: str, headers: Sequence[Header]
) -> None:
    """Refuse a request that a target could understand in another way.

    Args:
        method: HTTP method.
        url: Request target as received.
        version: Version of HTTP, such as ``1.1``.
        headers: Header lines of the head; ``CHECKED_HEADERS`` suffice.

    Raises:
        RequestError: The version, method, transfer coding or expectation is not
            supported, or the head contradicts itself.
    """
    if version not in _VERSIONS:
        raise RequestError("version_unsupported", f"version {version}")
    if method == b"CONNECT":
        raise RequestError("method_unsupported", "method CONNECT")
    if b"#" in url:
        raise RequestError("request_malformed", "request target has a fragment")
    if len(list_values(headers, b"host")) > 1:
        raise RequestError("request_malformed", "more than one Host line")
    codings = list_values(headers, b"transfer-encoding")
    if codings:
        _check_codings(codings, version)
    if method == b"TRACE" and (codings or _announces_body(headers)):
        raise RequestError("request_malformed", "TRACE with a body")
    for value in list_values(headers, b"expect"):
        if value.strip().lower() != b"100-continue":
            raise RequestError("expectation_unsupported", "unknown expectation")


def encode_without_upgrade(
    method: bytes, url: bytes, version: str, headers: tuple[Header, ...]
) -> bytes:
    """Return a request head without the offer to upgrade the connection.

    A server ignores an offer that it does not want (RFC 9110, section 7.8).

    Args:
        method: HTTP method.
        url: Request target as received.
        version: Version of HTTP, such as ``1.1``.
        headers: Header lines of the head.
    """
    lines = [b"%b %b HTTP/%b\r\n" % (method, url, version.encode())]
    for name, value in headers:
        if name.lower() == b"upgrade":
            continue
        if name.lower() == b"connection":
            options = (option.strip() for option in value.split(b","))
            value = b", ".join(o for o in options if o.lower() != b"upgrade")
        lines.append(b"%b: %b\r\n" % (name, value))
    lines.append(b"\r\n")
    return b"".join(lines)


def make_origin_form(
    url: bytes, headers: tuple[Header, ...]
) -> tuple[bytes, tuple[Header, ...]]:
    """Return a request target in origin form, and the headers with its host.

    The authority of a target in absolute form replaces the ``Host`` header (RFC
    9112, section 3.2.2).

    Args:
        url: Request target as received.
        headers: Header lines of the head.

    Raises:
        RequestError: The authority is empty or has user information.
    """
    if url.startswith(b"/"):
        return url, headers
    scheme = next((s for s in _SCHEMES if url.lower().startswith(s)), None)
    if scheme is None:
        return url, headers
    rest = url[len(scheme) :]
    end = min(
        (i for i in (rest.find(b"/"), rest.find(b"?")) if i >= 0),
        default=len(rest),
    )
    authority, path = rest[:end], rest[end:]
    if not authority or b"@" in authority:
        raise RequestError("request_malformed", "authority is malformed")
    if not path.startswith(b"/"):
        path = b"/" + path
    others = tuple(h for h in headers if h[0].lower() != b"host")
    return path, ((b"Host", authority), *others)


def _check_codings(codings: list[bytes], version: str) -> None:
    if version == "1.0":
        raise RequestError(
            "request_malformed", "Transfer-Encoding in a request of HTTP/1.0"
        )
    if [c.strip().lower() for c in codings] != [b"chunked"]:
        # The body would reach the target in another coding than it says.
        raise RequestError("coding_unsupported", "transfer coding")


def _announces_body(headers: Sequence[Header]) -> bool:
    return any(v.strip(b"0") for v in list_values(headers, b"content-length"))
