"""Simulated target with scripted answers and faults."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.request_parser import RequestParser

__all__ = ["Run", "Script", "ScriptedTarget"]

_HEADER_BYTES_MAX = 65536
_BODY_BYTES_MAX = 1 << 26
_BUFFER_BYTES_MAX = 1 << 20
# Time for which an answer that was written may be in transit, in seconds.
_TRANSIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """Behaviour of a target for one request.

    Attributes:
        work_s: Duration of the run, in seconds.
        status: HTTP status of the answer.
        body: Body of the answer.
        was_not_run: Whether the target rejects the request with
            ``Not-Executed`` instead of running it.
        is_signed: Whether the answer has the ``Server-Seal`` header.
        echoes_id: Whether the answer repeats the request's ``Attempt-Id``.
        prefix: Bytes sent before the answer.
        suffix: Bytes sent after the answer.
        sent_fraction: Fraction of the answer that is sent before the connection
            is closed; 1 to send all of it and keep the connection open.
        has_length: Whether the answer has a ``Content-Length``; without one
            the body ends when the connection is closed.
        extra_headers: Header lines added to the answer.
        endless: Bytes sent again and again after the prefix, in place of the
            answer, until the connection is lost; empty for an answer.
        crashes: Whether the target crashes at the end of the run, instead of
            answering.
        perform: Coroutine function that does further work and returns the
            behaviour from there on; None for none.
    """

    work_s: float = 0.0
    status: int = 200
    body: bytes = b"answer"
    was_not_run: bool = False
    is_signed: bool = True
    echoes_id: bool = True
    prefix: bytes = b""
    suffix: bytes = b""
    sent_fraction: float = 1.0
    has_length: bool = True
    extra_headers: tuple[bytes, ...] = ()
    endless: bytes = b""
    crashes: bool = False
    perform: Callable[[], Awaitable["Script"]] | None = None


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at the target.

    Attributes:
        attempt_id: Value of ``Attempt-Id``.
        request: Request that is run.
        at: Monotonic start time, in seconds.
        is_aborted: Whether the connection was lost during the run.
        ended_at: Monotonic time at which the answer was written or the
            connection was lost, in seconds; None before.
        is_broken_off: Whether the target broke the connection off during the
            run, or so soon after it that the answer may be lost.
        target_id: Identifier of the target at its start.
        status: Status of its answer.
    """

    attempt_id: str
    request: HttpRequest
    at: float
    is_aborted: bool = False
    ended_at: float | None = None
    is_broken_off: bool = False
    target_id: str = ""
    status: int = 200


class ScriptedTarget:
    """Simulated target served over HTTP on the running event loop.

    Args:
        target_id: Identifier of the target.
        choose_script: Returns the script for a request.
        host: Address to listen on.

    Attributes:
        runs: Runs in order of their start.
        connections_accepted: Number of connections accepted so far.
        is_healthy: Whether health checks are answered with status 200; if
            not, with 503.
        crash_count: Number of crashes so far.
        load: Running requests, waiting requests and slots, as health checks
            are answered.
    """

    def __init__(
        self,
        target_id: str,
        choose_script: Callable[[HttpRequest], Script] = lambda _: Script(),
        host: str = "127.0.0.1",
    ):
        self.target_id = target_id
        self.choose_script = choose_script
        self.runs: list[Run] = []
        self.connections_accepted = 0
        self.is_healthy = True
        self.crash_count = 0
        self.load = (0, 0, 8)
        self._host = host
        self._port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Transport] = set()

    @property
    def address(self) -> Address:
        """Listening address; available once the target is started."""
        return Address(self._host, self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start the server, on the port it had before or a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), self._host, self._port
        )
        self._port = self.address.port

    @property
    def is_running(self) -> bool:
        """Whether the target accepts connections."""
        return self._server.is_serving()

    async def restart(self, target_id: str) -> None:
        """Start a crashed target again, under a new identifier.

        Args:
            target_id: New identifier.
        """
        self.target_id = target_id
        await self.start()

    def crash(self) -> None:
        """Stop listening and abort all connections."""
        if self.is_running:
            self.crash_count += 1
            self._abort()

    async def close(self) -> None:
        """Stop the server and abort all connections."""
        self._abort()

    def _abort(self) -> None:
        self._server.close()
        for transport in tuple(self._connections):
            transport.abort()

    def count_runs(self, attempt_id: str) -> int:
        """Return the number of runs of an attempt.

        Args:
            attempt_id: Value of ``Attempt-Id``.
        """
        return sum(run.attempt_id == attempt_id for run in self.runs)

    def track(self, transport: asyncio.Transport) -> None:
        """Register an accepted connection, so that ``close`` can abort it."""
        self.connections_accepted += 1
        self._connections.add(transport)

    def untrack(self, transport: asyncio.Transport) -> None:
        """Unregister a connection that was lost."""
        self._connections.discard(transport)

    def encode(self, request: HttpRequest, script: Script) -> bytes:
        """Encode the HTTP response to a request.

        Args:
            request: Request to answer.
            script: Behaviour for the request.
        """
        lines = [b"HTTP/1.1 %d Status" % script.status]
        attempt_id = request.find_header(b"attempt-id")
        if script.echoes_id and attempt_id is not None:
            lines.append(b"Attempt-Id: " + attempt_id)
        if script.was_not_run:
            lines.append(b"Not-Executed: 1")
        elif script.is_signed:
            lines.append(b"Server-Seal: seal-" + self.target_id.encode())
        if script.has_length:
            lines.append(b"Content-Length: %d" % len(script.body))
        lines += script.extra_headers
        return b"\r\n".join(lines) + b"\r\n\r\n" + script.body


