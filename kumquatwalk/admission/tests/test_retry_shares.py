"""Tests of the shares of routes that the retries left can finish."""

import dataclasses
import unittest

from kumquatwalk.admission.retry_shares import SHARE_MIN
from kumquatwalk.admission.retry_shares import SHARE_MIN_PART
from kumquatwalk.admission.retry_shares import USABLE_PART
from kumquatwalk.admission.retry_shares import RetryDemand
from kumquatwalk.admission.retry_shares import compute_retry_shares
from kumquatwalk.admission.retry_shares import estimate_chance
from kumquatwalk.admission.tests.retry_load import END_S
from kumquatwalk.admission.tests.retry_load import RetryLoad
from kumquatwalk.retry.fleet_refusals import RefusingService

BOOKING = RetryDemand("booking", 0, 50.0, {"middle": 4.0, "deep": 4.0})
LOOKUP = RetryDemand("lookup", 2, 150.0, {"deep": 4.0})
STATUS = RetryDemand("status", 2, 100.0, {"deep": 1.0})
OTHER = RetryDemand("other", 2, 100.0, {"middle": 4.0})
DEMANDS = (BOOKING, LOOKUP, STATUS, OTHER)


def make_refusing(retries_per_s: float, share: float = 0.55):
    """Return a service that refuses calls, by name."""
    return {"deep": RefusingService(share, retries_per_s, 4)}


class RetrySharesTest(unittest.TestCase):

    def test_nothing_is_limited_without_refusals(self):
        self.assertEqual(compute_retry_shares(DEMANDS, {}), {})

    # Guards against a limit where most requests end well without retries.
    def test_few_refusals_limit_nothing(self):
        self.assertEqual(
            compute_retry_shares(DEMANDS, make_refusing(0.0, 0.2)), {}
        )

    def test_routes_that_need_few_or_no_retries_are_not_limited(self):
        shares = compute_retry_shares(DEMANDS, make_refusing(50.0))
        self.assertEqual(shares.keys(), {"booking", "lookup"})

    def test_retries_go_to_the_highest_rank_first(self):
        shares = compute_retry_shares(DEMANDS, make_refusing(100.0))
        self.assertGreater(shares["booking"], 4.0 * shares["lookup"])
        # What the admitted requests need fits what is planned for.
        admitted = sum(d.requests_per_s * shares[d.route] for d in DEMANDS[:2])
        self.assertLess(admitted, 100.0 * USABLE_PART)
        average = admitted / (BOOKING.requests_per_s + LOOKUP.requests_per_s)
        self.assertAlmostEqual(
            shares["lookup"], SHARE_MIN_PART * average, delta=0.01
        )

    def test_all_are_admitted_with_enough_retries(self):
        self.assertEqual(
            compute_retry_shares(DEMANDS, make_refusing(5000.0)), {}
        )

    # Guards against an ingress that never learns that the refusals have ended.
    def test_some_requests_are_admitted_without_retries(self):
        shares = compute_retry_shares(DEMANDS, make_refusing(0.0))
        self.assertEqual(shares["booking"], SHARE_MIN)

    # Guards against refusals to callers that have no time to come back.
    # Guards against a kind of request of which none is admitted while no
    # retries are left, though some of the highest rank are.
    def test_no_kind_is_shut_out_however_few_retries_are_left(self):
        demands = [
            RetryDemand(f"r{rank}", rank, 100.0, {"deep": 3.0}, 5.0)
            for rank in range(3)
        ]
        for retries_per_s in (0.0, 1.0, 10.0, 50.0):
            shares = compute_retry_shares(
                demands, {"deep": RefusingService(0.55, retries_per_s, 3)}
            )
            mean = sum(shares.values()) / len(demands)
            for share in shares.values():
                self.assertGreaterEqual(share, 0.99 * SHARE_MIN_PART * mean)

    def test_short_requests_are_not_limited(self):
        for timeout_s, is_limited in ((1.5, False), (5.0, True)):
            demand = dataclasses.replace(BOOKING, timeout_s=timeout_s)
            shares = compute_retry_shares((demand, LOOKUP), make_refusing(10.0))
            self.assertEqual(bool(shares), is_limited)

    def test_chance_to_finish(self):
        refusing = make_refusing(50.0)
        unaided = estimate_chance(LOOKUP, refusing, False)
        self.assertAlmostEqual(unaided, 0.45**4)
        aided = estimate_chance(LOOKUP, refusing, True)
        self.assertAlmostEqual(aided, (1.0 - 0.55**4) ** 4)


class RetryLoadTest(unittest.TestCase):
    """Guard against a budget that is spent on requests that fail later."""

    def test_admitted_bookings_end_well(self):
        done = admitted = 0
        for seed in range(4):
            load = RetryLoad(seed)
            load.run()
            done += load.admitted["booking", "done"]
            admitted += load.admitted["booking", "admitted"]
            # The operators' bound, in every window.
            self.assertLess(load.find_worst_window(), 1.0)
            # Admission is back within 2 s.
            self.assertLess(max(load.refused_at), END_S + 2.0)
            asked = {
                kind: load.counts[kind, "done"] / load.counts[kind, "asked"]
                for kind in ("booking", "lookup")
            }
            self.assertGreater(asked["booking"], asked["lookup"])
        self.assertGreater(done, 0.5 * admitted)

    def test_more_bookings_end_well_than_without_limits(self):
        shares = []
        for is_limited in (False, True):
            load = RetryLoad(1, is_limited)
            load.run()
            asked = load.counts["booking", "asked"]
            shares.append(load.counts["booking", "done"] / asked)
        self.assertLess(shares[0], 0.2)
        self.assertGreater(shares[1], 2.0 * shares[0])


if __name__ == "__main__":
    unittest.main()
