"""Incremental parser for HTTP/1.1 responses."""

import httptools

from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.read_limiter import ReadShare

__all__ = ["ResponseParser"]

# Maximum of bytes received before the head of a response is complete. The
# parser keeps an unfinished header line to itself, so received bytes count.
HEAD_BYTES_MAX = 128 * 1024
_NO_BODY_STATUSES = frozenset((204, 304))


class ResponseParser:
    """Parses the responses to one request; interim responses are skipped.

    Args:
        is_head: Whether the method is HEAD, whose responses have no body.
        body_bytes_max: Maximum size of a body, in bytes.
        budget: Bytes of bodies that the process may hold while they are read;
            None for no bound.

    Attributes:
        is_too_long: Whether a body or a head has exceeded its limit.
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
        self._head_bytes = 0
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
            httptools.HttpParserError: A response is malformed. Responses
                completed before it can still be taken.
        """
        self._parser.feed_data(data)
        if not self._is_head_complete and not self._completed:
            self._head_bytes += len(data)
            self.is_too_long |= self._head_bytes > HEAD_BYTES_MAX

    def handle_eof(self) -> None:
        """Complete a response whose body is delimited by the close."""
        if self._is_close_delimited:
            self._finish()

    def take_completed(self) -> list[HttpResponse]:
        """Return and remove the completed responses not returned so far."""
        completed, self._completed = self._completed, []
        return completed

    def release(self) -> None:
        """Release what was reserved for bodies that were read."""
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
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._status = 0
        self._is_head_complete = False
        self._has_started = False
        self._closes_connection = True
        self._is_close_delimited = False

    def _finish(self) -> None:
        response = HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=b"".join(self._body_chunks),
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
        """Add a header line."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited (RFC 9112, section 6.3)."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._is_head_complete = True
        self._head_bytes = 0
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
        self._body_bytes += len(chunk)
        if self._body_bytes > self._body_bytes_max or self.is_too_long:
            self.is_too_long = True
        elif self._try_reserve(len(chunk)):
            self._body_chunks.append(chunk)
        else:
            self.is_too_long = True

    def on_message_complete(self) -> None:
        """Store the completed response unless it is an interim one."""
        if self._status and not self._is_close_delimited:
            self._closes_connection = not self._parser.should_keep_alive()
            self._finish()
