"""Tests of the decoders of the platform's documents."""

import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.address import Address
from kumquatwalk.config.route import ServiceShare
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.exception import SettingError
from kumquatwalk.platform.fleet_config import decode_fleet_config
from kumquatwalk.platform.heartbeat import decode_heartbeat
from kumquatwalk.platform.settings import decode_settings
from kumquatwalk.targets.heartbeat import TargetState

BOUNDS = 'bounds = ["drainS=2.5","graceS=7","retryBudgetRatio=0.1","x=true"]'
SETTINGS = f"""
node = "vm-1"
zone = "a"
ip = "10.1.0.8"
service = "web"
appAddr = "10.1.0.8:8301"
portRange = [7620,7635]
heartbeatS = 1.5
{BOUNDS}
later = "a field that is not known yet"
[listen]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[limits]
memoryMb = 300
maxFds = 4100
[platform]
address = "10.200.1.7:8309"
minTtlS = 1
"""

CONFIG = {
    "version": "r12",
    "services": [{"name": "web", "healthPath": "/h", "maxConnections": 5}],
    "limits": {
        "maxHeaderBytes": 100,
        "maxBodyBytes": 200,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "virtualHosts": [
        {
            "host": "Shop.example",
            "paths": [
                {
                    "name": "r1",
                    "pathPrefix": "/a/",
                    "routeKind": "safe",
                    "timeoutS": 0.8,
                    "targetLatencyS": 1.5,
                    "priority": 2,
                    "maxAttempts": 2,
                    "trafficSplit": [
                        {"service": "web", "weight": 90},
                        {"service": "other", "weight": 10},
                    ],
                },
                {
                    "name": "r2",
                    "pathPrefix": "/a/b/",
                    "routeKind": "unsafe",
                    "service": "web",
                },
            ],
        }
    ],
}

HEARTBEAT = {
    "service": "web",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 53,
    "state": "ready",
    "coldLeftS": 0.5,
    "sequence": 4,
    "born": 123,
}

_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


class SettingsTest(unittest.TestCase):

    def test_fields_are_decoded(self):
        settings_ = decode_settings(SETTINGS)
        self.assertEqual(settings_.node_id, "vm-1")
        self.assertEqual(settings_.caller_listener, Address("10.1.0.8", 8304))
        self.assertEqual(settings_.link_listener, Address("10.1.0.8", 8300))
        self.assertEqual(settings_.bounds.grace_s, 7.0)
        self.assertEqual(settings_.bounds.retry_ratio, 0.1)
        self.assertEqual(settings_.zones, ())

    def test_zones_are_the_names_in_their_table(self):
        text = SETTINGS + '\n[zones]\nb = "region-1"\na = "region-1"\n'
        self.assertEqual(decode_settings(text).zones, ("a", "b"))

    def test_truncated_file_is_rejected(self):
        with self.assertRaises(SettingError):
            decode_settings(SETTINGS[: len(SETTINGS) // 2])

    def test_error_names_the_missing_or_mistyped_field(self):
        for old, new, name in (
            ('node = "vm-1"', "", "node"),
            ('node = "vm-1"', "node = 5", "node"),
            ('appAddr = "10.1.0.8:8301"', 'appAddr = "10.1.0.8"', "appAddr"),
            ("10.1.0.8:8304", "10.1.0.8:99999", "outbound"),
            ("portRange = [7620,7635]", "portRange = 3", "portRange"),
            ("portRange = [7620,7635]", 'portRange = [1,"a"]', "portRange"),
            ("portRange = [7620,7635]", "portRange = [70000,7]", "portRange"),
            ("portRange = [7620,7635]", "portRange = [-1,7]", "portRange"),
            (BOUNDS, "bounds = 5", "bounds"),
            ("graceS=7", "graceS=nan", "graceS"),
            ("graceS=7", "graceS=inf", "graceS"),
            ("graceS=7", "graceS=-1", "graceS"),
            ("graceS=7", "graceS=true", "graceS"),
        ):
            with self.subTest(new), self.assertRaises(SettingError) as caught:
                decode_settings(SETTINGS.replace(old, new))
            self.assertIn(name, caught.exception.message)

    # Guards against FAULT: settings without a field that only the metrics need,
    # or with one that the node does not know, ended the start.
    def test_fields_that_are_not_needed_do_not_end_a_start(self):
        for old, new in (
            ("portRange = [7620,7635]", ""),
            ("portRange = [7620,7635]", "portRange = []"),
            ('ip = "10.1.0.8"', ""),
        ):
            with self.subTest(new):
                settings_ = decode_settings(SETTINGS.replace(old, new))
                self.assertIsNone(settings_.metrics_listener)
        for old, new in (
            ("x=true", "x=nan"),
            ("x=true", "x=-1"),
            ("memoryMb = 300", "memoryMb = 300.5"),
        ):
            with self.subTest(new):
                decode_settings(SETTINGS.replace(old, new))


class FleetConfigTest(unittest.TestCase):

    def test_fields_are_decoded(self):
        config = decode_fleet_config(json.dumps(CONFIG).encode())
        self.assertEqual(config.version, 12)
        route = config.find_route("shop.EXAMPLE", "/a/x?q=/a/b/")
        self.assertEqual(route.name, "r1")
        self.assertEqual(
            route.shares, (ServiceShare("web", 90), ServiceShare("other", 10))
        )
        self.assertTrue(route.is_idempotent)
        self.assertEqual((route.timeout_s, route.objective_s), (0.8, 1.5))
        self.assertEqual(config.services["web"].health_path, "/h")
        self.assertEqual(config.limits.idle_timeout_s, 15.0)

    def test_longest_prefix_is_chosen(self):
        config = decode_fleet_config(json.dumps(CONFIG).encode())
        self.assertEqual(config.find_route("shop.example", "/a/b/c").name, "r2")
        self.assertEqual(config.find_route("shop.example", "/a/bc").name, "r1")
        self.assertIsNone(config.find_route("shop.example", "/a"))
        self.assertIsNone(config.find_route("other.example", "/a/"))

    def test_unknown_route_kind_is_not_idempotent(self):
        text = json.dumps(CONFIG).replace('"safe"', '"novel"')
        config = decode_fleet_config(text.encode())
        self.assertFalse(any(r.is_idempotent for r in config.routes))

    def test_truncated_document_is_rejected(self):
        text = json.dumps(CONFIG).encode()
        for size in range(0, len(text) - 1, 7):
            with self.assertRaises(PlatformFormatError):
                decode_fleet_config(text[:size])

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(_JSON)
    def test_any_document_is_decoded_or_rejected(self, value):
        try:
            decode_fleet_config(json.dumps(value).encode())
        except PlatformFormatError:
            pass

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.sampled_from(sorted(CONFIG)), _JSON)
    def test_mistyped_field_is_rejected_or_decoded(self, name, value):
        try:
            decode_fleet_config(json.dumps({**CONFIG, name: value}).encode())
        except PlatformFormatError:
            pass


class HeartbeatTest(unittest.TestCase):

    def test_fields_are_decoded(self):
        heartbeat = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
        self.assertEqual(heartbeat.target_id, "i-1")
        self.assertEqual(heartbeat.address, Address("10.0.0.9", 8080))
        self.assertIs(heartbeat.state, TargetState.READY)
        self.assertEqual((heartbeat.incarnation, heartbeat.sequence), (123, 4))

    def test_missing_and_mistyped_fields_are_rejected(self):
        for name in (
            "service",
            "address",
            "zone",
            "version",
            "slots",
            "state",
            "coldLeftS",
            "sequence",
        ):
            for value in (None, [], {}, -1, "", True):
                document = {**HEARTBEAT, name: value}
                with self.subTest(name=name, value=value):
                    with self.assertRaises(PlatformFormatError):
                        decode_heartbeat("i", json.dumps(document).encode())

    def test_unknown_state_is_rejected(self):
        document = {**HEARTBEAT, "state": "resting"}
        with self.assertRaises(PlatformFormatError):
            decode_heartbeat("i", json.dumps(document).encode())

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.binary(max_size=100) | _JSON.map(lambda v: json.dumps(v).encode())
    )
    def test_any_body_is_decoded_or_rejected(self, body):
        try:
            decode_heartbeat("i", body)
        except PlatformFormatError:
            pass


if __name__ == "__main__":
    unittest.main()
