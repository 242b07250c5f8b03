"""Tests of the counts of refusals and of their sums over the fleet."""

import unittest

from kumquatwalk.retry.fleet_refusals import REPORT_TTL_S
from kumquatwalk.retry.fleet_refusals import FleetRefusals
from kumquatwalk.retry.refusals import RATE_SPAN_S
from kumquatwalk.retry.refusals import SPAN_S
from kumquatwalk.retry.refusals import RefusalCounter
from kumquatwalk.retry.refusals import ServiceRefusals
from kumquatwalk.retry.refusals import estimate_calls
from kumquatwalk.retry.refusals import estimate_retries
from kumquatwalk.retry.refusals import estimate_success


class RefusalCounterTest(unittest.TestCase):

    def _record(self, counter, refused, arrivals, since):
        for number in range(arrivals):
            now = since + RATE_SPAN_S * number / arrivals
            counter.record("deep", number < refused, 4, now)

    def test_nothing_is_counted_before_a_refusal(self):
        counter = RefusalCounter()
        self._record(counter, 0, 100, 0.0)
        self.assertEqual(counter.list_refusals(RATE_SPAN_S), [])
        self.assertIsNone(counter.measure_refusing("deep", RATE_SPAN_S))

    # Guards against paced retries and more messages for a refusal now and then.
    def test_few_refusals_change_nothing(self):
        for refused, arrivals in ((2, 3), (10, 100)):
            counter = RefusalCounter()
            self._record(counter, refused, arrivals, 0.0)
            self.assertEqual(counter.list_refusals(RATE_SPAN_S), [])
            self.assertIsNone(counter.measure_refusing("deep", RATE_SPAN_S))

    def test_rates_and_their_end(self):
        counter = RefusalCounter()
        self._record(counter, 30, 40, 0.0)
        row = counter.list_refusals(RATE_SPAN_S)[0]
        self.assertAlmostEqual(row.arrivals_per_s, 40 / RATE_SPAN_S, delta=10)
        self.assertAlmostEqual(row.refused_per_s, 30 / RATE_SPAN_S, delta=10)
        self._record(counter, 0, 40, 2.0 * RATE_SPAN_S)
        row = counter.list_refusals(3.0 * RATE_SPAN_S)[0]
        self.assertEqual(row.refused_per_s, 0.0)
        end = RATE_SPAN_S + SPAN_S + 0.1
        self.assertEqual(counter.list_refusals(end), [])
        self.assertIsNone(counter.measure_refusing("deep", end))

    def test_estimates_for_a_sequence_of_calls(self):
        self.assertAlmostEqual(estimate_success(0.55, 1), 0.45)
        self.assertAlmostEqual(estimate_retries(0.55, 3), 0.55 + 0.55**2)
        self.assertAlmostEqual(estimate_calls(3.0, 0.5), 1.75)
        self.assertEqual(estimate_calls(3.0, 1.0), 3.0)


class FleetRefusalsTest(unittest.TestCase):

    def test_sums_are_scaled_to_the_fleet_and_expire(self):
        fleet = FleetRefusals()
        for name, refused in (("a", 10.0), ("b", 12.0)):
            row = ServiceRefusals("deep", 20.0, refused, 3.0, 4)
            fleet.add_report(name, "middle", (row,), 0.0)
        services = fleet.list_services({"middle": 6}, {"middle": 2}, 0.0)
        self.assertAlmostEqual(services["deep"].refused_share, 0.55)
        self.assertAlmostEqual(services["deep"].retries_per_s, 18.0)
        late = fleet.list_services({}, {}, REPORT_TTL_S + 0.1)
        self.assertEqual((late, fleet.has_reports), ({}, False))

    # Guards against limits by a few refusals, or by chance.
    def test_few_refusals_and_few_arrivals_do_not_count(self):
        fleet = FleetRefusals()
        fleet.add_report("a", "m", (ServiceRefusals("x", 90.0, 9.0),), 0.0)
        fleet.add_report("b", "m", (ServiceRefusals("y", 4.0, 3.0),), 0.0)
        self.assertEqual(fleet.list_services({}, {}, 0.0), {})


if __name__ == "__main__":
    unittest.main()
