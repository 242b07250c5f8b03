"""Headers of one connection, which are not passed on."""

from kumquatwalk.http1.message import Header

__all__ = ["HOP_BY_HOP", "list_end_to_end"]

# Names of headers that concern one connection only, in lower case.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def list_end_to_end(
    headers: tuple[Header, ...], removed: frozenset[bytes] = frozenset()
) -> tuple[Header, ...]:
    """Return the headers that are passed on (RFC 9110, section 7.6.1).

    Args:
        headers: Header lines of a message.
        removed: More names to leave out, in lower case.

    Returns:
        The lines without those of one connection, among them all that a
        ``Connection`` header names.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(p.strip().lower() for p in value.split(b","))
    dropped = HOP_BY_HOP | named | removed
    return tuple(h for h in headers if h[0].lower() not in dropped)
