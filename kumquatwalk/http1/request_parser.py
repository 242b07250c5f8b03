"""Incremental parser for HTTP/1.1 requests."""

import httptools

from kumquatwalk.exception import RequestError
from kumquatwalk.http1.body_buffer import PART_BYTES_MIN
from kumquatwalk.http1.body_buffer import BodyBuffer
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import find_header
from kumquatwalk.http1.request_head import CHECKED_HEADERS
from kumquatwalk.http1.request_head import check_head
from kumquatwalk.http1.request_head import encode_without_upgrade
from kumquatwalk.http1.request_head import make_origin_form

__all__ = ["RequestParser"]

HEADERS_MAX = 200
# Bytes beyond the maximum of a head that are taken in at once with it, as the
# parser reports a header line only when it is complete.
_UNREPORTED_BYTES_MAX = 16384
# Memory that a header line takes beside its name and value, in bytes.
_HEADER_OVERHEAD_BYTES = 160
# Parts of a body with under ``PART_BYTES_MIN`` bytes on average that are always
# taken: a body of 24 KB may come in single bytes.
PARTS_MAX = 32 * 1024
# Parts after which they are counted, each time; fewer do not count.
_PARTS_STEP = 1024


class RequestParser:
    """Parses the requests on one connection, which may be pipelined.

    ``httptools``, strict by default, rejects requests with two lengths, with a
    length and chunked encoding, or with malformed chunks. An offer to upgrade
    the connection is ignored; trailers are discarded.

    Args:
        header_bytes_max: Maximum size of a request head, in bytes.
        body_bytes_max: Maximum size of a body, in bytes.
        budget: Bytes of bodies that the process may hold; None for no bound. A
            body that announces its size is reserved for before it is read. What
            a completed request has reserved is its receiver's to release.
        part_budget: Small parts that unfinished bodies may have come in
            together, in steps of 1,024 for each body; None for no bound.

    Attributes:
        peer_host: IP address of the caller, copied into each request; empty
            if unknown.
        accepts_interim: Whether interim answers may be sent: no request of
            HTTP/1.0 was received (RFC 9110, section 15.2).
    """

    def __init__(
        self,
        header_bytes_max: int,
        body_bytes_max: int,
        budget: ByteBudget | None = None,
        part_budget: ByteBudget | None = None,
    ):
        self._header_bytes_max = header_bytes_max
        self._body_bytes_max = body_bytes_max
        self._budget = budget
        self._reserved_bytes = 0
        self._part_budget = part_budget
        self._reserved_parts = 0
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[HttpRequest] = []
        self._now = 0.0
        # Code and message of the error. An exception would keep, by its
        # traceback, the bytes that were fed, until the parser is collected.
        self._failure: tuple[str, str] | None = None
        # Head that is parsed again without its offer to upgrade.
        self._plain_head = b""
        self._plain_started_at = 0.0
        self.peer_host = ""
        self.accepts_interim = True
        self._reset()

    @property
    def is_in_head(self) -> bool:
        """Whether a request head has been received only in part."""
        return self._has_started and not self._is_head_complete

    @property
    def is_in_body(self) -> bool:
        """Whether a head has been received, and its body only in part."""
        return self._has_started and self._is_head_complete

    @property
    def head_bytes(self) -> int:
        """Memory of the head of the request received in part, in bytes."""
        lines = len(self._headers)
        size = max(self._head_bytes, self._unreported_bytes)
        return size + lines * _HEADER_OVERHEAD_BYTES

    @property
    def reserved_bytes(self) -> int:
        """Bytes reserved for the body of the request received in part."""
        return self._reserved_bytes

    @property
    def reserved_parts(self) -> int:
        """Small parts reserved for the body of the request received in part."""
        return self._reserved_parts

    @property
    def missing_body_bytes(self) -> int:
        """Bytes of an announced body to come; 0 if its size is not known."""
        if not self.is_in_body:
            return 0
        return max(0, self._announced_bytes - self._body.size)

    @property
    def is_in_message(self) -> bool:
        """Whether a request has been received only in part."""
        return self._has_started

    @property
    def started_at(self) -> float:
        """Time at which the first byte of the current request was read."""
        return self._started_at

    def feed(self, data: bytes, now: float) -> list[HttpRequest]:
        """Parse received bytes and return the requests now complete.

        Args:
            data: Received bytes.
            now: Current time, in seconds.

        Returns:
            Completed requests, in the order of receipt.

        Raises:
            RequestError: A request is malformed or exceeds a limit.
                ``take_completed`` returns the requests completed before it.
        """
        self._now = now
        was_in_head = self.is_in_head
        if not self._has_started and data.strip(b"\r\n"):
            self._has_started = True
            self._started_at = now
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            if self._failure is None:
                self._failure = ("request_malformed", str(error)[:200])
        if self._failure is not None:
            raise RequestError(*self._failure)
        if was_in_head and self.is_in_head and not self._completed:
            self._count_unreported_bytes(len(data))
        return self.take_completed()

    def _feed_parser(self, data: bytes) -> None:
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The parser takes the bytes behind the head for another
                # protocol's. They are the body and further requests.
                data = self._plain_head + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    def take_completed(self) -> list[HttpRequest]:
        """Return and remove the completed requests not returned so far."""
        completed, self._completed = self._completed, []
        return completed

    def take_expectation(self) -> bool:
        """Return whether the client waits for ``100 Continue``, once.

        It does after a head with ``Expect: 100-continue``, until its body comes
        (RFC 9110, section 10.1.1).
        """
        is_expecting, self._is_expecting = self._is_expecting, False
        return is_expecting and not self._body.size

    def release(self) -> None:
        """Drop a request received only in part, and release what it reserved.

        Nothing may be fed afterwards. The parser is part of a reference cycle,
        so it may exist for long.
        """
        self._body = BodyBuffer()
        if self._budget is not None:
            self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._release_parts()

    def _reset(self) -> None:
        self._url: list[bytes] = []
        self._headers: list[Header] = []
        # Request target and headers of a complete head, in origin form.
        self._head: tuple[bytes, tuple[Header, ...]] = (b"", ())
        self._checked_headers: list[Header] = []
        self._body = BodyBuffer()
        self._head_bytes = 0
        self._unreported_bytes = 0
        self._announced_bytes = 0
        self._has_started = False
        self._started_at = 0.0
        self._is_head_complete = False
        self._is_expecting = False

    def _fail(self, code: str, message: str) -> None:
        if self._failure is None:
            self._failure = (code, message)
        raise RequestError(code, message)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()
        self._has_started = True
        self._started_at = (
            self._plain_started_at if self._plain_head else self._now
        )
        self._plain_head = b""

    def on_url(self, url: bytes) -> None:
        """Add a part of the URL."""
        self._url.append(url)
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header line; a trailer only counts in the size."""
        self._count_head_bytes(len(name) + len(value) + 4)
        if self._is_head_complete:
            return
        self._headers.append((name, value))
        key = name.lower()
        if key in CHECKED_HEADERS:
            self._checked_headers.append((key, value))
        if key == b"content-length" and value.isdigit():
            self._announced_bytes = int(value)
        if len(self._headers) > HEADERS_MAX:
            self._fail(
                "head_too_long",
                f"request has more than {HEADERS_MAX} header lines",
            )

    def on_headers_complete(self) -> None:
        """Mark the request head as complete and reserve for the body."""
        self._is_head_complete = True
        url, headers = b"".join(self._url), tuple(self._headers)
        try:
            check_head(
                self._parser.get_method(),
                url,
                self._parser.get_http_version(),
                self._checked_headers,
            )
            url, headers = make_origin_form(url, headers)
        except RequestError as error:
            self._fail(error.code, error.message)
        self._head = url, headers
        expectation = find_header(self._checked_headers, b"expect")
        self._is_expecting = expectation is not None
        if self._parser.should_upgrade():
            return
        self._check_body_size(self._announced_bytes)
        self._reserve(self._announced_bytes)

    def on_body(self, chunk: bytes) -> None:
        """Add a part of the body."""
        size = self._body.size + len(chunk)
        self._check_body_size(size)
        self._reserve(size)
        self._body.add(chunk)
        if not self._body.parts % _PARTS_STEP:
            self._check_parts()

    def on_message_complete(self) -> None:
        """Store the completed request."""
        method, (url, headers) = self._parser.get_method(), self._head
        if self._parser.should_upgrade():
            self._plain_head = encode_without_upgrade(
                method, url, self._parser.get_http_version(), headers
            )
            self._plain_started_at = self._started_at
            self._reset()
            return
        request = HttpRequest(
            method=method,
            url=url,
            headers=headers,
            body=self._body.join(),
            is_keep_alive=self._parser.should_keep_alive(),
            received_at=self._started_at,
            peer_host=self.peer_host,
            head_bytes=self.head_bytes,
        )
        if self._parser.get_http_version() == "1.0":
            self.accepts_interim = False
        self._completed.append(request)
        self._reserved_bytes = 0
        self._release_parts()
        self._reset()

    def _check_parts(self) -> None:
        """Bound the small parts, which take processor time."""
        parts = self._body.parts
        if self._body.size >= PART_BYTES_MIN * parts:
            return
        if parts > PARTS_MAX:
            self._fail(
                "body_fragmented",
                f"parts of the body have under {PART_BYTES_MIN} bytes",
            )
        if self._part_budget is None:
            return
        missing = parts - self._reserved_parts
        if not self._part_budget.try_reserve(missing):
            self._fail("memory_exhausted", "too many small parts of bodies")
        self._reserved_parts = parts

    def _release_parts(self) -> None:
        if self._reserved_parts:
            self._part_budget.release(self._reserved_parts)
        self._reserved_parts = 0

    def _check_body_size(self, size: int) -> None:
        if size > self._body_bytes_max:
            self._fail(
                "body_too_long",
                f"request body exceeds {self._body_bytes_max} bytes",
            )

    def _reserve(self, size: int) -> None:
        """Raise what is reserved for the body to a size."""
        missing = size - self._reserved_bytes
        if self._budget is None or missing <= 0:
            return
        if not self._budget.try_reserve(missing):
            self._fail(
                "memory_exhausted", f"no memory for a body of {size} bytes"
            )
        self._reserved_bytes = size

    def _count_unreported_bytes(self, size: int) -> None:
        """Bound a head line without end, which the parser keeps to itself."""
        self._unreported_bytes += size
        size_max = self._header_bytes_max + _UNREPORTED_BYTES_MAX
        if self._unreported_bytes > size_max:
            raise RequestError(
                "head_too_long", f"request head exceeds {size_max} bytes"
            )

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._header_bytes_max:
            self._fail(
                "head_too_long",
                f"request head exceeds {self._header_bytes_max} bytes",
            )
