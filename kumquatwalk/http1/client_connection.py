"""Client connection to an HTTP server, with one exchange at a time."""

import asyncio
from collections.abc import Callable

import httptools

from kumquatwalk.address import Address
from kumquatwalk.event_loop import limit_time
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.read_limiter import READ_BYTES_MAX
from kumquatwalk.http1.read_limiter import ReadLimiter
from kumquatwalk.http1.read_limiter import ReadShare
from kumquatwalk.http1.receive_buffer import limit_received_bytes
from kumquatwalk.http1.response_match import ResponseMatch
from kumquatwalk.http1.response_match import Verification
from kumquatwalk.http1.response_match import match_any
from kumquatwalk.http1.response_parser import ResponseParser
from kumquatwalk.http1.sockets import set_liveness_options

__all__ = ["STATUS_INVALID", "ClientConnection", "open_connection"]

# Code of an error: the status of a response is none of HTTP's.
STATUS_INVALID = "status_invalid"

# Number of responses to other requests that are skipped in one exchange before
# the connection is closed; faulty servers send one.
MISMATCHED_RESPONSES_MAX = 3


async def open_connection(
    address: Address,
    timeout_s: float,
    body_bytes_max: int,
    source_host: str = "",
    limiter: ReadLimiter | None = None,
) -> "ClientConnection":
    """Open a connection to an HTTP server.

    Args:
        address: Address of the server.
        timeout_s: Timeout for connecting, in seconds; see ``limit_time``.
        body_bytes_max: Maximum size of a response body, in bytes.
        source_host: Local IP address to connect from; if empty, the operating
            system selects it.
        limiter: Pauses the reading of responses while the memory for bodies is
            used up; None for no bound.

    Returns:
        The open connection.

    Raises:
        ExchangeError: The connection could not be opened; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with limit_time(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(body_bytes_max, limiter),
                address.host,
                address.port,
                local_addr=(source_host, 0) if source_host else None,
            )
    except (OSError, TimeoutError) as error:
        raise ExchangeError(
            "connect_failed", f"{address}: {error}", sent=False
        ) from error
    return connection


class ClientConnection(asyncio.Protocol):
    """Protocol of one connection to a server.

    Args:
        body_bytes_max: Maximum size of a response body, in bytes.
        limiter: Pauses the reading of responses while the memory for bodies is
            used up; None for no bound.

    Attributes:
        idle_since: Start of the idle time, in seconds; set by connection pools.
        keep_alive_s: Keep-alive timeout announced by the server, in seconds;
            None if unknown. Set by connection pools.
        is_in_step: Whether a repeat of the last response can be told from the
            response to the next request.
    """

    def __init__(self, body_bytes_max: int, limiter: ReadLimiter | None = None):
        self._body_bytes_max = body_bytes_max
        self._limiter = limiter
        self._share: ReadShare | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: ResponseParser | None = None
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._match: Callable[[HttpResponse], ResponseMatch] = match_any
        self._verification: Verification | None = None
        # Response that waits to be verified.
        self._unverified: HttpResponse | None = None
        self._mismatched_count = 0
        self._is_usable = False
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.is_in_step = True

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, idle or in use."""
        return self._is_usable

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and no exchange is in progress."""
        return self._is_usable and self._waiter is None

    async def exchange(
        self,
        data: bytes,
        is_head: bool = False,
        match: Callable[[HttpResponse], ResponseMatch] = match_any,
        verification: Verification | None = None,
    ) -> HttpResponse:
        """Send a request and wait for its response.

        Cancelling the waiting task closes the connection, which tells the
        server that the response is no longer needed.

        Args:
            data: The encoded request.
            is_head: Whether the method is HEAD.
            match: Returns which request a response names; responses to other
                requests are skipped.
            verification: Request that is sent after an unnamed response that
                must be verified; None to take any unnamed response. Not for
                HEAD, as the framing of its response differs.

        Returns:
            The response.

        Raises:
            ExchangeError: No complete response was received. Its ``sent``
                attribute is False if the connection was not usable.
        """
        if not self.is_usable:
            raise ExchangeError(
                "connection_closed",
                "connection is closed or in use",
                sent=False,
            )
        if self._limiter is not None:
            self._share = self._limiter.make_share()
        self._parser = ResponseParser(
            is_head, self._body_bytes_max, self._share
        )
        self._match = match
        self._verification = verification
        self._unverified = None
        self._mismatched_count = 0
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._parser.release()
            self._waiter = None
            if self._limiter is not None:
                self._limiter.leave(self._share)

    def abort(self) -> None:
        """Close the connection immediately."""
        self._is_usable = False
        if self._transport is not None:
            self._transport.abort()

    # Methods of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and mark the connection as usable."""
        self._transport = transport
        self._is_usable = True
        set_liveness_options(transport)
        if self._limiter is not None:
            # Bytes that wait unread belong to this process too.
            limit_received_bytes(transport, READ_BYTES_MAX)

    def data_received(self, data: bytes) -> None:
        """Parse response data; unexpected data aborts the connection."""
        if self._waiter is None or self._waiter.done():
            self.abort()
            return
        parser = self._parser
        try:
            parser.feed(data)
        except httptools.HttpParserError as error:
            self._deliver(parser.take_completed(), has_extra=True)
            if parser.is_too_long:
                self._fail_as_too_long()
            if parser.has_invalid_status:
                self._fail(STATUS_INVALID, "response has an invalid status")
            self._fail("response_malformed", str(error)[:200])
            return
        self._deliver(parser.take_completed(), parser.has_partial)
        if parser.is_too_long:
            self._fail_as_too_long()
        elif self._limiter is not None and not self._waiter.done():
            self._limit_reading()

    def eof_received(self) -> bool:
        """Handle the server's close, which may complete a response."""
        self._is_usable = False
        if self._parser is not None:
            self._parser.handle_eof()
            self._deliver(self._parser.take_completed(), has_extra=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._is_usable = False
        self._fail("connection_lost", str(exc) if exc else "closed by peer")

    def _limit_reading(self) -> None:
        """Pause or fail a response that is not complete, if need be."""
        if self._limiter.is_too_large(self._share):
            self._fail("response_too_long", "response exceeds the memory")
        elif not self._limiter.has_room(self._share):
            self._transport.pause_reading()
            self._limiter.wait(self._share, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _deliver(self, responses: list[HttpResponse], has_extra: bool) -> None:
        for index, response in enumerate(responses):
            is_followed = has_extra or index < len(responses) - 1
            match = self._match(response)
            if match is ResponseMatch.OWN:
                self.is_in_step = True
                # The response to the verification, if any, is still due.
                is_followed |= self._unverified is not None
                self._finish(response, is_followed)
                return
            if self._unverified is not None:
                if self._verify(response, match, is_followed):
                    return
            elif match is ResponseMatch.UNNAMED:
                if not self._needs_verification(response):
                    self.is_in_step = False
                    self._finish(response, is_followed)
                    return
                self._unverified = response
                self._transport.write(self._verification.request)
                continue
            self._mismatched_count += 1
            if (
                response.closes_connection
                or self._mismatched_count > MISMATCHED_RESPONSES_MAX
            ):
                self._fail(
                    "response_foreign", "response belongs to another request"
                )
                return

    def _needs_verification(self, response: HttpResponse) -> bool:
        # An earlier response that closed the connection would have ended it, so
        # one that does is no repeat.
        return (
            self._verification is not None
            and not response.closes_connection
            and self._verification.is_required(response)
        )

    def _verify(
        self, response: HttpResponse, match: ResponseMatch, is_followed: bool
    ) -> bool:
        """Finish the exchange if a response verifies the one before.

        Args:
            response: Response that does not name the request.
            match: Which request it names.
            is_followed: Whether further bytes have been received after it.

        Returns:
            Whether the exchange has ended.
        """
        is_answer = self._verification.is_answer(response)
        if match is ResponseMatch.OTHER and not is_answer:
            return False
        self.is_in_step = True
        # If it may be the request's own refusal after a repeat, the response to
        # the verification is still due.
        is_last = is_answer and not is_followed
        is_last &= not response.closes_connection
        self._finish(self._unverified, not is_last)
        return True

    def _finish(self, response: HttpResponse, has_extra: bool) -> None:
        if response.closes_connection or has_extra:
            self._is_usable = False
            self._transport.abort()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(response)

    def _fail_as_too_long(self) -> None:
        self._fail("response_too_long", "response body exceeds the limit")

    def _fail(self, code: str, message: str) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(ExchangeError(code, message, sent=True))
        self.abort()
