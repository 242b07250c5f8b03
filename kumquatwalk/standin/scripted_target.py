"""Stand-in target whose answers follow a script, faults included."""

import asyncio
import dataclasses
from collections.abc import Callable

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.request_parser import RequestParser

__all__ = ["Run", "Script", "ScriptedTarget"]

_HEADER_BYTES_MAX = 65536
_BODY_BYTES_MAX = 1 << 26


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """How a target answers one request.

    Attributes:
        work_s: Time of the run, in seconds.
        status: Status of the answer.
        body: Body of the answer.
        was_not_run: Whether it says that it did not run the request.
        is_signed: Whether the answer has the target's signature.
        echoes_id: Whether it repeats the request's identifier.
        prefix: Bytes sent before the answer.
        suffix: Bytes sent after the answer.
        sent_share: Share of the answer that is sent before the connection is
            closed; 1 to send all of it and keep the connection.
        has_length: Whether the body is framed by a length; without one it
            ends with the connection.
        extra_headers: Header lines added to the answer.
    """

    work_s: float = 0.0
    status: int = 200
    body: bytes = b"answer"
    was_not_run: bool = False
    is_signed: bool = True
    echoes_id: bool = True
    prefix: bytes = b""
    suffix: bytes = b""
    sent_share: float = 1.0
    has_length: bool = True
    extra_headers: tuple[bytes, ...] = ()


@dataclasses.dataclass(slots=True)
class Run:
    """A request that the target began to run.

    Attributes:
        attempt_id: Identifier of the caller's attempt.
        request: The request.
        at: Time at which it began.
        is_broken_off: Whether its connection was closed during the run.
    """

    attempt_id: str
    request: HttpRequest
    at: float
    is_broken_off: bool = False


class ScriptedTarget:
    """HTTP server on the running event loop.

    Args:
        target_id: Identifier of the target.
        choose_script: Returns the script for a request.

    Attributes:
        runs: Requests that began to run, in order.
        connections_accepted: Connections accepted so far.
    """

    def __init__(
        self,
        target_id: str,
        choose_script: Callable[[HttpRequest], Script] = lambda _: Script(),
    ):
        self.target_id = target_id
        self.choose_script = choose_script
        self.runs: list[Run] = []
        self.connections_accepted = 0
        self.is_healthy = True
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Transport] = set()

    @property
    def address(self) -> Address:
        """Address that the target listens on."""
        return Address("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Begin to serve."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", 0
        )

    async def close(self) -> None:
        """Stop serving and close all connections."""
        self._server.close()
        for transport in tuple(self._connections):
            transport.abort()

    def count_runs(self, attempt_id: str) -> int:
        """Return how often a caller's attempt was run.

        Args:
            attempt_id: Identifier of the attempt.
        """
        return sum(run.attempt_id == attempt_id for run in self.runs)

    def track(self, transport: asyncio.Transport) -> None:
        """Keep a connection so that it can be closed."""
        self.connections_accepted += 1
        self._connections.add(transport)

    def forget(self, transport: asyncio.Transport) -> None:
        """Drop a connection that has ended."""
        self._connections.discard(transport)

    def encode(self, request: HttpRequest, script: Script) -> bytes:
        """Return the bytes of an answer.

        Args:
            request: The request.
            script: How it is answered.
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
        self._target.forget(self._transport)
        if self._task is not None and not self._task.done():
            self._task.cancel()
            if self._run is not None:
                self._run.is_broken_off = True

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
            self._run = Run(attempt_id.decode(), request, read_now())
            target.runs.append(self._run)
        if script.work_s:
            await asyncio.sleep(script.work_s)
        answer = target.encode(request, script)
        if script.sent_share < 1.0:
            self._transport.write(
                answer[: int(len(answer) * script.sent_share)]
            )
            self._transport.close()
            return
        self._transport.write(script.prefix + answer + script.suffix)
        if not script.has_length:
            self._transport.close()

    def _serve_health(self) -> None:
        status = 200 if self._target.is_healthy else 503
        self._transport.write(
            b"HTTP/1.1 %d Status\r\nInstance-Id: %b\r\n"
            b"Instance-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n"
            % (status, self._target.target_id.encode())
        )
