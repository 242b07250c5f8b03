"""Tests that run the examples as users would."""

import json
import pathlib
import subprocess
import sys
import unittest

from kumquatwalk import Entry
from kumquatwalk import Importance
from kumquatwalk import Limits
from kumquatwalk.standin.fleet import LocalFleet
from kumquatwalk.standin.fleet import make_host
from kumquatwalk.standin.fleet import wait_until

_REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
_TIMEOUT_S = 60
_LIMITS = Limits(in_flight=20, rate_per_s=1000.0, retries=1, time_ms=20_000)


def make_entry(name: str, calls: tuple[str, ...] = ()) -> Entry:
    """Return an entry whose service has the same name."""
    return Entry(name, "team", name, Importance.HIGH, True, _LIMITS, calls)


class ExamplesTest(unittest.TestCase):

    def _start_target(self, fleet: LocalFleet, node_id: str, *options: str):
        node = fleet.nodes[node_id].addresses["local"]
        command = [sys.executable, "-m", "examples.target", "--node", node]
        process = subprocess.Popen([*command, *options], cwd=_REPOSITORY)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_priority_order(self):
        command = [sys.executable, "-m", "examples.priority_order"]
        printed = subprocess.run(
            command,
            cwd=_REPOSITORY,
            check=True,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
        )
        words = printed.stdout.split()
        self.assertEqual(words, ["sheddable", "normal", "high", "critical"])

    def test_target_answers_calls_on_and_drains(self):
        fleet = LocalFleet()
        self.addCleanup(fleet.close)
        fleet.start_platform()
        fleet.put_catalogue(
            [make_entry("front", ("back",)), make_entry("back")]
        )
        fleet.start_node("a1", "a", make_host(1, 1))
        fleet.start_node("a2", "a", make_host(1, 2))
        options = ("--service", "front", "--calls", "back")
        front = self._start_target(fleet, "a1", *options)
        self._start_target(fleet, "a2", "--service", "back")
        caller = fleet.make_caller("a2")
        wait_until(
            lambda: caller.call("front", b"x").status == 200, "an answer"
        )
        response = json.loads(caller.call("front", b"bar 17").body)
        expected = {"hello": "bar 17", "inner": {"hello": "from inside"}}
        self.assertEqual(response, expected)
        front.terminate()
        self.assertEqual(front.wait(_TIMEOUT_S), 0)
        response = caller.call("front", b"late")
        self.assertEqual(response.outcome, "not_run")
