"""Tests of the commands that query a node."""

import http.server
import json
import threading
import unittest

from click.testing import CliRunner

from kumquatwalk import __version__
from kumquatwalk.cli.main import main

_MEMBER = {
    "node_id": "b1",
    "incarnation": 5,
    "zone": "b",
    "host": "127.0.0.2",
    "state": "alive",
    "service": "payments",
    "target_state": "ready",
    "slots": 120,
    "catalogue_revision": 7,
}
_BODIES = {
    "/kumquatwalk/members": json.dumps(
        {
            "members": [_MEMBER, {**_MEMBER, "node_id": "a1", "zone": "a"}],
            "node_id": "a1",
            "zone": "a",
        }
    ),
    "/kumquatwalk/metrics": 'calls_total{entry="pay"} 3\nin_flight NaN\n',
}


class _Handler(http.server.BaseHTTPRequestHandler):
    bodies: dict[str, str] = {}

    def do_GET(self):  # pylint: disable=invalid-name
        body = self.bodies.get(self.path, "").encode()
        self.send_response(200 if body else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_args):  # pylint: disable=arguments-differ
        pass


class NodeCommandsTest(unittest.TestCase):

    def setUp(self):
        handler = type("Handler", (_Handler,), {"bodies": dict(_BODIES)})
        self.bodies = handler.bodies
        self.server = http.server.HTTPServer(("127.0.0.1", 0), handler)
        thread = threading.Thread(target=self.server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)

    def invoke(self, *arguments: str):
        node = f"--node=127.0.0.1:{self.server.server_port}"
        return CliRunner().invoke(main, [*arguments, node])

    def test_members_are_sorted_by_zone(self):
        result = self.invoke("members")
        self.assertEqual(result.exit_code, 0)
        lines = result.stdout.splitlines()
        self.assertEqual(lines[0], "2 members as seen by a1 in zone a")
        first_cells = [line.split()[0] for line in lines[1:]]
        self.assertEqual(first_cells, ["NODE", "a1", "b1"])
        self.assertEqual(lines[3].split()[-3:], ["ready", "120", "7"])

    def test_members_as_json(self):
        rows = json.loads(self.invoke("members", "--json").stdout)["rows"]
        self.assertEqual(rows[1], _MEMBER)

    def test_metrics(self):
        result = self.invoke("metrics", "--filter=calls")
        cells = result.stdout.splitlines()[1].split()
        self.assertEqual(cells, ["calls_total", "entry=pay", "3"])
        self.assertNotIn("in_flight", result.stdout)
        values = json.loads(self.invoke("metrics", "--json").stdout)
        self.assertEqual([v["value"] for v in values], [3.0, None])

    def test_malformed_and_missing_responses(self):
        self.bodies["/kumquatwalk/members"] = '{"members": [{}]}'
        del self.bodies["/kumquatwalk/metrics"]
        result = self.invoke("members")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("error: answer_malformed", result.stderr)
        result = self.invoke("metrics")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("error: node_refused", result.stderr)

    def test_control_characters_are_escaped(self):
        self.bodies["/kumquatwalk/metrics"] = 'x{a="\x1b[2J"} 1\n'
        self.assertIn("a=\\x1b[2J", self.invoke("metrics").stdout)


class OtherCommandsTest(unittest.TestCase):

    def test_exit_codes_of_unreachable_node_and_invalid_address(self):
        for node, code in (("127.0.0.1:1", 5), ("nowhere", 2)):
            result = CliRunner().invoke(main, ["members", "--node", node])
            self.assertEqual(result.exit_code, code, result.output)

    def test_version(self):
        result = CliRunner().invoke(main, ["version", "--json"])
        self.assertEqual(json.loads(result.stdout)["version"], __version__)
        result = CliRunner().invoke(main, ["version"])
        self.assertIn(f"kumquatwalk {__version__} ", result.stdout)
