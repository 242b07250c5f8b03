"""Tests of the commands that validate files of operators."""

import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from kumquatwalk.cli.main import main
from kumquatwalk.platform.tests.test_decoders import CONFIG
from kumquatwalk.platform.tests.test_decoders import SETTINGS


class CheckTest(unittest.TestCase):

    def check(self, command: str, text: str, *options: str):
        """Run a command on a file with this text."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "file")
            path.write_text(text, encoding="utf-8")
            return CliRunner().invoke(main, [command, str(path), *options])

    def test_settings_are_printed(self):
        result = self.check("check-settings", SETTINGS, "--json")
        self.assertEqual(result.exit_code, 0, result.output)
        shown = json.loads(result.stdout)
        self.assertEqual(shown["node_id"], "vm-1")
        self.assertEqual(shown["caller_listener"], "10.1.0.8:8304")

    def test_invalid_setting_is_named(self):
        text = SETTINGS.replace('node = "vm-1"', "node = 5")
        result = self.check("check-settings", text)
        self.assertEqual(result.exit_code, 2)
        self.assertIn("settings_invalid: node", result.stderr)

    def test_manifest_summary_is_printed(self):
        config = json.loads(json.dumps(CONFIG))
        other = {"name": "other", "healthPath": "/health"}
        config["services"].append(other)
        result = self.check("check-manifest", json.dumps(config), "--json")
        self.assertEqual(result.exit_code, 0, result.output)
        shown = json.loads(result.stdout)
        self.assertEqual(shown["services"], len(config["services"]))

    def test_invalid_manifest_fails_with_a_message(self):
        config = json.loads(json.dumps(CONFIG))
        config["services"] = []
        result = self.check("check-manifest", json.dumps(config))
        self.assertEqual(result.exit_code, 3)
        self.assertIn("no service", result.stderr)
        result = self.check("check-manifest", "{")
        self.assertNotEqual(result.exit_code, 0)


if __name__ == "__main__":
    unittest.main()
