"""Parser of the responses on a connection to a server."""

import httptools

from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse

__all__ = ["ResponseParser"]

_NO_BODY_STATUSES = frozenset((204, 304))


class ResponseParser:
    """Collects whole responses; interim ones are passed over.

    Args:
        is_head: Whether the request was HEAD, whose response has no body.
        body_bytes_max: Longest body accepted, in bytes.

    Attributes:
        is_too_long: Whether a body is over the limit.
    """

    def __init__(self, is_head: bool, body_bytes_max: int):
        self._is_head = is_head
        self._body_bytes_max = body_bytes_max
        self._complete: list[HttpResponse] = []
        self.is_too_long = False
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    @property
    def has_partial(self) -> bool:
        """Whether part of a response has arrived, and not all of it."""
        return self._began

    def feed(self, data: bytes) -> None:
        """Take bytes that arrived; see ``take_complete``.

        Args:
            data: The bytes.

        Raises:
            httptools.HttpParserError: They are no HTTP response. Responses
                that were whole before them can still be taken.
        """
        self._parser.feed_data(data)

    def end(self) -> None:
        """Note the orderly end of the connection, which may end a body."""
        if self._ends_with_connection:
            self._finish()

    def take_complete(self) -> list[HttpResponse]:
        """Return the responses that are whole and not yet returned."""
        complete, self._complete = self._complete, []
        return complete

    def _reset(self) -> None:
        self._headers: list[Header] = []
        self._pieces: list[bytes] = []
        self._body_bytes = 0
        self._status = 0
        self._began = False
        self._closes = True
        self._ends_with_connection = False

    def _finish(self) -> None:
        response = HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=b"".join(self._pieces),
            closes=self._closes,
        )
        self._complete.append(response)
        self._reset()

    # The names of the methods below are those that the library calls.

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._reset()
        self._began = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header line."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out where the body ends."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._status = status
        if self._is_head:
            self._finish()
            return
        self._closes = not self._parser.should_keep_alive()
        names = {name.lower() for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        if not framed and status not in _NO_BODY_STATUSES:
            self._ends_with_connection = True
            self._closes = True

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body."""
        self._body_bytes += len(piece)
        if self._body_bytes > self._body_bytes_max:
            self.is_too_long = True
        else:
            self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Keep the whole response; an interim one is passed over."""
        if self._status and not self._ends_with_connection:
            self._closes = not self._parser.should_keep_alive()
            self._finish()
