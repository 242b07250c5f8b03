"""Tests of requests to other nodes for the fleet configuration."""

import unittest

from kumquatwalk.daemon.config_pull import ConfigPull


class ConfigPullTest(unittest.TestCase):

    def test_many_announcements_cause_one_request(self):
        # Many nodes announce a new version before this node's watch of the
        # store delivers it. The document is large: only one may be requested.
        pull = ConfigPull()
        requested = [
            pull.is_due(9, 8, False, True, 1.0 + i / 1000) for i in range(80)
        ]
        self.assertEqual(sum(requested), 1)

    def test_working_watch_is_preferred(self):
        pull = ConfigPull()
        self.assertFalse(pull.is_due(9, 8, True, True, 1.0))
        self.assertTrue(pull.is_due(9, 8, True, True, 2.0))

    def test_node_in_the_own_zone_is_preferred(self):
        pull = ConfigPull()
        self.assertFalse(pull.is_due(9, 8, False, False, 1.0))
        self.assertTrue(pull.is_due(9, 8, False, True, 1.1))
        pull = ConfigPull()
        self.assertFalse(pull.is_due(9, 8, False, False, 1.0))
        self.assertTrue(pull.is_due(9, 8, False, False, 2.0))

    def test_node_without_any_configuration_requests_at_once(self):
        self.assertTrue(ConfigPull().is_due(9, 0, True, False, 1.0))

    def test_older_version_is_never_requested(self):
        pull = ConfigPull()
        self.assertFalse(pull.is_due(8, 8, False, True, 9.0))
        self.assertFalse(pull.is_due(7, 8, False, True, 9.0))


if __name__ == "__main__":
    unittest.main()
