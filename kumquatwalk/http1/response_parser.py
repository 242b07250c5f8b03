"""Incremental parser for HTTP/1.1 responses."""

import httptools

from kumquatwalk.http1.body_buffer import BodyBuffer
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.read_limiter import ReadShare

__all__ = ["ResponseParser"]

# Maximum of bytes received before the head of a response is complete, or since
# the last byte of its body. The parser keeps an unfinished header line to
# itself, so received bytes count.
HEAD_BYTES_MAX = 128 * 1024
# Maximum number of header lines, trailers included.
HEADERS_MAX = 1000
# Memory that a header line takes beside its name and value, in bytes. It is
# counted for lines beyond the usual number.
_HEADER_OVERHEAD_BYTES = 200
_USUAL_HEADERS = 50
_NO_BODY_STATUSES = frozenset((204, 304))
# Statuses outside of these, and one that switches protocols, which no request
# asks for, are invalid (RFC 9110, section 15).
STATUS_MIN = 100
STATUS_MAX = 599
SWITCHING_PROTOCOLS = 101


class ResponseParser:
    """Parses the responses to one request; interim responses are skipped.

    Args:
        is_head: Whether the method is HEAD, whose responses have no body.
        body_bytes_max: Maximum size of a body, in bytes.
        budget: Bytes of responses, heads and trailers included, that the
            process may hold while they are read; None for no bound.

    Attributes:
        is_too_long: Whether a body, a head or the trailers have exceeded their
            limit, or a body has come in too many parts.
        has_invalid_status: Whether a response has a status that is none.
    """

    def __init__(
        self,
        is_head: bool,
        body_bytes_max: int,
        budget: ByteBudget | ReadShare | None = None,
    ):
        self._is_head = is_head
        self._body_bytes_max = body_bytes_max
        self._budget = budget
        self._reserved_bytes = 0
        self._completed: list[HttpResponse] = []
        self.is_too_long = False
        self.has_invalid_status = False
        # Bytes received that are not of a body, since the last that were.
        self._head_bytes = 0
        self._has_body_data = False
        self._has_header = False
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    @property
    def has_partial(self) -> bool:
        """Whether a response has been received only in part."""
        return self._has_started

    def feed(self, data: bytes) -> None:
        """Parse received bytes; ``take_completed`` returns the responses.

        Args:
            data: Received bytes.

        Raises:
            httptools.HttpParserError: A response is malformed or too long, or
                its status is invalid.
                Responses completed before it can still be taken.
        """
        self._has_body_data = self._has_header = False
        self._parser.feed_data(data)
        if self._has_body_data or self._completed:
            self._head_bytes = 0
            return
        self._head_bytes += len(data)
        # The parser holds the header line, if any, that it has not reported.
        has_room = self._has_header or self._try_reserve(len(data))
        self.is_too_long |= not has_room or self._head_bytes > HEAD_BYTES_MAX

    def handle_eof(self) -> None:
        """Complete a response whose body is delimited by the close."""
        if self._is_close_delimited:
            self._finish()

    def take_completed(self) -> list[HttpResponse]:
        """Return and remove the completed responses not returned so far."""
        completed, self._completed = self._completed, []
        return completed

    def release(self) -> None:
        """Drop what was received in part, and release what was reserved.

        Nothing may be fed afterwards. The parser is part of a reference cycle,
        so it may exist for long.
        """
        self._completed.clear()
        self._reset()
        if self._budget is not None:
            self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _try_reserve(self, size: int) -> bool:
        if self._budget is None:
            return True
        if not self._budget.try_reserve(size):
            return False
        self._reserved_bytes += size
        return True

    def _reset(self) -> None:
        self._headers: list[Header] = []
        self._body = BodyBuffer()
        self._status = 0
        self._has_started = False
        self._closes_connection = True
        self._is_close_delimited = False

    def _finish(self) -> None:
        response = HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=self._body.join(),
            closes_connection=self._closes_connection,
        )
        self._completed.append(response)
        self._reset()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._reset()
        self._has_started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header line or a trailer."""
        self._check_length()
        self._has_header = True
        size = len(name) + len(value)
        if len(self._headers) >= _USUAL_HEADERS:
            size += _HEADER_OVERHEAD_BYTES
        if len(self._headers) >= HEADERS_MAX:
            self.is_too_long = True
        elif self._try_reserve(size):
            self._headers.append((name, value))
        else:
            self.is_too_long = True

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited (RFC 9112, section 6.3)."""
        status = self._parser.get_status_code()
        is_in_range = STATUS_MIN <= status <= STATUS_MAX
        if not is_in_range or status == SWITCHING_PROTOCOLS:
            self.has_invalid_status = True
            raise ValueError(f"status {status:03}")
        if status < 200:
            return
        self._status = status
        if self._is_head:
            self._finish()
            return
        self._closes_connection = not self._parser.should_keep_alive()
        names = {name.lower() for name, _ in self._headers}
        has_framing = (
            b"content-length" in names or b"transfer-encoding" in names
        )
        if not has_framing and status not in _NO_BODY_STATUSES:
            self._is_close_delimited = True
            self._closes_connection = True

    def on_body(self, chunk: bytes) -> None:
        """Add a part of the body."""
        self._check_length()
        self._has_body_data = True
        size = self._body.size + len(chunk)
        if size <= self._body_bytes_max and self._try_reserve(len(chunk)):
            self._body.add(chunk)
            self.is_too_long = self._body.is_fragmented
        else:
            self.is_too_long = True

    def _check_length(self) -> None:
        """Let the parser parse no more of a response that is too long."""
        if self.is_too_long:
            raise ValueError("response exceeds a limit")

    def on_message_complete(self) -> None:
        """Store the completed response unless it is an interim one."""
        if self._status and not self._is_close_delimited:
            self._closes_connection = not self._parser.should_keep_alive()
            self._finish()
