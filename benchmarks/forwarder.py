"""HTTP forwarder without overload control, the baseline of the benchmark.

One forwarder runs beside each target. The forwarder that receives a call sends
it to the forwarders of the service's targets in round-robin order, and these
pass it to their targets. A failed call is retried: each forwarder makes up to
three attempts in all. With a fixed limit, the forwarder of a target refuses
calls above that number of concurrent calls.
"""

import argparse
import http.server
import itertools
import json
import threading

import urllib3
from urllib3 import exceptions

__all__ = ["main"]

MAX_ATTEMPTS = 3
TIMEOUT_S = 3.0
LISTEN_BACKLOG = 1024
TARGET_SIDE_PREFIX = "/gate"


class Forwarder:
    """Routes calls to peers and passes peers' calls to the target.

    Args:
        limit: Maximum number of concurrent calls at the target; 0 for no
            limit.
    """

    def __init__(self, limit: int):
        self.slots = threading.Semaphore(limit) if limit else None
        self.target = ""
        self.services: dict[str, str] = {}
        self.peers: dict[str, itertools.cycle] = {}
        self.pool = urllib3.PoolManager(num_pools=64, maxsize=512)

    def set_routes(self, routes: dict) -> None:
        """Replace the service of each entry and the peers of each service."""
        self.services = routes["services"]
        self.peers = {k: itertools.cycle(v) for k, v in routes["peers"].items()}

    def forward(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a call to peers in round-robin order until one returns 200."""
        entry = path.strip("/").partition("/")[0]
        peers = self.peers[self.services[entry]]
        status, data = 503, b"{}"
        for _ in range(MAX_ATTEMPTS):
            status, data = self._send(
                next(peers), TARGET_SIDE_PREFIX + path, body
            )
            if status == 200:
                break
        return status, data

    def serve(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a call to the target, or return 503 at the fixed limit."""
        if self.slots is None:
            return self._send(self.target, path, body)
        if not self.slots.acquire(blocking=False):
            return 503, b"{}"
        try:
            return self._send(self.target, path, body)
        finally:
            self.slots.release()

    def _send(self, address: str, path: str, body: bytes) -> tuple[int, bytes]:
        try:
            response = self.pool.request(
                "POST",
                f"http://{address}{path}",
                body=body,
                retries=False,
                timeout=TIMEOUT_S,
            )
        except exceptions.HTTPError:
            return 502, b"{}"
        return response.status, response.data


class ForwarderHandler(http.server.BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format, *args) -> None:  # pylint: disable=W0622
        """Log nothing, in place of one line per request."""

    def do_PUT(self) -> None:  # pylint: disable=invalid-name
        """Accept the routes or a report of the target."""
        body = self._read()
        document = json.loads(body)
        if self.path == "/routes":
            self.server.forwarder.set_routes(document)
        else:
            self.server.forwarder.target = f"127.0.0.1:{document['port']}"
        self._respond(200, b"{}")

    def do_POST(self) -> None:  # pylint: disable=invalid-name
        """Forward a call to a peer, or a peer's call to the target."""
        body = self._read()
        forwarder = self.server.forwarder
        if self.path.startswith(TARGET_SIDE_PREFIX):
            path = self.path.removeprefix(TARGET_SIDE_PREFIX)
            self._respond(*forwarder.serve(path, body))
        else:
            self._respond(*forwarder.forward(self.path, body))

    def _read(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def _respond(self, status: int, body: bytes) -> None:
        outcome = "done" if status == 200 else "failed"
        self.send_response_only(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Kumquat-Outcome", outcome)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class ForwarderServer(http.server.ThreadingHTTPServer):
    """HTTP server with one thread per connection."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, forwarder: Forwarder):
        self.forwarder = forwarder
        super().__init__(("127.0.0.1", 0), ForwarderHandler)

    def handle_error(self, request, client_address) -> None:
        """Ignore errors of broken connections."""


def main() -> None:
    """Run a forwarder until it is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limit", type=int, default=0)
    arguments = parser.parse_args()
    threading.stack_size(256 * 1024)
    server = ForwarderServer(Forwarder(arguments.limit))
    print(f"listening 127.0.0.1:{server.server_address[1]}", flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
