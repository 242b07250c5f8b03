"""Parser of one HTTP answer of a target."""

import httptools

from kumquatwalk.gateway.headers import is_forwarded

__all__ = ["AnswerParser"]

_NOT_RUN_HEADER = b"kumquat-not-run"


class AnswerParser:
    """Collects one answer from the bytes of a connection.

    Args:
        is_head: Whether the request was HEAD, whose answer has no body.
        body_bytes_max: Longest body accepted.

    Attributes:
        is_complete: Whether the whole answer has arrived.
        is_too_long: Whether the body is over the limit.
        is_not_run: Whether the target says that it did not run the call.
        should_keep_alive: Whether the connection may carry another call.
    """

    def __init__(self, is_head: bool, body_bytes_max: int):
        self.is_complete = False
        self.is_too_long = False
        self.is_not_run = False
        self.should_keep_alive = False
        self._is_head = is_head
        self._body_bytes_max = body_bytes_max
        self._body_bytes = 0
        self._lines: list[bytes] = []
        self._pieces: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._parser.get_status_code()

    @property
    def headers(self) -> bytes:
        """Header lines to pass on, each ended by CR LF."""
        return b"".join(self._lines)

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._pieces)

    def feed(self, data: bytes) -> None:
        """Take bytes that arrived.

        Raises:
            httptools.HttpParserError: They are not an HTTP answer.
        """
        self._parser.feed_data(data)

    # The names of the methods below are those that the library calls.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header line, if it is one to pass on."""
        lower_name = name.lower()
        if is_forwarded(lower_name):
            self._lines.append(b"%b: %b\r\n" % (name, value))
        elif lower_name == _NOT_RUN_HEADER:
            self.is_not_run = value == b"1"

    def on_headers_complete(self) -> None:
        """Note whether the connection stays, and an end without a body."""
        self.should_keep_alive = self._parser.should_keep_alive()
        if self._is_head and self.status >= 200:
            self.is_complete = True

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body."""
        self._body_bytes += len(piece)
        if self._body_bytes > self._body_bytes_max:
            self.is_too_long = True
            return
        self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Note the end of the answer; an interim one is passed over."""
        if self.status >= 200:
            self.is_complete = True
            return
        self._lines.clear()
