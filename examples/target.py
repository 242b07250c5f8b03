"""A small target: announces itself to its node and answers calls.

Run it on a VM with a node whose local listener is at 127.0.0.1:8081:

    python -m examples.target --service greetings --node 127.0.0.1:8081

It shows all that a target has to do: announce itself again and again, pass the
context of a run on to the calls that the run makes, and announce that it drains
before it stops.
"""

import argparse
import http.server
import json
import signal
import threading
import urllib.request

ANNOUNCE_INTERVAL_S = 0.5
DRAIN_S = 2.0
SLOTS = 8


class Announcer:
    """Tells the node about the target until it is closed.

    Args:
        node: Local listener of the node, ``host:port``.
        service: Service of the target.
        port: Port of the target.
    """

    def __init__(self, node: str, service: str, port: int):
        self._url = f"http://{node}/kumquatwalk/target"
        self._service = service
        self._port = port
        self._state = "ready"
        self._closed = threading.Event()

    def start(self) -> None:
        """Announce the target now and from time to time."""
        threading.Thread(target=self._repeat, daemon=True).start()

    def drain(self) -> None:
        """Announce that the target takes no new calls."""
        self._state = "draining"
        self._announce()

    def close(self) -> None:
        """Announce no more."""
        self._closed.set()

    def _repeat(self) -> None:
        while not self._closed.is_set():
            self._announce()
            self._closed.wait(ANNOUNCE_INTERVAL_S)

    def _announce(self) -> None:
        report = {
            "service": self._service,
            "slots": SLOTS,
            "connections": 100,
            "port": self._port,
            "state": self._state,
        }
        body = json.dumps(report).encode()
        request = urllib.request.Request(self._url, body, method="PUT")
        try:
            urllib.request.urlopen(request, timeout=1).close()
        except OSError:
            pass  # The node may be starting; the next report follows soon.


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers calls; calls on to another entry when one is set."""

    protocol_version = "HTTP/1.1"
    node = ""
    calls = ""

    def do_POST(self) -> None:  # pylint: disable=invalid-name
        """Answer one call."""
        length = int(self.headers.get("Content-Length", 0))
        answer = {"hello": self.rfile.read(length).decode()}
        try:
            if self.calls:
                answer["inner"] = self._call_on()
        except OSError as error:
            self._send(502, {"error": str(error)})
        else:
            self._send(200, answer)

    def log_message(self, *_args) -> None:  # pylint: disable=arguments-differ
        """Log nothing."""

    def _send(self, status: int, answer: object) -> None:
        body = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _call_on(self) -> object:
        context = self.headers["Kumquat-Context"]
        request = urllib.request.Request(
            f"http://{self.node}/{self.calls}",
            b"from inside",
            {"Kumquat-Context": context},
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)


def main() -> None:
    """Run the target until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--service", required=True)
    parser.add_argument("--node", required=True, help="host:port")
    parser.add_argument("--calls", default="", help="entry to call on to")
    options = parser.parse_args()
    Handler.node, Handler.calls = options.node, options.calls
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    announcer = Announcer(options.node, options.service, server.server_port)
    announcer.start()
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stopping.wait()
    announcer.drain()
    threading.Event().wait(DRAIN_S)
    announcer.close()
    server.shutdown()


if __name__ == "__main__":
    main()
