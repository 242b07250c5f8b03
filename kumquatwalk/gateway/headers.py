"""Header lines passed on between callers, nodes and targets."""

from collections.abc import Iterable
from collections.abc import Mapping

from kumquatwalk.http1.headers import HOP_BY_HOP

__all__ = ["join_headers", "list_forwarded", "split_headers"]

_NOT_PASSED_ON = HOP_BY_HOP | {b"host"}
_OWN_PREFIX = b"kumquat-"


def list_forwarded(headers: Mapping[bytes, bytes]) -> bytes:
    """Return the header lines that a request carries to the target.

    Headers of one connection and those that nodes set themselves are left
    out, so that no caller can set them.

    Args:
        headers: Values by name, as the caller sent them.

    Returns:
        Header lines, each ended by CR LF.

    Example:
        >>> list_forwarded({b"Accept": b"*/*", b"Kumquat-Context": b"x"})
        b'Accept: */*\\r\\n'
    """
    return join_headers(
        (name, value)
        for name, value in headers.items()
        if is_forwarded(name.lower())
    )


def is_forwarded(lower_name: bytes) -> bool:
    """Return whether a header of that lower-case name is passed on."""
    return lower_name not in _NOT_PASSED_ON and not lower_name.startswith(
        _OWN_PREFIX
    )


def join_headers(pairs: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return header lines, each ended by CR LF."""
    return b"".join(b"%b: %b\r\n" % pair for pair in pairs)


def split_headers(lines: bytes) -> list[tuple[str, str]]:
    """Return names and values of header lines, decoded as ISO 8859-1."""
    pairs = []
    for line in lines.decode("latin-1").split("\r\n"):
        name, separator, value = line.partition(": ")
        if separator:
            pairs.append((name, value))
    return pairs