class _Connection(asyncio.Protocol):

    def __init__(self, target: ScriptedTarget):
        self._target = target
        self._parser = RequestParser(_HEADER_BYTES_MAX, _BODY_BYTES_MAX)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._run: Run | None = None

    def connection_made(self, transport):
        self._transport = transport
        self._target.track(transport)

    def data_received(self, data):
        for request in self._parser.feed(data, read_now()):
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve(request))

    def connection_lost(self, exc):
        self._target.untrack(self._transport)
        if self._run is not None and not self._target.is_running:
            ended_at = self._run.ended_at
            self._run.is_broken_off = (
                ended_at is None or read_now() - ended_at < _TRANSIT_S
            )
        if self._task is not None and not self._task.done():
            self._task.cancel()
            if self._run is not None:
                self._run.is_aborted = True
                self._run.ended_at = read_now()

    async def _serve(self, request: HttpRequest) -> None:
        if request.url == b"/health":
            self._serve_health()
            return
        target = self._target
        expected = request.find_header(b"expect-instance")
        if expected not in (None, target.target_id.encode()):
            script = Script(status=421, was_not_run=True)
            self._transport.write(target.encode(request, script))
            return
        script = target.choose_script(request)
        if not script.was_not_run:
            attempt_id = request.find_header(b"attempt-id") or b""
            self._run = Run(
                attempt_id.decode(),
                request,
                read_now(),
                target_id=target.target_id,
            )
            target.runs.append(self._run)
        if script.work_s:
            await asyncio.sleep(script.work_s)
        if script.perform is not None:
            script = await script.perform()
        if script.crashes:
            target.crash()
            return
        if script.endless:
            await self._send_without_end(script)
            return
        answer = target.encode(request, script)
        if script.sent_fraction < 1.0:
            self._transport.write(
                answer[: int(len(answer) * script.sent_fraction)]
            )
            self._transport.close()
            return
        self._transport.write(script.prefix + answer + script.suffix)
        if not script.was_not_run:
            self._run.ended_at = read_now()
            self._run.status = script.status
        if not script.has_length:
            self._transport.close()

    async def _send_without_end(self, script: Script) -> None:
        self._transport.write(script.prefix)
        while not self._transport.is_closing():
            if self._transport.get_write_buffer_size() < _BUFFER_BYTES_MAX:
                self._transport.write(script.endless)
            await asyncio.sleep(0)

    def _serve_health(self) -> None:
        status = 200 if self._target.is_healthy else 503
        self._transport.write(
            b"HTTP/1.1 %d Status\r\nInstance-Id: %b\r\n"
            b"Instance-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n"
            % (status, self._target.target_id.encode(), *self._target.load)
        )
