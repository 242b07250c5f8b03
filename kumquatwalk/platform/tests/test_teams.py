"""Tests of teams and their keys, as the platform's formats name them."""

import json
import unittest

from kumquatwalk import codes
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.http1.message import Header
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.platform.caller_response import encode_reply
from kumquatwalk.platform.credentials import KEY_BYTES_MAX
from kumquatwalk.platform.credentials import identify_team
from kumquatwalk.platform.fleet_config import decode_fleet_config
from kumquatwalk.platform.request_headers import decode_caller_request

KEY = "k3y-of-red"
RED = {
    "name": "red",
    "apiKeys": [KEY, "other-red"],
    "priority": 1,
    "ratePerS": 40,
    "burst": 20,
}
BLUE = {"name": "blue", "apiKeys": ["key-of-blue"]}


def decode_config(tenants: object) -> FleetConfig:
    """Return a configuration with one route and these entries of teams."""
    path = {
        "name": "r-1",
        "pathPrefix": "/a/",
        "routeKind": "download",
        "service": "s",
        "public": False,
    }
    document = {
        "version": "r7",
        "services": [{"name": "s"}],
        "virtualHosts": [{"host": "h", "paths": [path]}],
        "tenants": tenants,
    }
    return decode_fleet_config(json.dumps(document).encode())


def identify(*headers: Header) -> CallerRequest:
    """Return the decoded request with these headers."""
    request = HttpRequest(b"GET", b"/a/", headers, b"", True, 0.0)
    teams = decode_config([RED, BLUE]).teams
    return identify_team(request, decode_caller_request(request), teams)


class TeamTableTest(unittest.TestCase):
    """Decoding of ``tenants``."""

    def test_fields_of_a_team(self):
        teams = decode_config([RED, BLUE]).teams
        red = teams.find(KEY.encode())
        self.assertEqual(
            ("red", 1, 40.0, 20.0),
            (red.name, red.rank, red.rate_max_per_s, red.burst),
        )
        self.assertIsNone(teams.find(b"key-of-blue").rate_max_per_s)
        self.assertIsNone(teams.find(b"unknown"))

    def test_configuration_without_teams_needs_no_keys(self):
        for tenants in (None, []):
            with self.subTest(tenants=tenants):
                self.assertIsNone(decode_config(tenants).teams)

    def test_malformed_teams_are_refused_without_naming_a_key(self):
        """Guards against secrets in the log of a refused configuration."""
        cases = {
            "key of two teams": [RED, BLUE | {"apiKeys": [KEY]}],
            "key twice": [RED | {"apiKeys": [KEY, KEY]}],
            "two of one name": [RED, BLUE | {"name": "red"}],
            "no name": [{"apiKeys": [KEY]}],
            "name of two lines": [RED | {"name": "red\r\nX: 1"}],
            "negative rate": [RED | {"ratePerS": -1}],
            "text for a rate": [RED | {"ratePerS": "many"}],
            "fraction for a rank": [RED | {"priority": 0.5}],
            "key is a number": [RED | {"apiKeys": [KEY, 7]}],
            "keys are a text": [RED | {"apiKeys": KEY}],
            "key that is no Unicode text": [RED | {"apiKeys": [KEY, "\ud800"]}],
            "rate beyond all numbers": [RED | {"ratePerS": 10**400}],
            "table for a name": [RED | {"name": {"apiKeys": [KEY]}}],
            "key for a rank": [RED | {"priority": KEY}],
            "entry is a key": [KEY],
            "table of keys": {KEY: RED},
            "number": 0,
        }
        for case, tenants in cases.items():
            with self.subTest(case):
                with self.assertRaises(PlatformFormatError) as caught:
                    decode_config(tenants)
                self.assertNotIn(KEY, caught.exception.message)

    def test_text_form_of_a_table_holds_no_key(self):
        self.assertNotIn(KEY, repr(decode_config([RED])))

    def test_download_may_run_more_than_once(self):
        """Guards against a lost download that is never repeated."""
        self.assertTrue(decode_config([]).routes[0].is_idempotent)


class IdentifyTeamTest(unittest.TestCase):
    """Key of a request and headers that its target gets."""

    def test_known_key_becomes_the_name_of_the_team(self):
        caller = identify(
            (b"Tenant", b"blue"),
            (b"authorization", b"token " + KEY.encode()),
            (b"X-Other", b"1"),
        )
        self.assertEqual("red", caller.team.name)
        self.assertEqual(
            ((b"X-Other", b"1"), (b"Tenant", b"red")), caller.headers
        )

    def test_request_without_one_known_key_has_no_team(self):
        """Guards against serving and passing on what is no key in force."""
        name = b"Authorization"
        good = (name, b"Token " + KEY.encode())
        cases = {
            "none": (),
            "empty": ((name, b""),),
            "no scheme": ((name, KEY.encode()),),
            "other scheme": ((name, b"Bearer " + KEY.encode()),),
            "repeated": (good, good),
            "repeated with an unknown one": (good, (name, b"Token x")),
            "two keys": ((name, good[1] + b" x"),),
            "unknown": ((name, b"Token x"),),
            "prefix": ((name, good[1][:-1]),),
            "overlong": ((name, b"Token " + b"x" * (KEY_BYTES_MAX + 1)),),
        }
        for case, headers in cases.items():
            with self.subTest(case):
                caller = identify((b"Tenant", b"red"), *headers)
                self.assertIsNone(caller.team)
                self.assertEqual((), caller.headers)

    def test_refusals_by_a_cap_name_a_time(self):
        for code, status in (
            (codes.TEAM_CAP, 429),
            (codes.CAP_UNAVAILABLE, 503),
        ):
            reply = Reply(Outcome.NOT_RUN, code, retry_after_s=0.25)
            response = encode_reply(reply, b"id")
            self.assertEqual(status, response.status)
            self.assertIn((b"Retry-After", b"0.250"), response.headers)

    def test_refusal_has_status_401_and_names_no_time(self):
        reply = Reply(Outcome.NOT_RUN, codes.API_KEY_INVALID)
        response = encode_reply(reply, b"id")
        self.assertEqual(401, response.status)
        names = [name.lower() for name, _ in response.headers]
        self.assertNotIn(b"retry-after", names)
