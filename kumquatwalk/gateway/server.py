"""HTTP listener of a node, built on cheroot below its WSGI layer."""

import http
import json
import threading
from collections.abc import Callable

from cheroot import errors
from cheroot import server as cheroot_server

from kumquatwalk.gateway.connection import HttpConnection
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.gateway.response import HttpResponse
from kumquatwalk.gateway.workers import WorkerPool

__all__ = ["HttpServer"]


def _make_refusal(status: int, code: str, message: str) -> HttpResponse:
    lines = f"Kumquat-Outcome: not_run\r\nKumquat-Code: {code}\r\n"
    document = {"code": code, "message": message, "outcome": "not_run"}
    return HttpResponse(
        status,
        lines.encode() + b"Content-Type: application/json\r\n",
        json.dumps(document).encode() + b"\n",
    )


_BACKLOG = 512
_IDLE_TIMEOUT_S = 60
# cheroot raises this text for a chunked body over the limit.
_TOO_LARGE_TEXT = "Request Entity Too Large"
_TOO_LARGE = _make_refusal(413, "body_too_large", "the body is over the limit")
_MALFORMED = _make_refusal(400, "request_malformed", "the body is malformed")
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_CLOSE = b"Connection: close\r\n"
_KEEP_ALIVE = b"Connection: Keep-Alive\r\n"
_NO_BODY = frozenset((204, 304))


class HttpServer:
    """Accepts HTTP connections and hands whole requests to a handler.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 lets the system choose.
        handler: Called with each request on a thread of the pool.
        workers: Threads that serve connections.
        body_bytes_max: Longest body accepted.
        header_bytes_max: Longest header section accepted.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Callable[[HttpRequest], HttpResponse],
        workers: WorkerPool,
        body_bytes_max: int,
        header_bytes_max: int,
    ):
        self.handler = handler
        self.is_draining = False
        self._workers = workers
        self._server = _Server(
            (host, port), gateway=lambda request: _Gateway(request, self)
        )
        self._server.requests = workers
        setattr(self._server, "ConnectionClass", HttpConnection)
        self._server.max_request_body_size = body_bytes_max
        self._server.max_request_header_size = header_bytes_max
        self._server.keep_alive_conn_limit = None
        self._server.request_queue_size = _BACKLOG
        self._server.timeout = _IDLE_TIMEOUT_S

    @property
    def port(self) -> int:
        """TCP port listened on; valid after ``start``."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Bind the listener and start serving.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server.prepare()
        thread = threading.Thread(
            target=self._server.serve, name="http", daemon=True
        )
        thread.start()

    def drain(self) -> None:
        """Answer what still arrives and close each connection after it."""
        self.is_draining = True

    def close(self, timeout_s: float) -> None:
        """Stop listening, finish what is being served and close.

        Args:
            timeout_s: Longest wait for requests in progress.
        """
        self.drain()
        self._server.shutdown_timeout = timeout_s
        self._server.stop()


class _Server(cheroot_server.HTTPServer):
    """cheroot's server with a stop that serves what has already arrived."""

    def error_log(self, msg="", level=20, traceback=False):
        """Drop the message: callers' faults are answered, not logged."""

    def stop(self):
        """Serve connections and requests that have arrived, then stop."""
        if not self.ready:
            return
        # cheroot has no public way to take what is left in its selector.
        # pylint: disable=protected-access
        connections = self._connections
        connections.stop()
        self.socket.setblocking(False)
        for descriptor, connection in list(connections._selector.select(0)):
            if connection is not self:
                connections._selector.unregister(descriptor)
                self.process_conn(connection)
        while (
            late := connections._from_server_socket(self.socket)
        ) is not None:
            self.process_conn(late)
        super().stop()


class _Gateway(cheroot_server.Gateway):
    """Turns a parsed request into an answer sent with one system call."""

    def __init__(self, req, owner: HttpServer):
        super().__init__(req)
        self._owner = owner

    def respond(self) -> None:
        """Read the body, call the handler and send its answer."""
        request = self.req
        try:
            body = _read_body(request)
        except (OSError, ValueError) as error:
            request.close_connection = True
            response = _explain_bad_body(error)
        else:
            response = self._owner.handler(_make_request(request, body))
        if self._owner.is_draining:
            request.close_connection = True
        request.sent_headers = True
        request.conn.wfile.write(_join(request, response))


def _read_body(request) -> bytes:
    try:
        body = request.rfile.read()
    except errors.MaxSizeExceeded as error:
        raise OSError(_TOO_LARGE_TEXT) from error
    length = int(request.inheaders.get(b"Content-Length", 0))
    if not request.chunked_read and len(body) != length:
        raise ValueError("the body was cut short")
    return body


def _explain_bad_body(error: Exception) -> HttpResponse:
    if error.args and error.args[0] == _TOO_LARGE_TEXT:
        return _TOO_LARGE
    return _MALFORMED


def _make_request(request, body: bytes) -> HttpRequest:
    return HttpRequest(
        method=request.method.decode("ascii", "replace"),
        url=request.uri,
        headers=request.inheaders,
        body=body,
        remote_host=request.conn.remote_addr or "",
    )


def _join(request, response: HttpResponse) -> bytes:
    status = response.status
    reason = _REASONS.get(status, "Unknown")
    connection = b""
    if request.close_connection:
        connection = _CLOSE
    elif request.response_protocol != "HTTP/1.1":
        connection = _KEEP_ALIVE
    start = b"HTTP/1.1 %d %b\r\n" % (status, reason.encode("ascii"))
    if status in _NO_BODY:
        return start + response.headers + connection + b"\r\n"
    length = b"Content-Length: %d\r\n" % len(response.body)
    head = start + response.headers + length + connection + b"\r\n"
    return head if request.method == b"HEAD" else head + response.body
