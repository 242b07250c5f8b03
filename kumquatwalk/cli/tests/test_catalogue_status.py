"""Tests of the catalogue status command."""

import dataclasses
import json
import socket
import threading
import unittest

from click.testing import CliRunner

from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.catalogue.tests.examples import ADMIN
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.cli.main import main
from kumquatwalk.cli.member_row import MemberRow
from kumquatwalk.cli.member_row import MemberTable
from kumquatwalk.cli.node_status import merge_tables
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.standin.store_thread import StoreThread

TIMEOUT_S = 30.0


def make_table(*members):
    """Return a membership table.

    Args:
        members: Identifier, state and revision of each member.
    """
    rows = [
        MemberRow(name, 1, "z", "h", state, "", "absent", 0, revision)
        for name, state, revision in members
    ]
    return MemberTable("x", "z", tuple(rows))


def make_body(revision):
    """Return the body of a node's response: one member at a revision."""
    member = dataclasses.asdict(make_table(("n1", "alive", revision)).rows[0])
    document = {"node_id": "x", "zone": "z", "members": [member]}
    return json.dumps(document).encode()


class MergeTest(unittest.TestCase):

    def test_nodes_that_are_not_linked_to_one_do_not_count(self):
        tables = (
            make_table(("n1", "alive", 5), ("n2", "unlinked", 0)),
            make_table(("n1", "unlinked", 0), ("n2", "unlinked", 0)),
        )
        statuses = {s.node_id: s for s in merge_tables(tables, 5)}
        self.assertEqual(statuses["n1"].reach, "alive")
        self.assertTrue(statuses["n1"].is_current)
        self.assertEqual(statuses["n2"].reach, "unknown")
        self.assertIsNone(statuses["n2"].is_current)

    def test_reach_and_revision(self):
        tables = (
            make_table(
                ("n1", "alive", 5),
                ("n2", "dead", 3),
                ("n3", "alive", 4),
                ("n4", "left", 5),
                ("n5", "suspect", 5),
            ),
            make_table(
                ("n1", "alive", 4),
                ("n2", "alive", 5),
                ("n3", "alive", 4),
                ("n4", "dead", 5),
                ("n5", "dead", 5),
                ("n6", "alive", 5),
            ),
        )
        found = [
            (s.node_id, s.revision, s.reach, s.is_current)
            for s in merge_tables(tables, 5)
        ]
        expected = [
            ("n1", 5, "alive", True),
            ("n2", 5, "cut_off", True),
            ("n3", 4, "alive", False),
            ("n4", 5, "left", None),
            ("n5", 5, "unknown", None),
            ("n6", 5, "cut_off", True),
        ]
        self.assertEqual(found, expected)
        unknown = {status.is_current for status in merge_tables(tables, None)}
        self.assertEqual(unknown, {None})


class StatusTest(unittest.TestCase):

    def setUp(self):
        server = StoreThread()
        self.addCleanup(server.close)
        server.start()
        self.platform = server.address
        client = BlockingStoreClient(self.platform, timeout_s=TIMEOUT_S)
        change = make_change(make_entry("a"), 1)
        CatalogueStore(client).edit((change,), ADMIN)

    def serve_members(self, body):
        """Serve the body to one request and return the listening address."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"

        def respond():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(head.encode() + body)

        thread = threading.Thread(target=respond, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def run_status(self, *bodies, as_json):
        """Run the command against nodes that respond with the bodies."""
        arguments = ["catalogue", "status", "--platform", self.platform]
        arguments += ["--platform-timeout", "30"]
        for body in bodies:
            arguments += ["--node", self.serve_members(body)]
        arguments += ["--json"] if as_json else []
        result = CliRunner().invoke(main, arguments)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.stdout

    def test_revisions_and_failed_queries(self):
        bodies = make_body(1), b"{", make_body("1")
        shown = json.loads(self.run_status(*bodies, as_json=True))
        self.assertEqual(shown["platform_revision"], 1)
        errors = [asked["error"] for asked in shown["asked"]]
        self.assertEqual(errors, ["", "answer_malformed", "answer_malformed"])
        self.assertEqual(shown["nodes"][0]["is_current"], True)
        self.assertEqual(shown["nodes"][0]["reach"], "alive")

    def test_warning_if_nodes_are_ahead_of_the_platform(self):
        shown = self.run_status(make_body(9), as_json=False)
        self.assertIn("warning: nodes run revision 9", shown)
