"""HTTP server for callers, targets and health checks."""

import asyncio
import contextlib
import errno
import math
import os
import socket
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.event_loop import handle_pending_events
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.caller_connection import CallerConnection
from kumquatwalk.http1.caller_connection import Handler
from kumquatwalk.http1.connection_account import ConnectionAccount
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.refusals import make_stopping_response
from kumquatwalk.http1.request_parser import PARTS_MAX
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage
from kumquatwalk.http1.unanswered import find_level
from kumquatwalk.listener import Listener
from kumquatwalk.logs import log_event
from kumquatwalk.tasks import keep_running
from kumquatwalk.tasks import log_errors

__all__ = ["HttpServer"]

# Connections that may wait to be accepted; more than a burst opens between two
# iterations of the event loop.
BACKLOG = 1024
# Errors of one connection, not of the listener (accept(2)).
_CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EPROTO,
    )
)
# Multiple of the memory for answers not sent at which all requests are refused.
# Those with large answers are refused by their handler before.
ANSWER_OVERRUN_MAX = 2
# Interval between checks of connection timeouts, in seconds; well below the
# timeouts.
TIMEOUT_CHECK_INTERVAL_S = 1.0
# The same while memory for answers is short.
MEMORY_CHECK_INTERVAL_S = 0.25
# The same during a stop, when connections are to end soon.
STOP_CHECK_INTERVAL_S = 0.05


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Args:
        address: Address to listen on.
        handler: Serves one request; cancelled when the caller closes its
            connection.
        limits: Size limits and timeouts for callers' connections.
        budget: Bytes of requests' bodies that the process may hold; None for no
            bound.
        answer_budget: Bytes of answers not sent that the process may hold; None
            to count them in ``budget``. At ``ANSWER_OVERRUN_MAX`` times its
            limit, all requests are refused.
        refuse: Returns the answer, which promises that the request is not run,
            to a request that begins after ``stop_accepting``.
        estimate_answer: Returns the largest size expected of the answer to a
            request, in bytes; infinite if it is not known.
        identify: Returns the identifier of a request, for the log; empty if it
            has none.
        on_unanswered: Called with the stage of each request that ended without
            a complete answer, and what ended it.
        account: Bounds what the connections hold; None for one of the default
            size.

    Attributes:
        handler: Handler of the requests.
        limits: Size limits and timeouts; may be replaced at any time. Open
            connections keep their size limits and use the new timeouts.
        budget: Bytes of requests' bodies that the process may hold.
        answer_budget: Bytes of answers not sent that it may hold.
        account: Bounds what the connections hold.
        part_budget: Small parts that unfinished bodies may have come in.
        refuse: Returns the answer to a request that begins after the stop.
        estimate_answer: Returns the largest size expected of an answer.
        answers_by: Time by which clients must have taken their answers, in
            seconds; infinite until a stop begins.
        made_by: Time by which a stop has all answers made, in seconds.
        is_stopping: Whether connections are closed once all requests read from
            them are answered.
        is_accepting: Whether requests are passed to the handler.
        connections: Open connections.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: CallerLimits = CallerLimits(),
        budget: ByteBudget | None = None,
        answer_budget: ByteBudget | None = None,
        refuse: Callable[[HttpRequest], HttpResponse] = make_stopping_response,
        estimate_answer: Callable[[HttpRequest], float] = lambda _: math.inf,
        identify: Callable[[HttpRequest], str] = lambda _: "",
        on_unanswered: Callable[[Stage, End], None] = lambda *_: None,
        account: ConnectionAccount | None = None,
    ):
        self._listener = Listener(address)
        self.handler = handler
        self.limits = limits
        self.budget = budget
        self.answer_budget = budget if answer_budget is None else answer_budget
        self.account = account or ConnectionAccount()
        # Small parts of bodies that take processor time; for 16 clients as many
        # as one may send.
        self.part_budget = ByteBudget(16 * PARTS_MAX)
        if budget is not None:
            budget.reclaim = self.account.reclaim_bodies
        self.part_budget.reclaim = self.account.reclaim_parts
        self.refuse = refuse
        self.estimate_answer = estimate_answer
        self.answers_by = math.inf
        self.made_by = -math.inf
        self._identify = identify
        self._on_unanswered = on_unanswered
        self.is_stopping = False
        self.is_accepting = True
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task] = set()
        self._timeout_task: asyncio.Task | None = None
        self._refusals_seen = 0

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def bind(self) -> None:
        """Bind the address; connections are refused until ``start``.

        Raises:
            OSError: The address could not be had, see ``Listener``.
        """
        await self._listener.bind()

    async def start(self) -> None:
        """Start listening for connections.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self._server = await self._listener.listen(
            lambda: CallerConnection(self), BACKLOG
        )
        self._start_checks()

    @property
    def owed_requests(self) -> int:
        """Number of requests whose answer the client has not taken yet.

        A request counts from its first byte read to the last byte of its answer
        taken by the client.
        """
        now = read_now()
        return sum(c.count_owed(now) for c in self.connections)

    @property
    def is_settled(self) -> bool:
        """Whether all connections can be aborted without a loss.

        Nothing is owed, no first request is expected, and no client may still
        lose an answer by a reset.
        """
        return not self.busy_connections

    @property
    def busy_connections(self) -> int:
        """Number of connections that are not settled."""
        now = read_now()
        return sum(not c.is_settled(now) for c in self.connections)

    def has_memory_for(self, request: HttpRequest) -> bool:
        """Return whether there is memory for the answer to a request.

        Args:
            request: Request whose body is reserved.
        """
        answers = self.answer_budget
        if self.account.is_exhausted:
            return False
        if answers is None:
            return True
        own_bytes = len(request.body) if answers is self.budget else 0
        return answers.used - own_bytes < ANSWER_OVERRUN_MAX * answers.limit

    def report_unanswered(
        self, request: HttpRequest, stage: Stage, end: End
    ) -> None:
        """Log and count a request that ended without a complete answer.

        Args:
            request: The request; its URL is empty if only a part was received.
            stage: How far it had come.
            end: What ended it.
        """
        request_id = request.progress.request_id or self._identify(request)
        log_event(
            "request_unanswered",
            find_level(end),
            request=request_id,
            stage=stage,
            end=end,
            elapsed_s=read_now() - request.received_at,
        )
        self._on_unanswered(stage, end)

    def begin_stop(self, answers_by: float, made_by: float = -math.inf) -> None:
        """Close connections once they are answered, and bound what they owe.

        Requests are passed to the handler as before, but behind others on their
        connection only if the client can take the answers in time.

        Args:
            answers_by: Time by which clients must have taken their answers, in
                seconds.
            made_by: Time by which answers in progress are made, in seconds; in
                the past if it is not to be counted.
        """
        self.is_stopping = True
        self.answers_by = answers_by
        self.made_by = made_by
        if self._timeout_task is not None:
            self._start_checks()

    def stop_accepting(self) -> None:
        """Stop listening and pass no further requests to the handler.

        A request of which the first byte has been read is handled. One that
        begins later is refused, or left unanswered if it stands behind others
        on its connection. Each connection closes once it is idle or after its
        last answer. Connections in the accept queue are accepted before, as the
        kernel would reset them. Does nothing the second time.
        """
        if not self.is_accepting:
            return
        self.is_stopping = True
        self.is_accepting = False
        # The stop may come while the address is waited for.
        if self._server is not None:
            with log_errors("accept_queued"):
                self._accept_queued()
            self._server.close()
        now = read_now()
        for connection in tuple(self.connections):
            with log_errors("stop_accepting"):
                connection.stop_accepting(now)
        self._start_checks()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self._listener.close()
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            with log_errors("abort"):
                connection.abort(End.PROCESS_END)

    def _accept_queued(self) -> None:
        loop = asyncio.get_running_loop()
        for sock in _accept_all(self._server.sockets):
            task = loop.create_task(
                loop.connect_accepted_socket(
                    lambda: CallerConnection(self), sock
                )
            )
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _start_checks(self) -> None:
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        self._timeout_task = keep_running(
            self._check_timeouts, "connection_check"
        )

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(self._choose_check_interval())
            await handle_pending_events()
            now = read_now()
            for connection in tuple(self.connections):
                with log_errors("connection_check"):
                    connection.check_timeouts(now)
            self._end_slow_clients(now)

    def _choose_check_interval(self) -> float:
        if self.is_stopping:
            return STOP_CHECK_INTERVAL_S
        if self._count_excess_bytes() > 0:
            return MEMORY_CHECK_INTERVAL_S
        return TIMEOUT_CHECK_INTERVAL_S

    def _count_excess_bytes(self) -> int:
        """Return the bytes to free so that answers have memory; else 0."""
        answers = self.answer_budget
        return 0 if answers is None else max(0, answers.used - answers.limit)

    def _end_slow_clients(self, now: float) -> None:
        """End clients that read slowly while memory for answers is short.

        Those for which most is held for each request that is lost come first,
        until the rest is within the limit; at least one while requests are
        refused for want of memory.
        """
        if self.answer_budget is None:
            return
        excess = self._count_excess_bytes()
        refusals = self.answer_budget.refusals
        if refusals > self._refusals_seen:
            excess = max(excess, 1)
        self._refusals_seen = refusals
        if not excess:
            return
        sizes = {c: c.count_slowly_taken(now) for c in self.connections}
        slow = [connection for connection in sizes if sizes[connection]]
        slow.sort(key=lambda c: sizes[c] / c.count_owed(now), reverse=True)
        for connection in slow:
            if excess <= 0:
                return
            excess -= sizes[connection]
            connection.abort(End.TIMEOUT)


def _accept_from(listener: socket.socket) -> Iterator[socket.socket]:
    """Yield the connections that wait, until none does or none can be had."""
    for _ in range(BACKLOG):
        try:
            yield listener.accept()[0]
        except OSError as error:
            # An error of one connection leaves the others waiting.
            if error.errno not in _CONNECTION_ERRORS:
                return


def _accept_all(listeners: Iterable[socket.socket]) -> list[socket.socket]:
    """Return the connections that wait in the accept queues of listeners."""
    accepted = []
    for listener in listeners:
        # The event loop's own sockets offer no accept.
        with contextlib.suppress(OSError):
            with socket.socket(fileno=os.dup(listener.fileno())) as sock:
                sock.setblocking(False)
                accepted += _accept_from(sock)
    for sock in accepted:
        sock.setblocking(False)
    return accepted
