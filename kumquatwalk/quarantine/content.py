"""Content of a request, by which its repeats are recognized."""

import functools

from kumquatwalk.quarantine.fingerprint import make_fingerprint

__all__ = ["RequestContent"]


class RequestContent:
    """Content of a request, hashed only when its fingerprint is needed.

    Args:
        entry: Name of the entry called.
        method: HTTP method.
        url: Path with the query string.
        body: Body of the request.
    """

    def __init__(self, entry: str, method: bytes, url: bytes, body: bytes):
        self._entry = entry
        self._method = method
        self._url = url
        self._body = body

    @functools.cached_property
    def fingerprint(self) -> bytes:
        """Fingerprint, the same for all repeats of the request."""
        return make_fingerprint(
            self._entry, self._method.decode("latin-1"), self._url, self._body
        )
