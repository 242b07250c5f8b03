"""Tests of the target beside a daemon on the platform's interface."""

import pathlib
import unittest

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.scripted_target import Script

ADDRESS = Address("127.0.0.1", 1)
SILENT_S = 60.0


class PlatformNodeTest(unittest.TestCase):

    def setUp(self):
        self.node = PlatformNode(
            "n1", "look", "z1", None, {}, pathlib.Path("n1"), ADDRESS
        )

    def _choose(self, work_ms: int, *headers: tuple[bytes, bytes]) -> Script:
        url = b"/look/%d/10" % work_ms
        request = HttpRequest(b"GET", url, headers, b"", True, 0.0)
        return self.node.choose_script(request)

    # Guards against soaks whose targets work on past the time that they are
    # handed, as no target of the platform does.
    def test_work_stops_at_the_time_limit(self):
        script = self._choose(700, (b"Deadline-Ms", b"300"))
        self.assertEqual((script.work_s, script.status), (0.3, 504))

    def test_work_that_ends_in_time_is_answered(self):
        for headers in ((), ((b"Deadline-Ms", b"900"),)):
            script = self._choose(700, *headers)
            self.assertEqual((script.work_s, script.status), (0.7, 200))

    def test_silent_target_stays_silent_past_the_limit(self):
        self.node.silent_until = read_now() + SILENT_S
        script = self._choose(700, (b"Deadline-Ms", b"300"))
        self.assertGreater(script.work_s, SILENT_S / 2.0)
        self.assertEqual(script.status, 504)


if __name__ == "__main__":
    unittest.main()
