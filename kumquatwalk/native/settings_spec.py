"""Specifications of the settings of a node."""

import dataclasses

from kumquatwalk.logs.level import Level
from kumquatwalk.native.settings_kinds import PORT_MAX
from kumquatwalk.native.settings_kinds import AddressKind
from kumquatwalk.native.settings_kinds import ChoiceKind
from kumquatwalk.native.settings_kinds import IntegerKind
from kumquatwalk.native.settings_kinds import IpKind
from kumquatwalk.native.settings_kinds import NameKind
from kumquatwalk.native.settings_kinds import SecondsKind
from kumquatwalk.native.settings_kinds import SettingKind
from kumquatwalk.native.settings_kinds import SwitchKind

__all__ = ["SETTING_SPECS", "SettingSpec", "VARIABLE_PREFIX"]

VARIABLE_PREFIX = "KUMQUATWALK_"

_PORT = IntegerKind(0, PORT_MAX)


@dataclasses.dataclass(frozen=True, slots=True)
class SettingSpec:
    """One setting of a node.

    Attributes:
        name: Name of the field of ``NodeSettings``.
        kind: Rule that parses and validates its text.
        default: Text used if the operator gives none; None if the setting is
            required.
        help_text: Description shown to operators.
    """

    name: str
    kind: SettingKind
    default: str | None
    help_text: str

    @property
    def flag(self) -> str:
        """Command line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return VARIABLE_PREFIX + self.name.upper()


SETTING_SPECS = (
    SettingSpec(
        "node_id", NameKind(64), None, "Name of the node, unique in the fleet."
    ),
    SettingSpec("zone", NameKind(32), None, "Availability zone of the VM."),
    SettingSpec("host", IpKind(), None, "IP number of the VM."),
    SettingSpec(
        "http_port", _PORT, "8080", "TCP port for outside callers; 0: any."
    ),
    SettingSpec(
        "local_host",
        IpKind(loopback=True),
        "127.0.0.1",
        "Address of the listener for the VM's target and for operators.",
    ),
    SettingSpec(
        "local_port", _PORT, "8081", "TCP port of that listener; 0: any."
    ),
    SettingSpec(
        "link_port", _PORT, "8082", "TCP port for other nodes; 0: any."
    ),
    SettingSpec(
        "platform",
        AddressKind(),
        None,
        "Address of the platform's store.",
    ),
    SettingSpec(
        "shutdown_timeout_s",
        SecondsKind(0.1, 3600),
        "30",
        "Longest time of a graceful stop.",
    ),
    SettingSpec(
        "body_bytes_max",
        IntegerKind(0, 64 * 1024 * 1024),
        "1048576",
        "Largest body of a request or of an answer, in bytes.",
    ),
    SettingSpec(
        "header_bytes_max",
        IntegerKind(1024, 1024 * 1024),
        "16384",
        "Largest header section, in bytes.",
    ),
    SettingSpec(
        "log_level", ChoiceKind(Level), "info", "Lowest level that is logged."
    ),
    SettingSpec(
        "enable_faults",
        SwitchKind(),
        "false",
        "Allow faults to be injected; for tests only.",
    ),
)
