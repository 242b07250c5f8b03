"""State machine of a caller's connection over a scripted transport."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from kumquatwalk.address import Address
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.http1 import caller_connection
from kumquatwalk.http1 import connection_account
from kumquatwalk.http1 import server as server_module
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.caller_connection import FIRST_REQUEST_WAIT_S
from kumquatwalk.http1.caller_connection import LINGER_S
from kumquatwalk.http1.caller_connection import CallerConnection
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.http1.tests.scripted_transport import ScriptedTransport
from kumquatwalk.http1.tests.scripted_transport import parse_answers

_LIMITS = CallerLimits(
    header_bytes_max=2000,
    body_bytes_max=200,
    header_timeout_s=2.0,
    idle_timeout_s=5.0,
)
# Limits of a later configuration.
_SHORTER_LIMITS = dataclasses.replace(
    _LIMITS, header_timeout_s=0.5, idle_timeout_s=1.0
)
BUDGET_BYTES = 120
# Iterations of the event loop in which the tasks of a step come to rest.
SETTLE_TURNS = 8
# Steps after which little can happen are skipped unless 0 is drawn.
_RARELY = st.integers(0, 5)
# Errors that a handler may raise by itself.
_FAILURES = {
    "error": ValueError("handler failed"),
    "aborted": ConnectionAbortedError("of another connection"),
    "cancelled": asyncio.CancelledError("not by its caller"),
}


class ConnectionMachine(stateful.RuleBasedStateMachine):
    """A client, a handler, the time and the ends of one connection."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.loop = asyncio.new_event_loop()
        self.patchers = [
            mock.patch.object(module, "read_now", lambda: self.now)
            for module in (caller_connection, connection_account, server_module)
        ]
        # A few answers are a backlog.
        self.patchers.append(
            mock.patch.object(caller_connection, "BACKLOG_BYTES_MAX", 60)
        )
        # The check of timeouts is a step of the machine.
        self.patchers.append(mock.patch.object(server_module, "keep_running"))
        for patcher in self.patchers:
            patcher.start()
        # Kind of each request of which a byte was sent, in order: "whole",
        # "last" (without keep-alive) or "malformed".
        self.sent: list[str] = []
        self.rest = b""
        self.seen: list[int] = []
        self.waiting: dict[int, asyncio.Future] = {}
        self.results: dict[int, HttpResponse | None] = {}
        self.reported: list[int] = []
        self.foreign_bytes = 0
        # Whether the client has ended its side, and whether it reads no more.
        self.has_ended = False
        self.has_left = False
        # Whether the client has ever stopped to take bytes.
        self.has_blocked = False
        # Number of the first request that may not be handled: it begins after
        # the stop, or after an answer that closes the connection was made.
        self.first_refused: int | None = None
        # Number of answers that the client had when the stop began.
        self.answers_before_stop: int | None = None
        self.budget = ByteBudget(BUDGET_BYTES)
        self.server = HttpServer(
            Address("127.0.0.1", 0), self._serve, _LIMITS, self.budget
        )
        # pylint: disable-next=protected-access
        self.server._server = mock.Mock(sockets=())
        self.server.report_unanswered = self._record_unanswered
        self.connection = CallerConnection(self.server)
        self.transport = ScriptedTransport(self.loop, self.connection)
        self.run(lambda: self.connection.connection_made(self.transport))

    def run(self, step) -> None:
        """Run a step, then the event loop until nothing is left to do."""

        async def run_step():
            step()
            for _ in range(SETTLE_TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_step())

    async def _serve(self, request) -> HttpResponse:
        number = int(request.url[1:])
        assert self.first_refused is None or number < self.first_refused
        self.seen.append(number)
        future = self.loop.create_future()
        self.waiting[number] = future
        try:
            return await future
        finally:
            del self.waiting[number]

    def _record_unanswered(self, request, _stage, _end) -> None:
        if request.url:
            self.reported.append(int(request.url[1:]))

    def _make_request(self, size: int, is_last: bool) -> bytes:
        self.sent.append("last" if is_last else "whole")
        close = "Connection: close\r\n" if is_last else ""
        return (
            f"POST /{len(self.sent) - 1} HTTP/1.1\r\nHost: x\r\n{close}"
            f"Content-Length: {size}\r\n\r\n"
        ).encode() + b"b" * size

    def _send(self, data: bytes) -> None:
        self.run(lambda: self.transport.deliver(data))

    # Steps of the client.

    @stateful.precondition(lambda self: not self.rest and not self.has_ended)
    @stateful.rule(
        sizes=st.lists(st.integers(0, 50), min_size=1, max_size=4),
        is_last=st.sampled_from((False,) * 9 + (True,)),
    )
    def send_requests(self, sizes, is_last):
        """Send one or several whole requests at once."""
        flags = [False] * (len(sizes) - 1) + [is_last]
        data = [self._make_request(*pair) for pair in zip(sizes, flags)]
        self._send(b"".join(data))

    @stateful.precondition(lambda self: not self.rest and not self.has_ended)
    @stateful.rule(size=st.integers(0, 50), cut=st.integers(1, 60))
    def send_part(self, size, cut):
        """Send the first bytes of a request."""
        data = self._make_request(size, False)
        cut = min(cut, len(data) - 1)
        self.rest = data[cut:]
        self._send(data[:cut])

    @stateful.precondition(lambda self: self.rest and not self.has_ended)
    @stateful.rule()
    def send_rest(self):
        """Send the rest of a request."""
        data, self.rest = self.rest, b""
        self._send(data)

    @stateful.precondition(lambda self: not self.rest and not self.has_ended)
    @stateful.rule(is_rare=_RARELY)
    def send_malformed(self, is_rare):
        """Send bytes that are no request."""
        if is_rare:
            return
        self.sent.append("malformed")
        self._send(b"NONSENSE\r\n\r\n")

    @stateful.rule()
    def stop_taking(self):
        """Let the client take no further bytes."""
        self.has_blocked = True
        self.transport.is_blocked = True

    @stateful.rule()
    def take(self):
        """Let the client take all bytes, unless it has left."""
        if not self.has_left:
            self.run(self.transport.unblock)

    @stateful.precondition(lambda self: not self.has_ended)
    @stateful.rule(is_rare=_RARELY)
    def half_close(self, is_rare):
        """End the client's side; it reads on."""
        if is_rare:
            return
        self.has_ended = True
        self._refuse_from(len(self.sent) - bool(self.rest))
        self.run(self.transport.half_close)

    @stateful.precondition(lambda self: not self.has_ended)
    @stateful.rule(is_reset=st.booleans(), is_rare=_RARELY)
    def leave(self, is_reset, is_rare):
        """Close or reset the connection from the client's side."""
        if is_rare:
            return
        self.has_ended = True
        self.has_left = True
        leave = self.transport.reset if is_reset else self.transport.leave
        self.run(leave)

    # Steps of the handler and the process.

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(
        data=st.data(),
        size=st.integers(0, 60),
        kind=st.sampled_from(
            ("plain",) * 4 + ("closing", "error", "aborted", "cancelled")
        ),
    )
    def answer(self, data, size, kind):
        """Let the handler answer any request or fail."""
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        self.run(lambda: self._resolve(number, size, kind))

    def _resolve(self, number: int, size: int, kind: str) -> None:
        future = self.waiting[number]
        if kind in _FAILURES:
            self.results[number] = None
            future.set_exception(_FAILURES[kind])
            return
        body = b"%d:" % number + b"a" * size
        self.results[number] = HttpResponse(200, (), body, kind == "closing")
        if kind == "closing":
            self._refuse_from(len(self.sent) - bool(self.rest))
        future.set_result(self.results[number])

    @stateful.rule()
    def stop(self):
        """Begin the stop of the process."""
        self._note_stop()
        self.server.is_stopping = True

    @stateful.rule(is_rare=_RARELY)
    def stop_accepting(self, is_rare):
        """Let the server accept no further requests."""
        if not is_rare:
            self._stop_accepting()

    def _stop_accepting(self) -> None:
        self._note_stop()
        self._refuse_from(len(self.sent))
        self.run(self.server.stop_accepting)

    def _refuse_from(self, number: int) -> None:
        if self.first_refused is None or number < self.first_refused:
            self.first_refused = number

    def _note_stop(self) -> None:
        if self.answers_before_stop is None:
            self.answers_before_stop = self.transport.written_answers

    @stateful.rule(is_rare=_RARELY)
    def shorten_limits(self, is_rare):
        """Let a configuration with shorter time-outs come into force."""
        if not is_rare:
            self.server.limits = _SHORTER_LIMITS

    @stateful.rule(seconds=st.sampled_from((0.01, 0.1, 0.3, 0.6, 1.1, 5.5)))
    def pass_time(self, seconds):
        """Let time pass and check the timeouts."""
        self._check_timeouts()
        self.now += seconds
        self._check_timeouts()

    def _check_timeouts(self) -> None:
        def check():
            for connection in tuple(self.server.connections):
                connection.check_timeouts(self.now)

        self.run(check)

    @stateful.rule(size=st.integers(1, BUDGET_BYTES), is_rare=_RARELY)
    def use_memory(self, size, is_rare):
        """Let another connection hold memory, or give it back."""
        if is_rare and not self.foreign_bytes:
            return
        if self.foreign_bytes:
            self.budget.release(self.foreign_bytes)
            self.foreign_bytes = 0
        elif self.budget.try_reserve(size):
            self.foreign_bytes = size

    # What always holds.

    @stateful.invariant()
    def answers_are_true_and_in_order(self):
        """Check each answer against the request that it stands for."""
        answers = parse_answers(bytes(self.transport.taken))
        assert len(answers) <= len(self.sent)
        for number, (status, closes, body) in enumerate(answers):
            assert not closes or number == len(answers) - 1, answers
            if status == 200:
                assert body == self.results[number].body
            elif status == 500:
                assert self.results[number] is None
            else:
                assert number not in self.seen, (number, status)
                assert status in (400, 408, 503), status
                if status == 400:
                    assert self.sent[number] == "malformed"

    @stateful.invariant()
    def handler_gets_each_request_once_and_none_after_the_close(self):
        """Check the calls of the handler."""
        assert self.seen == sorted(set(self.seen))
        if self.transport.has_written_close:
            assert all(n < self.transport.written_answers for n in self.seen)

    @stateful.invariant()
    def requests_are_owed_until_they_are_answered(self):
        """Check that what the handler has is owed and not settled."""
        if self.waiting:
            assert self.server.owed_requests >= len(self.waiting)
            assert not self.server.is_settled
        if self.transport.buffer and not self.has_left:
            assert self.server.owed_requests or self.transport.is_lost

    @stateful.invariant()
    def nothing_is_held_for_what_is_over(self):
        """Check the budget while no request is in progress."""
        if not (self.waiting or self.rest or self.transport.buffer):
            if not self.transport.is_blocked:
                assert self.budget.used == self.foreign_bytes

    def teardown(self):
        """End the process; check that all got an answer or a report."""
        try:
            self._finish()
        finally:
            for patcher in self.patchers:
                patcher.stop()
            self.loop.close()

    def _finish(self) -> None:
        self.take()
        self._stop_accepting()
        while self.waiting:
            number = min(self.waiting)
            self.run(lambda n=number: self._resolve(n, 0, "plain"))
        self.answers_are_true_and_in_order()
        self.pass_time(FIRST_REQUEST_WAIT_S + 0.1)
        assert self.rest or self.transport.has_ended
        self.pass_time(_LIMITS.header_timeout_s + 0.1)
        self.pass_time(_LIMITS.idle_timeout_s + 0.1)
        self.answers_are_true_and_in_order()
        self.handler_gets_each_request_once_and_none_after_the_close()
        assert self.server.owed_requests == 0
        self.pass_time(max(LINGER_S, FIRST_REQUEST_WAIT_S) + 0.1)
        self.pass_time(LINGER_S + 0.1)
        assert self.server.is_settled
        assert self.transport.is_lost and not self.server.connections
        assert self.budget.used == self.foreign_bytes
        answers = parse_answers(bytes(self.transport.taken))
        answered = [n for n in self.seen if n < len(answers)]
        reported = [n for n in self.seen if n in self.reported]
        assert sorted(answered + reported) == self.seen, (answered, reported)
        assert len(self.reported) == len(set(self.reported))
        assert self.has_blocked or not self.transport.was_cut
        if self.transport.was_cut or self.has_left:
            return
        assert answered == self.seen
        if len(answers) > self.answers_before_stop:
            assert answers[-1][1], "the last answer does not announce the close"


class ConnectionMachineTest(unittest.TestCase):

    # Guards against LOST: requests that were passed on ended without an answer
    # by one of the ends of a connection.
    def test_each_end_asks_for_what_is_owed(self):
        stateful.run_state_machine_as_test(
            ConnectionMachine,
            settings=settings(
                derandomize=True,
                max_examples=300,
                stateful_step_count=40,
                deadline=None,
            ),
        )


if __name__ == "__main__":
    unittest.main()
