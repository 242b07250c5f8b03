"""HTTP server of a simulated target."""

import http.server
import json
from typing import Protocol

from kumquatwalk.exception import RequestError
from kumquatwalk.standin.target_call import TargetCall
from kumquatwalk.standin.target_call import TargetReply
from kumquatwalk.standin.target_faults import TargetFaults
from kumquatwalk.standin.target_faults import parse_faults

__all__ = ["TargetInterface", "TargetHandler", "TargetServer"]

MAX_BODY_BYTES = 16 * 1024 * 1024
LISTEN_BACKLOG = 1024


class TargetInterface(Protocol):
    """Operations of a target that its HTTP handlers use."""

    def run_call(self, call: TargetCall) -> TargetReply:
        """Run a call, or shed it."""

    def set_faults(self, faults: TargetFaults) -> None:
        """Replace the injected faults."""

    def encode_runs(self) -> bytes:
        """Return the log of runs as JSON."""

    def drain(self) -> None:
        """Start draining; the target closes once it is idle."""

    def begin_request(self) -> None:
        """Record the start of a request."""

    def end_request(self) -> None:
        """Record the end of a request."""

    def count_connection(self) -> int:
        """Return the sequence number of a new connection."""

    def is_silent(self, connection: int, kind: str) -> bool:
        """Return whether a connection must not answer any more."""

    def wait_closed(self) -> None:
        """Wait until the target has closed."""


class TargetServer(http.server.ThreadingHTTPServer):
    """HTTP server with one thread per connection.

    Args:
        address: Host and port to listen on.
        target: Target that runs the calls.
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, address: tuple[str, int], target: TargetInterface):
        self.target = target
        super().__init__(address, TargetHandler)

    def handle_error(self, request, client_address) -> None:
        """Suppress the traceback of a broken connection."""


class TargetHandler(http.server.BaseHTTPRequestHandler):
    """Handler of the requests on one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: TargetServer

    def setup(self) -> None:
        """Assign a sequence number to the new connection."""
        super().setup()
        self._connection = self.server.target.count_connection()

    def log_message(self, format, *args) -> None:  # pylint: disable=W0622
        """Suppress the access log."""

    def __getattr__(self, name: str):
        if name.startswith("do_"):
            return self._handle
        raise AttributeError(name)

    def _handle(self) -> None:
        target = self.server.target
        target.begin_request()
        try:
            is_silent = self._serve(target)
        finally:
            target.end_request()
        if is_silent:
            target.wait_closed()

    def _serve(self, target: TargetInterface) -> bool:
        length = int(self.headers.get("Content-Length") or 0)
        if length > MAX_BODY_BYTES:
            self.close_connection = True
            self._send(TargetReply(413, b"{}"))
            return False
        body = self.rfile.read(length)
        if target.is_silent(self._connection, "requests"):
            return True
        reply = self._answer(target, body)
        if target.is_silent(self._connection, "answers"):
            return True
        self._send(reply)
        return False

    def _answer(self, target: TargetInterface, body: bytes) -> TargetReply:
        match (self.command, self.path):
            case ("PUT", "/faults"):
                return self._set_faults(target, body)
            case ("PUT", "/drain"):
                target.drain()
                return TargetReply(200, b"{}")
            case ("GET", "/runs"):
                return TargetReply(200, target.encode_runs())
        headers = self.headers
        timeout_ms = headers.get("Kumquat-Timeout-Ms")
        return target.run_call(
            TargetCall(
                path=self.path,
                body=body,
                request_id=headers.get("Kumquat-Request-Id", ""),
                context=headers.get("Kumquat-Context", ""),
                key=headers.get("Idempotency-Key")
                or headers.get("Kumquat-Ticket", ""),
                timeout_s=float(timeout_ms) / 1000 if timeout_ms else None,
            )
        )

    def _set_faults(self, target: TargetInterface, body: bytes) -> TargetReply:
        try:
            faults = parse_faults(body)
        except RequestError as error:
            text = json.dumps({"code": error.code, "message": error.message})
            return TargetReply(400, text.encode())
        target.set_faults(faults)
        self._connection = target.count_connection()
        return TargetReply(200, b"{}")

    def _send(self, reply: TargetReply) -> None:
        self.send_response_only(reply.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(reply.body)))
        if reply.is_shed:
            self.send_header("Kumquat-Not-Run", "1")
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(reply.body)
        self.wfile.flush()
