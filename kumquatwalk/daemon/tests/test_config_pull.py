"""Tests of asking other nodes for the fleet configuration."""

import unittest

from kumquatwalk.daemon.config_pull import ConfigPull


class ConfigPullTest(unittest.TestCase):

    def test_many_tellers_cause_one_request(self):
        # Pattern: a large configuration changes, and each of many nodes tells
        # the new version before the own watch has brought it.
        pull = ConfigPull()
        asked = [pull.is_due(9, 8, False, 1.0 + i / 1000) for i in range(80)]
        self.assertEqual(sum(asked), 1)

    def test_working_watch_goes_first(self):
        pull = ConfigPull()
        self.assertFalse(pull.is_due(9, 8, True, 1.0))
        self.assertTrue(pull.is_due(9, 8, True, 2.0))

    def test_node_without_any_configuration_asks_at_once(self):
        self.assertTrue(ConfigPull().is_due(9, 0, True, 1.0))

    def test_older_version_is_never_asked_for(self):
        pull = ConfigPull()
        self.assertFalse(pull.is_due(8, 8, False, 9.0))
        self.assertFalse(pull.is_due(7, 8, False, 9.0))


if __name__ == "__main__":
    unittest.main()
