"""Tests of routes that have been internal for some time."""

import unittest

from kumquatwalk.routing.settled_routes import ROUTES_MAX
from kumquatwalk.routing.settled_routes import SETTLED_S
from kumquatwalk.routing.settled_routes import SettledRoutes


class SettledRoutesTest(unittest.TestCase):

    def setUp(self):
        self.routes = SettledRoutes()
        self.routes.record("look", True, False, 100.0)

    # Guards against LOST: a process that had just started took a route of
    # callers for an internal one, and a late request was cut off by its stop.
    def test_route_is_internal_after_some_time_only(self):
        self.assertFalse(self.routes.is_internal("look", 100.0))
        self.assertFalse(self.routes.is_internal("look", 99.9 + SETTLED_S))
        self.assertTrue(self.routes.is_internal("look", 100.0 + SETTLED_S))
        self.assertFalse(self.routes.is_internal("pay", 100.0 + SETTLED_S))

    def test_route_that_callers_use_begins_anew(self):
        self.routes.record("look", False, True, 105.0)
        self.routes.record("look", True, False, 106.0)
        self.assertFalse(self.routes.is_internal("look", 105.0 + SETTLED_S))
        self.assertTrue(self.routes.is_internal("look", 106.0 + SETTLED_S))

    def test_route_that_is_not_classified_for_a_while_stays(self):
        self.routes.record("look", False, False, 105.0)
        self.routes.record("look", True, False, 106.0)
        self.assertTrue(self.routes.is_internal("look", 100.0 + SETTLED_S))

    def test_number_of_routes_is_bounded(self):
        for number in range(ROUTES_MAX):
            self.routes.record(f"route-{number}", True, False, 100.0)
        self.assertFalse(self.routes.is_internal("look", 100.0 + SETTLED_S))


if __name__ == "__main__":
    unittest.main()
