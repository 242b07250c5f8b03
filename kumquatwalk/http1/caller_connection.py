"""Server side of a caller's connection, with support for pipelining."""

import asyncio
import math
from collections.abc import Awaitable
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.exception import AnswerWithheldError
from kumquatwalk.exception import RequestError
from kumquatwalk.http1.answer_writer import AnswerWriter
from kumquatwalk.http1.connection_account import CloseReason
from kumquatwalk.http1.connection_account import ConnectionState
from kumquatwalk.http1.exchange_queue import Exchange
from kumquatwalk.http1.exchange_queue import ExchangeQueue
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.received_input import ReceivedInput
from kumquatwalk.http1.refusals import make_error_response
from kumquatwalk.http1.request_parser import RequestParser
from kumquatwalk.http1.sockets import count_unread_bytes
from kumquatwalk.http1.sockets import end_stream
from kumquatwalk.http1.sockets import is_closed
from kumquatwalk.http1.throughput import BACKLOG_BYTES_MAX
from kumquatwalk.http1.throughput import BUFFERS_BYTES_MAX
from kumquatwalk.http1.throughput import estimate_first_s
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level

__all__ = ["CallerConnection", "Handler"]

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

# Number of requests in progress on one connection at which reading pauses, and
# of answers that the client has not taken.
PIPELINED_REQUESTS_MAX = 64
# Number of requests of one connection that are handled at once; those behind
# wait for answers. Callers pipeline a few requests.
PIPELINED_RUNS_MAX = 32
# Time for which data is still read after the last response has been taken, in
# seconds. Closing with unread data could reset the connection before the client
# has read it.
LINGER_S = 1.0
# Time added to the idle timeout, in seconds, so that a request sent just before
# the timeout does not race with the close.
IDLE_MARGIN_S = 1.0

# Time in which a client takes what is before a request that is passed on, and
# for which it may take nothing of an answer, in seconds.
TAKING_S_MAX = 1.0

# Interval in which the kernel is asked whether a caller that has ended its side
# has left, in seconds.
LEFT_CHECK_INTERVAL_S = 0.05

# Bounds of the interval in which the kernel is asked whether a client has taken
# answers that keep further requests from being read, in seconds. Clients may
# acknowledge up to 0.04 s late; it doubles for those that read slowly, up to
# the interval of the checks of time-outs.
ROOM_CHECK_MIN_S = 0.01
ROOM_CHECK_MAX_S = 0.5

# Interim answer to a request with ``Expect: 100-continue``, and to the end of a
# caller's stream.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Time for which a new connection is expected to send a request, in seconds.
FIRST_REQUEST_WAIT_S = 0.5


