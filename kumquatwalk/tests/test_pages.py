"""Tests that docs/OPERATIONS.md agrees with the program."""

import pathlib
import unittest

from kumquatwalk import codes
from kumquatwalk.cli.exit_codes import ExitCode
from kumquatwalk.daemon.cap_metrics import CapMetrics
from kumquatwalk.daemon.metrics import DaemonMetrics
from kumquatwalk.daemon.core import DaemonCore
from kumquatwalk.daemon.platform_interface import PlatformInterface
from kumquatwalk.daemon.status import add_state_gauges
from kumquatwalk.daemon.tests.samples import make_settings
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage
from kumquatwalk.mesh.message import Reply
from kumquatwalk.metrics import MetricsRegistry
from kumquatwalk.native.caller_response import _STATUS_BY_CODE
from kumquatwalk.native.settings_kinds import describe_range
from kumquatwalk.native.settings_spec import SETTING_SPECS
from kumquatwalk.outcome import Outcome

# Codes of ``idempotency`` that callers receive unchanged.
_IDEMPOTENCY_CODES = {
    "claim_budget",
    "claim_late",
    "claim_unknown",
    "platform_unavailable",
}
_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"


def read_table(heading: str) -> list[list[str]]:
    """Return the cells of the first table below a heading of the page."""
    text = _PAGE.read_text(encoding="utf-8")
    lines = text.split(f"\n{heading}\n", 1)[1].splitlines()
    start = next(i for i, line in enumerate(lines) if line.startswith("|"))
    rows = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip() for cell in line.strip("| ").split(" | ")])
    return rows


def register_metrics() -> MetricsRegistry:
    """Return a registry in which all metrics of a daemon are registered."""
    core = DaemonCore(make_settings(), PlatformInterface())
    add_state_gauges(core)
    meters = DaemonMetrics(core.registry)
    reply = Reply(outcome=Outcome.DONE, code="", status=200)
    meters.record_request("r", reply, 0.0, "a")
    meters.record_team_call("a", Outcome.DONE)
    meters.record_run(reply, 0.0)
    meters.record_unanswered(Stage.READ, End.TIMEOUT)
    CapMetrics(core.registry, ("z",), lambda: 0.0).record_request("granted")
    return core.registry


class OperatorsPageTest(unittest.TestCase):
    maxDiff = None

    def test_settings(self):
        expected = [
            [
                f"`{spec.flag}`",
                f"`{spec.variable}`",
                "required" if spec.default is None else spec.default or "none",
                describe_range(spec.kind),
                spec.help_text,
            ]
            for spec in SETTING_SPECS
        ]
        self.assertEqual(read_table("### Table of settings"), expected)

    def test_exit_codes(self):
        documented = [
            (int(row[0]), row[1]) for row in read_table("## Exit codes")
        ]
        expected = [(int(code), code.name.lower()) for code in ExitCode]
        self.assertEqual(documented, expected)

    def test_refusal_codes(self):
        documented = [
            row[0].strip("`") for row in read_table("### Table of codes")
        ]
        expected = {getattr(codes, name) for name in codes.__all__}
        expected |= set(_STATUS_BY_CODE) | _IDEMPOTENCY_CODES
        self.assertEqual(documented, sorted(expected - {""}))

    def test_metrics(self):
        documented = [row[:3] for row in read_table("### Table of metrics")]
        expected = []
        for family in register_metrics().list_families():
            labels = {label.name for key in family.series for label in key}
            names = ", ".join(sorted(labels)) or "-"
            expected.append([f"`{family.name}`", family.kind.value, names])
        self.assertEqual(documented, expected)
