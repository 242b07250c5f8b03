"""Bytes received from a client that are not parsed yet."""

from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.request_parser import RequestParser

__all__ = ["ReceivedInput"]

# Bytes parsed at once beyond the end of a body of known size, the first time
# and while requests are in progress. They bound how many small requests one
# step takes in.
FIRST_SLICE_BYTES = 4096
NEXT_SLICE_BYTES = 1024


class ReceivedInput:
    """Passes received bytes on to a parser in slices.

    A client may send thousands of small requests in one piece; those that are
    not taken yet stay here as plain bytes.

    Args:
        parser: Parser of the connection's requests.

    Attributes:
        size: Number of bytes that are not parsed, the last of those received.
    """

    def __init__(self, parser: RequestParser):
        self._parser = parser
        self._data = b""
        self.size = 0

    def add(self, data: bytes) -> None:
        """Add received bytes.

        Args:
            data: The bytes.
        """
        self._data = self._data[-self.size :] + data if self.size else data
        self.size = len(self._data)

    def clear(self) -> None:
        """Drop the bytes."""
        self._data, self.size = b"", 0

    def parse_next(self, now: float, is_behind: bool) -> list[HttpRequest]:
        """Parse the next slice and return the requests now complete.

        Args:
            now: Time at which the bytes were received, in seconds.
            is_behind: Whether other requests are in progress.

        Raises:
            RequestError: See ``RequestParser.feed``.
        """
        # Of a body in chunks it is not known where it ends. Requests of the
        # same piece may follow any body.
        slice_bytes = NEXT_SLICE_BYTES
        if self._parser.is_in_body or not is_behind:
            slice_bytes = FIRST_SLICE_BYTES
        size = min(self.size, max(slice_bytes, self._parser.missing_body_bytes))
        start = len(self._data) - self.size
        data = self._data[start : start + size]
        self.size -= size
        if not self.size:
            self.clear()
        return self._parser.feed(data, now)