class CallerConnection(asyncio.Protocol):
    """Protocol of one connection from a caller.

    Requests are handled concurrently; responses are sent in the order of the
    requests. ``Connection: close`` stands on the last response only: whatever
    ends the connection, the requests taken before it are answered first.

    Args:
        server: Server that owns the connection. Its limits on header and body
            sizes are read once, its timeouts at each check.

    Attributes:
        idle_since: Start of the idle time, in seconds.
    """

    def __init__(self, server):
        self._server = server
        limits = server.limits
        self._parser = RequestParser(
            limits.header_bytes_max,
            limits.body_bytes_max,
            server.budget,
            server.part_budget,
        )
        self._input = ReceivedInput(self._parser)
        self._parse_handle: asyncio.Handle | None = None
        self._transport: asyncio.Transport | None = None
        self._exchanges = ExchangeQueue(
            server.budget, server.answer_budget, server.report_unanswered
        )
        # Whether no further request is taken.
        self._is_ending = False
        # Whether a request was received in part when the server stopped to
        # accept requests; it is handled.
        self._expects_rest = False
        # Whether a request may wait to be passed on; saves a search.
        self._may_have_deferred = False
        self._is_closing = False
        self._closed_at = 0.0
        # Whether the caller has ended its side, and may still read.
        self._has_eof = False
        self._has_probed = False
        self._left_check: asyncio.TimerHandle | None = None
        self._room_check: asyncio.TimerHandle | None = None
        self._room_check_s = ROOM_CHECK_MIN_S
        self._writer: AnswerWriter | None = None
        self._is_reading = True
        self._opened_at = read_now()
        self._last_data_at = self._opened_at
        self.idle_since = self._opened_at

    def is_idle(self, now: float) -> bool:
        """Return whether no request is in progress or expected.

        A connection that has just been opened is not idle, since its first
        request is probably in transit; nor is one whose last answer is not
        taken.

        Args:
            now: Current time, in seconds.
        """
        if self.count_owed(now):
            return False
        return (
            self._writer.has_written
            or now - self._opened_at > FIRST_REQUEST_WAIT_S
        )

    def count_owed(self, now: float) -> int:
        """Return the number of requests whose answer is not taken yet.

        A request counts from its first byte read.

        Args:
            now: Current time, in seconds.
        """
        self._writer.update(now)
        owed = len(self._exchanges) + self._writer.untaken
        return owed + self._is_in_request

    def count_slowly_taken(self, now: float) -> int:
        """Return the bytes held for a client that reads slowly; else 0.

        These are the bytes that the end of the connection frees. Also 0 while a
        request on the connection runs, since its end would be that of the
        connection.

        Args:
            now: Current time, in seconds.
        """
        self._writer.update(now)
        size = self._writer.slowly_taken_bytes
        if not size or self._exchanges.has_run:
            return 0
        return size + self._exchanges.answer_bytes

    def is_settled(self, now: float) -> bool:
        """Return whether the connection can be aborted without a loss.

        It cannot for ``LINGER_S`` after the client has taken the last answer:
        a reset could discard the answer before it has been read.

        Args:
            now: Current time, in seconds.
        """
        if not self._is_closing:
            return self.is_idle(now)
        if self.count_owed(now):
            return False
        return (
            not self._writer.has_written
            or now - self._writer.progress_at > LINGER_S
        )

    def stop_accepting(self, now: float) -> None:
        """Close the connection if it is idle; else once it becomes idle.

        A request received in part is still handled. One that begins later is
        refused, or left unanswered if it stands behind others.

        Args:
            now: Current time, in seconds.
        """
        self._expects_rest = self._is_in_request
        self._close_if_idle(now)

    def check_timeouts(self, now: float) -> None:
        """Close the connection if its header or idle timeout has expired.

        A request head that does not arrive in time is answered with 408, and so
        is a body of which nothing has come for the idle timeout: it would hold
        memory that other requests need. If a client takes nothing for the idle
        timeout while an answer waits, the connection is aborted once no request
        runs on it. Once the server accepts no requests, an idle connection is
        closed at once. A half-closed one is closed ``LINGER_S`` after its last
        answer was taken.

        No limit of the client's counts while bytes of it wait to be read.

        Also passes on or refuses the requests that are held back.

        Args:
            now: Current time, in seconds.
        """
        limits = self._server.limits
        self._writer.update(now)
        self._pass_on_deferred(now)
        self._update_backpressure()
        unused_s = now - max(self.idle_since, self._writer.progress_at)
        if self._writer.untaken:
            untaken_s = now - self._writer.progress_at
            if (
                untaken_s > limits.idle_timeout_s
                and not self._exchanges.has_run
            ):
                self.abort(End.TIMEOUT)
                return
        elif self._is_closing:
            self._check_closing(now)
        if self._exchanges or self._is_closing:
            return
        if self._parser.is_in_head:
            head_s = now - self._parser.started_at
            if head_s > limits.header_timeout_s and not self._has_unread_bytes:
                self._end_with(make_error_response("header_timeout"))
        elif self._is_in_request:
            pause_s = now - self._last_data_at
            if pause_s > limits.idle_timeout_s and not self._has_unread_bytes:
                self._end_with(make_error_response("body_timeout"))
        elif self._writer.untaken:
            return
        elif unused_s > limits.idle_timeout_s + IDLE_MARGIN_S:
            self._close_if_idle(now)
        elif not self._server.is_accepting:
            self._close_if_idle(now)

    def _check_closing(self, now: float) -> None:
        closed_s = now - max(self._closed_at, self._writer.progress_at)
        if not self._transport.is_closing():
            if closed_s > LINGER_S:
                self._transport.close()
        elif closed_s > self._server.limits.idle_timeout_s:
            # A client that has left takes nothing of the buffer.
            self._transport.abort()

    def abort(self, end: End) -> None:
        """Close the connection immediately and discard unsent bytes.

        Args:
            end: What ends it, for the requests that are not answered.
        """
        if self._transport is not None:
            self._end(end)
            self._transport.abort()

    # Methods for the account of the server.

    def find_state(self, now: float) -> ConnectionState:
        """Return what the connection holds, as of the last update.

        Args:
            now: Current time, in seconds.
        """
        if self._writer.untaken and not self._exchanges.has_run:
            untaken_s = now - self._writer.progress_at
            is_slow = self._writer.slowly_taken_bytes or (
                untaken_s > TAKING_S_MAX
            )
            return ConnectionState.UNTAKEN if is_slow else ConnectionState.BUSY
        if self._exchanges or self._writer.untaken:
            return ConnectionState.BUSY
        if self._is_in_request or not self._writer.has_written:
            return ConnectionState.INCOMPLETE
        if now - self.find_progress_at() <= LINGER_S:
            return ConnectionState.BUSY
        return ConnectionState.IDLE

    def find_progress_at(self) -> float:
        """Return the time at which bytes last came or were taken."""
        return max(self._last_data_at, self._writer.progress_at)

    def count_body_bytes(self) -> int:
        """Return the bytes reserved for a body received in part."""
        return self._parser.reserved_bytes

    def count_body_parts(self) -> int:
        """Return the small parts reserved for a body received in part."""
        return self._parser.reserved_parts

    def trim_input(self) -> int:
        """Drop requests not parsed yet, and take no more; return the bytes."""
        size = self._input.size
        if size:
            self._end_requests(End.SHORTAGE)
            self._update_account()
        return size

    def close_for_shortage(self, reason: CloseReason) -> None:
        """Refuse the body received in part, or close immediately.

        Args:
            reason: What runs short.
        """
        if reason is CloseReason.BODIES:
            self._end_with(make_error_response("memory_exhausted"))
        else:
            self.abort(End.SHORTAGE)

    # Methods of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register with the server."""
        self._transport = transport
        self._writer = AnswerWriter(
            transport,
            self._server.answer_budget,
            self._server.report_unanswered,
            self._opened_at,
        )
        peer = transport.get_extra_info("peername")
        self._parser.peer_host = peer[0] if peer else ""
        self._server.connections.add(self)
        if not self._server.account.open(self):
            self.abort(End.SHORTAGE)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start handling completed requests."""
        if self._is_ending:
            return
        self._last_data_at = read_now()
        self._input.add(data)
        self._parse_input()

    def _parse_input(self) -> None:
        """Take the requests received, as far as there is room for them."""
        self._parse_handle = None
        while self._input.size and self._has_room and not self._is_ending:
            is_behind = bool(self._exchanges)
            try:
                requests = self._input.parse_next(self._last_data_at, is_behind)
            except RequestError as error:
                self._start_exchanges(self._parser.take_completed())
                self._handle_request_error(error)
                break
            self._start_exchanges(requests)
        if self._is_ending:
            self._input.clear()
        self._update_backpressure()
        self._update_account()

    @property
    def _has_room(self) -> bool:
        """Whether a further request may be parsed."""
        waiting = len(self._exchanges)
        if max(waiting, self._writer.untaken) >= PIPELINED_REQUESTS_MAX:
            return False
        return not waiting or not self._server.account.is_short

    def _update_account(self) -> None:
        size = self._input.size + self._exchanges.head_bytes
        if self._is_in_request:
            size += self._parser.head_bytes
        self._server.account.update(self, size, len(self._exchanges))

    def eof_received(self) -> bool:
        """Close the connection, or answer first what is in progress.

        The caller may have ended its side only, or have closed. An interim
        answer, or bytes that are on their way, tell: what comes to a caller
        that has closed brings a reset, which cancels all requests. A client of
        HTTP/1.0 knows no interim answers; it counts as closed.

        Returns:
            Whether the connection stays open for the answers.
        """
        self._writer.update(read_now())
        is_owed = self._exchanges or self._writer.untaken
        if not is_owed or not self._parser.accepts_interim:
            self._end(End.CALLER_LEFT)
            return False
        self._end_requests(End.CALLER_LEFT)
        self._has_eof = True
        if not self._exchanges:
            self._close_gracefully()
        self._probe_caller()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister from the server and cancel all requests."""
        del exc
        if self._left_check is not None:
            self._left_check.cancel()
        if self._parse_handle is not None:
            self._parse_handle.cancel()
        if self._room_check is not None:
            self._room_check.cancel()
        self._server.connections.discard(self)
        self._server.account.close(self)
        self._end(End.CONNECTION_LOST)
        self._writer.release()

    def pause_writing(self) -> None:
        """Stop writing responses, and reading, until the caller reads."""
        self._writer.pause()
        self._update_backpressure()

    def resume_writing(self) -> None:
        """Write the responses that are ready, and resume reading."""
        self._writer.resume()
        self._send_ready_responses()
        self._pass_on_deferred(read_now())

    def _check_caller(self) -> None:
        # The event loop, which reads no more, notices a reset only by a write.
        if self._transport.is_closing():
            return
        if is_closed(self._transport):
            self.abort(End.CALLER_LEFT)
        else:
            self._probe_caller()

    def _probe_caller(self) -> None:
        """Send an interim answer once, never inside an answer."""
        if not self._has_probed and not self._is_closing:
            self._writer.update(read_now())
            if self._writer.can_write and not self._writer.untaken:
                self._has_probed = True
                self._writer.write_interim(CONTINUE)
        self._left_check = asyncio.get_running_loop().call_later(
            LEFT_CHECK_INTERVAL_S, self._check_caller
        )

    def _start_exchanges(self, requests: list[HttpRequest]) -> None:
        for request in requests:
            if not self._is_ending:
                self._start_exchange(request)
            else:
                self._exchanges.leave_behind(request)
        self._send_ready_responses()

    def _start_exchange(self, request: HttpRequest) -> None:
        exchange = Exchange(request)
        can_take = not self._is_late
        if can_take and self._server.is_stopping:
            can_take = (
                self._exchanges.first_deferred is None
                and self._can_take(exchange, read_now())
            )
            exchange.is_deferred = (
                not can_take and self._exchanges.is_waiting_before(exchange)
            )
        elif can_take:
            exchange.is_deferred = self._is_behind(exchange, read_now())
        if exchange.is_deferred:
            self._may_have_deferred = True
            request.progress.deferred_at = read_now()
        if not can_take and not exchange.is_deferred:
            self._end_requests()
            if self._exchanges:
                self._exchanges.leave_behind(request)
                return
            exchange.response = self._server.refuse(request)
        if not request.is_keep_alive:
            self._end_requests()
        self._expects_rest = False
        self._exchanges.add(exchange)
        if exchange.response is None and not exchange.is_deferred:
            self._pass_on(exchange)

    def _pass_on(self, exchange: Exchange) -> None:
        exchange.is_deferred = False
        if not self._server.has_memory_for(exchange.request):
            response = make_error_response("memory_exhausted")
            self._exchanges.set_response(exchange, response)
            return
        exchange.task = asyncio.get_running_loop().create_task(
            self._run_handler(exchange)
        )

    def _pass_on_deferred(self, now: float) -> None:
        """Pass on what the client can take; refuse it once it surely cannot.

        What stands behind a request that is refused stays unanswered.
        """
        if not self._may_have_deferred:
            return
        while (exchange := self._exchanges.first_deferred) is not None:
            if not self._server.is_stopping:
                if self._is_behind(exchange, now):
                    return
                self._pass_on(exchange)
                self._send_ready_responses()
                continue
            if self._can_take(exchange, now):
                self._pass_on(exchange)
                if exchange.response is not None:
                    self._send_ready_responses()
                continue
            if self._is_next(exchange) or (
                self._has_rate
                and not self._exchanges.is_waiting_before(exchange)
            ):
                self._refuse_deferred(exchange)
            return
        self._may_have_deferred = False

    def _refuse_deferred(self, exchange: Exchange) -> None:
        exchange.is_deferred = False
        self._end_requests()
        self._exchanges.leave_all_behind(exchange)
        response = self._server.refuse(exchange.request)
        self._exchanges.set_response(exchange, response)
        self._send_ready_responses()

    async def _run_handler(self, exchange: Exchange) -> None:
        try:
            response = await self._server.handler(exchange.request)
        except AnswerWithheldError:
            self.abort(End.HANDLER)
            return
        except asyncio.CancelledError as error:
            if exchange.is_over:
                raise
            response = _make_failure_response(error)
        except Exception as error:  # pylint: disable=broad-exception-caught
            response = _make_failure_response(error)
        self._exchanges.set_response(exchange, response)
        if response.closes_connection:
            self._end_requests()
        self._send_ready_responses()
        self._pass_on_deferred(read_now())

    def _send_ready_responses(self) -> None:
        while self._writer.can_write and not self._is_closing:
            exchange = self._exchanges.take_ready()
            if exchange is None:
                break
            self._write_response(exchange.request, exchange.response)
        if not self._exchanges:
            self.idle_since = read_now()
            self._ask_for_body()
        self._update_backpressure()
        self._update_account()

    def _ask_for_body(self) -> None:
        """Tell a client to continue that sends no body before."""
        if not self._is_ending and self._parser.take_expectation():
            self._writer.write_interim(CONTINUE)

    def _write_response(
        self, request: HttpRequest, response: HttpResponse
    ) -> None:
        closes_connection = not self._exchanges and (
            self._is_ending
            or (
                self._server.is_stopping
                and (self._is_late or not self._is_in_request)
            )
        )
        self._writer.write(request, response, closes_connection, read_now())
        if closes_connection:
            self._close_gracefully()

    def _update_backpressure(self) -> None:
        if self._transport.is_closing() or self._has_eof:
            return
        # What comes after the last request is read and discarded. Otherwise
        # keep reading while few requests are in progress, to detect when the
        # caller closes the connection.
        has_room = self._has_room
        if has_room:
            self._room_check_s = ROOM_CHECK_MIN_S
        elif not self._exchanges and not self._is_ending:
            self._check_room_later()
        if self._input.size and has_room and self._parse_handle is None:
            loop = asyncio.get_running_loop()
            self._parse_handle = loop.call_soon(self._parse_input)
        should_read = self._is_ending or (
            self._writer.can_write and has_room and not self._input.size
        )
        if should_read and not self._is_reading:
            self._transport.resume_reading()
        elif not should_read and self._is_reading:
            self._transport.pause_reading()
        self._is_reading = should_read

    def _check_room_later(self) -> None:
        """Ask the kernel soon, as no event tells that answers were taken."""
        if self._room_check is None and self._room_check_s < ROOM_CHECK_MAX_S:
            self._room_check = asyncio.get_running_loop().call_later(
                self._room_check_s, self._check_room
            )
            self._room_check_s *= 2.0

    def _check_room(self) -> None:
        self._room_check = None
        if not self._transport.is_closing():
            self._writer.update(read_now())
            self._update_backpressure()

    @property
    def _is_in_request(self) -> bool:
        is_received = self._parser.is_in_message or self._input.size > 0
        return is_received and not self._is_ending

    @property
    def _is_late(self) -> bool:
        """Whether the next request to be completed has begun after the stop."""
        return not self._server.is_accepting and not self._expects_rest

    def _is_behind(self, exchange: Exchange, now: float) -> bool:
        """Return whether a request must wait for the answers before it.

        The client may never take them, and what ends the connection then would
        end the request. What its buffers hold at once, and small answers, keep
        nothing waiting.
        """
        if not self._writer.untaken and not self._exchanges:
            return False
        if not self._writer.can_write:
            return True
        before = self._exchanges.count_before(exchange)
        if before and (
            before >= PIPELINED_RUNS_MAX or self._server.account.is_crowded
        ):
            return True
        if self._may_have_deferred:
            first = self._exchanges.first_deferred
            if first is not None and first is not exchange:
                return True
        if now - self._writer.progress_at > TAKING_S_MAX:
            self._writer.update(now)
            untaken_s = now - self._writer.progress_at
            if self._writer.untaken and untaken_s > TAKING_S_MAX:
                return True
        if not self._exchanges:
            return False
        size = self._exchanges.count_large_bytes(
            exchange, BACKLOG_BYTES_MAX, self._estimate_answer
        )
        taking_s = self._writer.estimate_taking_s(size)
        if taking_s is None:
            return size > BUFFERS_BYTES_MAX
        return taking_s > TAKING_S_MAX

    def _can_take(self, exchange: Exchange, now: float) -> bool:
        """Return whether the client can take an answer before the stop ends.

        If it is not known how fast it reads, it can unless many bytes are to be
        taken before, or the answer itself is too large for the time left. Also
        notes how long one that was measured needs for the answer itself.
        """
        self._writer.update(now)
        size = self._writer.untaken_bytes
        size += self._exchanges.count_answer_bytes(
            exchange, self._estimate_answer
        )
        if self._server.answers_by == math.inf:
            return size <= BACKLOG_BYTES_MAX
        own_size = self._estimate_answer(exchange.request)
        if self._has_rate:
            own_s = self._writer.estimate_taking_s(own_size)
            exchange.request.progress.taking_s = own_s
            taking_s = self._writer.estimate_taking_s(size + own_size)
        else:
            taking_s = estimate_first_s(own_size)
        if not self._has_rate and size > BACKLOG_BYTES_MAX:
            return False
        if self._exchanges.is_waiting_before(exchange):
            # The answers before it may be made as late as that.
            now = max(now, self._server.made_by)
        return now + taking_s <= self._server.answers_by

    def _is_next(self, exchange: Exchange) -> bool:
        """Return whether the client has taken all answers before another's."""
        return not self._writer.untaken and self._exchanges.is_first(exchange)

    @property
    def _has_rate(self) -> bool:
        """Whether it is known how fast the client reads."""
        return self._writer.estimate_taking_s(0) is not None

    def _estimate_answer(self, request: HttpRequest) -> float:
        """Return the largest size expected of an answer, in bytes."""
        largest_bytes = self._exchanges.largest_bytes
        if largest_bytes is None:
            return self._server.estimate_answer(request)
        return largest_bytes

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether bytes have come that this process has yet to read."""
        return self._input.size > 0 or count_unread_bytes(self._transport) > 0

    def _end_requests(self, end: End = End.CLOSING_ANSWER) -> None:
        """Take no further request, nor the one received only in part."""
        if self._is_in_request:
            request = self._make_placeholder()
            self._server.report_unanswered(request, Stage.READING, end)
        self._is_ending = True
        self._input.clear()
        self._parser.release()

    def _make_placeholder(self) -> HttpRequest:
        """Return what stands for a request that was not received whole."""
        started_at = self._parser.started_at or read_now()
        return HttpRequest(b"GET", b"", (), b"", False, started_at)

    def _end(self, end: End) -> None:
        """End all that is owed; the transport is closed by the caller."""
        self._is_closing = True
        self._closed_at = read_now()
        self._end_requests(end)
        self._exchanges.cancel(end)
        self._writer.end(end, read_now())

    def _handle_request_error(self, error: RequestError) -> None:
        if self._is_ending:
            return
        log_event("request_rejected", code=error.code, error=error.message)
        self._end_with(make_error_response(error.code))

    def _end_with(self, response: HttpResponse) -> None:
        """Take no further request, and answer the present one without it."""
        self._is_ending = True
        self._input.clear()
        self._parser.release()
        self._exchanges.add(Exchange(self._make_placeholder(), response))
        self._send_ready_responses()

    def _close_if_idle(self, now: float) -> None:
        # A request that waits unread is handled or refused once it is read.
        if self.is_idle(now) and not self._has_unread_bytes:
            self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Half-close, then close when the caller does or after ``LINGER_S``."""
        if self._is_closing:
            return
        self._is_closing = True
        self._closed_at = read_now()
        self._end_requests()
        end_stream(self._transport)


def _make_failure_response(error: BaseException) -> HttpResponse:
    """Return the response to a request whose handler has failed.

    An internal error must not leave the caller without a response. Whether the
    request has run is unknown.
    """
    log_event(
        "request_handler_failed",
        Level.ERROR,
        error=f"{type(error).__name__}: {error}",
    )
    return HttpResponse(500)
