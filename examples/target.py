"""Minimal target, which reports to its node and answers calls.

Run it on a VM with a node whose local listener is at 127.0.0.1:8081:

    python -m examples.target --service greetings --node 127.0.0.1:8081

It shows all that a target has to do: report its state to the node at intervals,
propagate the context of a run to the nested calls of the run, and report that
it is draining before it stops.
"""

import argparse
import http.server
import json
import signal
import threading
import urllib.request

REPORT_INTERVAL_S = 0.5
DRAIN_S = 2.0
SLOTS = 8


class StateReporter:
    """Reports the state of the target to its node until it is closed.

    Args:
        node: Address of the node's local listener, ``host:port``.
        service: Service that the target runs.
        port: TCP port on which the target listens.
    """

    def __init__(self, node: str, service: str, port: int):
        self._url = f"http://{node}/kumquatwalk/target"
        self._service = service
        self._port = port
        self._state = "ready"
        self._closed = threading.Event()

    def start(self) -> None:
        """Report now and then every 0.5 s, on a thread."""
        threading.Thread(target=self._report_periodically, daemon=True).start()

    def drain(self) -> None:
        """Report that the target accepts no new calls."""
        self._state = "draining"
        self._report()

    def close(self) -> None:
        """Stop reporting."""
        self._closed.set()

    def _report_periodically(self) -> None:
        while not self._closed.is_set():
            self._report()
            self._closed.wait(REPORT_INTERVAL_S)

    def _report(self) -> None:
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
            pass  # The node may still be starting; the next report follows.


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers calls, after a nested call if one is configured.

    Attributes:
        node: Address of the node's local listener, ``host:port``.
        calls: Entry to call in each run; empty for none.
    """

    protocol_version = "HTTP/1.1"
    node = ""
    calls = ""

    def do_POST(self) -> None:  # pylint: disable=invalid-name
        """Answer one call."""
        length = int(self.headers.get("Content-Length", 0))
        answer = {"hello": self.rfile.read(length).decode()}
        try:
            if self.calls:
                answer["inner"] = self._make_nested_call()
        except OSError as error:
            self._send(502, {"error": str(error)})
        else:
            self._send(200, answer)

    def log_message(self, *_args) -> None:  # pylint: disable=arguments-differ
        """Log nothing, in place of one line per request."""

    def _send(self, status: int, answer: object) -> None:
        body = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _make_nested_call(self) -> object:
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
    parser.add_argument("--calls", default="", help="entry to call in each run")
    options = parser.parse_args()
    Handler.node, Handler.calls = options.node, options.calls
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    reporter = StateReporter(options.node, options.service, server.server_port)
    reporter.start()
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()
    reporter.drain()
    threading.Event().wait(DRAIN_S)
    reporter.close()
    server.shutdown()


if __name__ == "__main__":
    main()
