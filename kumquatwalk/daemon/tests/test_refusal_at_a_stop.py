"""Tests of the refusal of requests that come after the stop, by interface."""

import json
import unittest

from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.platform_interface import PlatformInterface
from kumquatwalk.daemon.route_handler import RouteHandler
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.native.entry_handler import EntryHandler

REQUEST = HttpRequest(
    b"POST", b"/pay/", ((b"Attempt-Id", b"id-1"),), b"fee", True, 0.0
)


class RefusalAtAStopTest(unittest.TestCase):

    # Guards against a refusal that callers cannot read: after the stop it had
    # neither the format of the interface nor a code.
    def test_refusal_has_the_format_of_the_platform(self):
        configs = ConfigHolder(
            PlatformInterface().decode_config, lambda _: None
        )
        response = RouteHandler(configs, None).refuse(REQUEST)
        self.assertEqual(response.status, 503)
        self.assertEqual(json.loads(response.body), {"error": "node_stopping"})
        self.assertGreater(float(response.find_header(b"retry-after")), 0.0)

    # Guards against the same on the project's own interface.
    def test_refusal_has_the_format_of_the_own_interface(self):
        response = EntryHandler(None, None, None, None).refuse(REQUEST)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.find_header(b"kumquat-outcome"), b"not_run")
        self.assertEqual(
            response.find_header(b"kumquat-code"), b"node_stopping"
        )
        self.assertGreater(float(response.find_header(b"retry-after")), 0.0)


if __name__ == "__main__":
    unittest.main()
