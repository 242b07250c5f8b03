"""Plain forwarder: the baselines without overload control.

One process for each target. A call goes from the forwarder that takes it to
the forwarder of a target in turn and on to the target. A failed call is tried
again, up to three times at each hop. In static mode the forwarder of a target
refuses calls above a fixed limit.
"""

import argparse
import http.server
import itertools
import json
import threading

import urllib3
from urllib3 import exceptions

__all__ = ["main"]

ATTEMPTS = 3
TIMEOUT_S = 3.0
BACKLOG = 1024
GATE_PREFIX = "/gate"


class Forwarder:
    """State of one forwarder.

    Args:
        limit: Fixed limit on calls at the target; 0 for none.
    """

    def __init__(self, limit: int):
        self.places = threading.Semaphore(limit) if limit else None
        self.target = ""
        self.services: dict[str, str] = {}
        self.peers: dict[str, itertools.cycle] = {}
        self.pool = urllib3.PoolManager(num_pools=64, maxsize=512)

    def set_routes(self, routes: dict) -> None:
        """Take the service of each entry and the peers of each service."""
        self.services = routes["services"]
        self.peers = {k: itertools.cycle(v) for k, v in routes["peers"].items()}

    def forward(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a call to peers in turn until one answers well."""
        entry = path.strip("/").partition("/")[0]
        peers = self.peers[self.services[entry]]
        status, data = 503, b"{}"
        for _ in range(ATTEMPTS):
            status, data = self._send(next(peers), GATE_PREFIX + path, body)
            if status == 200:
                break
        return status, data

    def serve(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a call to the target, within the fixed limit."""
        if self.places is None:
            return self._send(self.target, path, body)
        if not self.places.acquire(blocking=False):
            return 503, b"{}"
        try:
            return self._send(self.target, path, body)
        finally:
            self.places.release()

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
    """Handler of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format, *args) -> None:  # pylint: disable=W0622
        """Log nothing; the server calls this for each request."""

    def do_PUT(self) -> None:  # pylint: disable=invalid-name
        """Take the target's announcements and the routes."""
        body = self._read()
        document = json.loads(body)
        if self.path == "/routes":
            self.server.forwarder.set_routes(document)
        else:
            self.server.forwarder.target = f"127.0.0.1:{document['port']}"
        self._answer(200, b"{}")

    def do_POST(self) -> None:  # pylint: disable=invalid-name
        """Serve a call, as the first or as the second of the two hops."""
        body = self._read()
        forwarder = self.server.forwarder
        if self.path.startswith(GATE_PREFIX):
            path = self.path.removeprefix(GATE_PREFIX)
            self._answer(*forwarder.serve(path, body))
        else:
            self._answer(*forwarder.forward(self.path, body))

    def _read(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def _answer(self, status: int, body: bytes) -> None:
        outcome = "done" if status == 200 else "failed"
        self.send_response_only(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Kumquat-Outcome", outcome)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class ForwarderServer(http.server.ThreadingHTTPServer):
    """Server with one thread for each connection."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG

    def __init__(self, forwarder: Forwarder):
        self.forwarder = forwarder
        super().__init__(("127.0.0.1", 0), ForwarderHandler)

    def handle_error(self, request, client_address) -> None:
        """Drop a broken connection quietly."""


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
