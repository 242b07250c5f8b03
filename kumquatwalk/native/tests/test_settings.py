"""Tests of the settings of a node."""

import unittest

import click
from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.address import Address
from kumquatwalk.cli.main import main
from kumquatwalk.exception import SettingError
from kumquatwalk.logs import Level
from kumquatwalk.native.options import node_options
from kumquatwalk.native.settings import NodeSettings
from kumquatwalk.native.settings_check import check_settings
from kumquatwalk.native.settings_check import find_unknown_variables
from kumquatwalk.native.settings_spec import SETTING_SPECS

_REQUIRED = {
    "node_id": "a1",
    "zone": "a",
    "host": "127.0.0.1",
    "platform": "127.0.0.1:9",
}
_INVALID = {
    "node_id": ("", "a b", "x" * 65, "é"),
    "zone": ("a/b",),
    "host": ("localhost", "0.0.0.0", "1.2.3", ""),
    "local_host": ("10.0.0.1",),
    "http_port": ("-1", "65536", "x", "", "1.0", "９"),
    "link_port": ("8080",),
    "platform": ("", "127.0.0.1", "127.0.0.1:0", "a:1", "127.0.0.1:1,"),
    "shutdown_timeout_s": ("nan", "inf", "0", "3601", "1 s"),
    "body_bytes_max": ("-1",),
    "log_level": ("loud",),
    "enable_faults": ("maybe",),
}


def list_variables(command: click.Command) -> list[str]:
    """Return the variables that a command and its subcommands read."""
    names = [p.envvar for p in command.params if isinstance(p.envvar, str)]
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            names += list_variables(command.get_command(context, name))
    return names


class CheckSettingsTest(unittest.TestCase):

    def test_valid_settings_are_parsed(self):
        checked = check_settings(
            {
                **_REQUIRED,
                "http_port": "0",
                "link_port": "0",
                "platform": "[::1]:10",
                "log_level": "DEBUG",
                "enable_faults": "true",
            }
        )
        self.assertEqual((checked.http_port, checked.local_port), (0, 8081))
        self.assertEqual(checked.platform, Address("::1", 10))
        self.assertIs(checked.log_level, Level.DEBUG)
        self.assertIs(checked.enable_faults, True)

    def test_error_states_setting_value_and_range(self):
        for name, texts in _INVALID.items():
            for text in texts:
                with self.assertRaises(SettingError, msg=text) as caught:
                    check_settings({**_REQUIRED, name: text})
                self.assertEqual(caught.exception.code, "setting_invalid")
                pattern = f"^{name} is .*; allowed: .+"
                self.assertRegex(caught.exception.message, pattern)

    def test_missing_and_unknown_settings_are_named(self):
        with self.assertRaisesRegex(SettingError, "setting_missing: zone"):
            check_settings({"node_id": "a1", "host": "127.0.0.1"})
        with self.assertRaisesRegex(SettingError, "colour is 'red'"):
            check_settings({**_REQUIRED, "colour": "red"})

    @settings(derandomize=True, deadline=None)
    @given(st.sampled_from(SETTING_SPECS), st.text())
    def test_arbitrary_text_is_accepted_or_rejected_by_name(self, spec, text):
        try:
            checked = check_settings({**_REQUIRED, spec.name: text})
        except SettingError as error:
            self.assertIn(spec.name, error.message)
        else:
            self.assertIsInstance(checked, NodeSettings)

    def test_unknown_variables(self):
        names = ["KUMQUATWALK_ZONE", "KUMQUATWALK_ZNE", "PATH"]
        self.assertEqual(find_unknown_variables(names), ("KUMQUATWALK_ZNE",))

    def test_variables_of_all_commands_are_known(self):
        names = list_variables(main)
        self.assertIn("KUMQUATWALK_PLATFORM_TIMEOUT", names)
        self.assertEqual(find_unknown_variables(names), ())


@click.command()
@node_options
def show(node_settings: NodeSettings) -> None:
    click.echo(f"{node_settings.zone} {node_settings.enable_faults}")


class NodeOptionsTest(unittest.TestCase):

    def invoke(self, *arguments: str, **variables: str):
        platform = {"KUMQUATWALK_PLATFORM": "127.0.0.1:9"}
        return CliRunner().invoke(show, arguments, env=platform | variables)

    def test_flag_overrides_variable(self):
        arguments = ("--node-id=a1", "--zone=b", "--host=127.0.0.1")
        result = self.invoke(
            "--enable-faults", *arguments, KUMQUATWALK_ZONE="c"
        )
        self.assertEqual((result.exit_code, result.stdout), (0, "b True\n"))
        result = self.invoke(*arguments[::2], KUMQUATWALK_ZONE="c")
        self.assertEqual((result.exit_code, result.stdout), (0, "c False\n"))

    def test_invalid_setting_exits_with_the_configuration_code(self):
        result = self.invoke("--node-id=a1", "--zone=b", "--host=x")
        self.assertEqual((result.exit_code, result.stdout), (78, ""))
        self.assertIn("error: setting_invalid: host is 'x'", result.stderr)

    def test_unknown_variable_is_warned_about(self):
        result = self.invoke(KUMQUATWALK_ZNE="c")
        self.assertIn("did you mean KUMQUATWALK_ZONE?", result.stderr)
