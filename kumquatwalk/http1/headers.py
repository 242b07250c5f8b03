"""Filtering of hop-by-hop headers."""

from kumquatwalk.http1.message import Header

__all__ = ["HOP_BY_HOP", "remove_hop_by_hop"]

# Names of headers that apply to a single connection, in lower case.
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


def remove_hop_by_hop(
    headers: tuple[Header, ...], excluded: frozenset[bytes] = frozenset()
) -> tuple[Header, ...]:
    """Return the headers to forward (RFC 9110, section 7.6.1).

    Args:
        headers: Header lines of a message.
        excluded: Further names to leave out, in lower case.

    Returns:
        The header lines in order, without hop-by-hop headers, headers named
        by a ``Connection`` header and excluded ones.
    """
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options.update(
                p.strip().lower() for p in value.split(b",")
            )
    skipped = HOP_BY_HOP | connection_options | excluded
    return tuple(h for h in headers if h[0].lower() not in skipped)
