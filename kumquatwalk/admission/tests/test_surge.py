"""Tests of admission under a surge, in test time."""

import unittest

from kumquatwalk.admission.tests.driver import Driver

SLOTS = 60
SERVICE_S = 0.03
CAPACITY_PER_S = SLOTS / SERVICE_S


class SurgeTest(unittest.TestCase):
    """Three times the capacity from second 2 to second 5."""

    @classmethod
    def setUpClass(cls):
        cls.driver = Driver(SLOTS, SLOTS, SERVICE_S)
        cls.driver.run(0.6 * CAPACITY_PER_S, until=2.0)
        cls.driver.run(3.0 * CAPACITY_PER_S, until=5.0)
        cls.surge_level = cls.driver.state.get_level()
        cls.driver.run(0.6 * CAPACITY_PER_S, until=8.1)

    def test_all_is_served_below_capacity(self):
        self.assertGreaterEqual(self.driver.share(0.0, 2.0), 0.99)

    def test_important_calls_survive(self):
        self.assertGreaterEqual(self.driver.share(2.0, 5.0, [0]), 0.99)
        self.assertGreaterEqual(self.driver.share(2.5, 5.0, [1]), 0.95)

    def test_least_important_calls_are_shed_first(self):
        self.assertLessEqual(self.driver.share(2.5, 5.0, [3]), 0.01)

    def test_published_level_matches_the_capacity(self):
        # The first two classes offer 0.9 of the capacity, the third 0.9.
        self.assertIn(self.surge_level, range(470, 620))

    def test_capacity_stays_in_use(self):
        done = self.driver.count("done", 2.5, 4.5)
        self.assertGreaterEqual(done / 2.0 / CAPACITY_PER_S, 0.93)

    def test_all_is_served_within_two_seconds_after(self):
        self.assertGreaterEqual(self.driver.share(7.0, 8.0), 0.99)
        self.assertEqual(self.driver.state.get_level(), 1023)


class AnnouncedSlotsTest(unittest.TestCase):
    """Announced slots are only a start."""

    def run_saturated(self, announced, **kwargs):
        """Return the limit after two seconds above capacity."""
        driver = Driver(40, announced, SERVICE_S, **kwargs)
        driver.run(3.0 * 40 / SERVICE_S, until=3.0)
        return driver.state.limit, driver.count("shed", 2.0, 3.0)

    def test_too_many_at_a_shedding_target(self):
        limit, shed = self.run_saturated(160)
        self.assertIn(limit, range(36, 44))
        self.assertLessEqual(shed, 10)

    def test_too_few(self):
        limit, _ = self.run_saturated(10)
        self.assertIn(limit, range(34, 46))

    def test_too_many_at_a_queuing_target(self):
        driver = Driver(40, 160, SERVICE_S, is_queuing=True)
        driver.run(0.5 * 40 / SERVICE_S, until=1.0)
        driver.run(3.0 * 40 / SERVICE_S, until=4.0)
        self.assertLessEqual(driver.state.limit, 80)

    def test_slow_target_keeps_its_limit(self):
        driver = Driver(40, 40, SERVICE_S)
        driver.run(0.5 * 40 / SERVICE_S, until=2.0)
        driver.service_s *= 4
        driver.run(1.0 * 40 / SERVICE_S, until=6.0)
        self.assertGreaterEqual(driver.state.limit, 32)
