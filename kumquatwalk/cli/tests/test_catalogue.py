"""Tests of the catalogue commands against the stand-in platform."""

import json
import unittest
from unittest import mock

from click.testing import CliRunner

from kumquatwalk.catalogue.store import CATALOGUE_KEY
from kumquatwalk.cli import catalogue_write
from kumquatwalk.cli.main import main
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.standin.store_faults import StoreFaults
from kumquatwalk.standin.store_thread import StoreThread

NEW = (
    "--owner shop --service orders --in-flight 9 --rate 5 --retries 2"
    " --time-ms 900"
)


class CatalogueCommandsTest(unittest.TestCase):

    def setUp(self):
        self.server = StoreThread()
        self.addCleanup(self.server.close)
        self.server.start()
        self.environment = {
            "KUMQUATWALK_PLATFORM": self.server.address,
            "KUMQUATWALK_PLATFORM_TIMEOUT": "30",
            "KUMQUATWALK_AUTHOR": "shop/ama",
            "KUMQUATWALK_REASON": "because",
        }
        self.run_command(f"set a {NEW}")
        self.run_command(f"set b {NEW} --call a")

    def run_command(self, arguments, status=0, data=None):
        """Run a catalogue command and return what it printed."""
        result = CliRunner().invoke(
            main,
            ["catalogue", *arguments.split()],
            input=data,
            env=self.environment,
        )
        self.assertEqual(result.exit_code, status, result.output)
        return result.stdout if status == 0 else result.stderr

    def run_json(self, arguments, data=None):
        """Run a command with --json and return the decoded output."""
        return json.loads(self.run_command(f"{arguments} --json", 0, data))

    def check_error(self, arguments, status, code, data=None):
        """Check that a command fails with a status and a code.

        The catalogue must be unchanged afterwards.
        """
        before = self.run_json("list")
        shown = self.run_command(f"{arguments} --json", status, data)
        self.assertEqual(json.loads(shown)["error"]["code"], code)
        self.assertEqual(self.run_json("list"), before)

    def test_set_changes_only_the_given_fields(self):
        before = self.run_json("show b")
        printed = self.run_command("set b --in-flight 12 --expect 2")
        self.assertIn("- in_flight: 9\n+ in_flight: 12\n", printed)
        self.assertIn("accepted as revision 3", printed)
        after = self.run_json("show b")
        self.assertEqual(after["revision"], 3)
        before["entry"]["limits"]["in_flight"] = 12
        self.assertEqual(after["entry"], before["entry"])
        self.assertEqual(after["reachable"], ["a"])
        self.run_command("set b --no-calls --idempotent --importance high")
        self.assertEqual(self.run_json("show b")["reachable"], [])

    def test_new_entry_is_not_idempotent_by_default(self):
        self.assertIs(self.run_json("show a")["entry"]["idempotent"], False)

    def test_dry_run_changes_nothing(self):
        before = self.run_json("list")
        printed = self.run_command("set b --in-flight 12 --dry-run")
        self.assertIn("+ in_flight: 12", printed)
        self.assertIn("nothing was changed", printed)
        self.run_command("remove b --dry-run")
        self.assertEqual(self.run_json("list"), before)
        self.check_error("remove a --dry-run", 3, "call_unknown")
        self.check_error(
            "set a --retries 1 --expect 0 --dry-run", 4, "edit_conflict"
        )

    def test_refusals(self):
        cases = [
            ("set c --owner shop", 3, "field_missing"),
            (f"set C {NEW}", 3, "name_invalid"),
            ("set a --owner UP", 3, "owner_invalid"),
            ("set a --call b", 3, "calls_cyclic"),
            ("set b --idempotent", 3, "idempotence_broken"),
            ("set a --retries 1 --author other", 3, "owner_mismatch"),
            ("remove b --author other", 3, "owner_mismatch"),
            ("remove a", 3, "call_unknown"),
            ("remove c", 3, "entry_unknown"),
            ("show c", 3, "entry_unknown"),
            ("set a --retries 1 --expect 99", 4, "revision_ahead"),
            ("list --platform nowhere", 2, "platform_address_invalid"),
        ]
        for arguments, status, code in cases:
            self.check_error(arguments, status, code)
        for arguments in (
            "set a --in-flight 0",
            "set a --importance urgent",
            "set a --no-calls --call b",
            "list --platform-timeout 0",
        ):
            self.run_command(arguments, 2)
        self.run_command("set a --retries 1 --author ops/ben --as-admin")

    def test_conflict_names_author_and_entry(self):
        self.run_command("set a --retries 1 --author shop/kofi")
        shown = self.run_command("set a --retries 0 --expect 2", 4)
        self.assertIn("shop/kofi changed a in revision 3", shown)
        self.run_command("set b --no-calls")
        self.check_error("remove a --expect 2", 4, "edit_conflict")
        document = json.loads(self.run_command("export"))
        document["entries"][0]["limits"]["retries"] = 0
        data = json.dumps(document)
        self.check_error("import - --expect 2", 4, "edit_conflict", data)
        self.run_command("import - --expect 3", data=data)

    def test_edit_between_read_and_write_is_a_conflict(self):
        edit = catalogue_write.run_edit

        def edit_after_another(*arguments):
            with mock.patch.object(catalogue_write, "run_edit", edit):
                self.run_command("set a --time-ms 5 --author shop/kofi")
            edit(*arguments)

        with mock.patch.object(catalogue_write, "run_edit", edit_after_another):
            self.run_command("set a --retries 0", 4)

    def test_platform_faults(self):
        faults = StoreFaults(outage=True)
        self.server.set_faults(faults)
        self.run_command("list", 5)
        self.run_command("status", 5)
        self.server.set_faults(StoreFaults(lose_answers=1))
        self.run_command("set a --retries 1")
        records = self.run_json("history")["records"]
        self.assertEqual([r["revision"] for r in records], [3, 2, 1])
        self.server.close()
        self.run_command("list", 5)

    def test_history_shows_author_reason_and_difference(self):
        self.run_command("remove b")
        shown = self.run_command("history --limit 1")
        self.assertIn("shop/ama  because\nremove b\n- name: b", shown)
        records = self.run_json("history --entry a")["records"]
        self.assertEqual([r["entry_name"] for r in records], ["a"])

    def test_history_includes_the_archive(self):
        for number in range(100):
            self.run_command(f"set a --in-flight {10 + number}")
        records = self.run_json("history --limit 1000")["records"]
        revisions = [record["revision"] for record in records]
        self.assertEqual(revisions, list(range(102, 0, -1)))

    def test_export_and_import(self):
        exported = self.run_command("export")
        unchanged = self.run_json("import -", exported)
        self.assertEqual(
            unchanged, {"dry_run": False, "revision": 2, "records": []}
        )
        self.run_command("set a --retries 1")
        self.run_command(f"set c {NEW}")
        reverted = self.run_json("import -", exported)
        self.assertEqual([r["entry_name"] for r in reverted["records"]], ["a"])
        self.run_command("import - --remove-others", data=exported)
        self.assertEqual(self.run_command("export"), exported)
        revisions = [r["revision"] for r in self.run_json("history")["records"]]
        self.assertEqual(revisions, [6, 5, 4, 3, 2, 1])

    def test_import_is_atomic(self):
        document = json.loads(self.run_command("export"))
        first, second = document["entries"]
        first["limits"]["retries"] = 7
        second["calls"] = ["none"]
        data = json.dumps(document)
        self.check_error("import -", 3, "call_unknown", data)
        second["name"] = "a"
        data = json.dumps(document)
        self.check_error("import -", 3, "entry_repeated", data)
        self.check_error("import -", 3, "document_malformed", "{")
        self.check_error("import -", 3, "document_too_large", " " * 1_000_001)

    def test_corrupt_document_is_refused(self):
        client = BlockingStoreClient(self.server.address)
        client.put(CATALOGUE_KEY, b"{", client.get(CATALOGUE_KEY).position)
        shown = self.run_command("list", 3)
        self.assertIn("document_malformed", shown)
