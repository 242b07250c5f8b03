"""Unit tests of the split of a route's admission probability among teams."""

import collections
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.admission.ingress import split_between_attempts
from kumquatwalk.admission.ingress import UPDATE_INTERVAL_S
from kumquatwalk.admission.team_split import FLOWS_MAX
from kumquatwalk.admission.team_split import split_among_teams
from kumquatwalk.admission.team_split import TeamDemand
from kumquatwalk.admission.team_split import TeamSplit
from kumquatwalk.admission.tests.team_load import make_zipf_rates

DEMANDS = st.lists(
    st.tuples(st.integers(0, 2), st.floats(0.01, 100.0)),
    min_size=1,
    max_size=40,
)


def make_demands(pairs):
    """Return demands of teams with these ranks and rates."""
    return [TeamDemand(f"t{n}", *pair) for n, pair in enumerate(pairs)]


class TeamSplitTest(unittest.TestCase):

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(DEMANDS, st.floats(0.01, 0.99), st.floats(0.0, 1.0))
    def test_split_is_max_min_fair_by_rank_and_adds_up(
        self, pairs, probability, part
    ):
        demands = make_demands(pairs)
        floor = part * probability
        limit = split_among_teams(demands, probability, floor)
        admitted = {
            d: limit.compute_probability(d.rank, d.requests_per_s)
            for d in demands
        }
        total = sum(d.requests_per_s for d in demands)
        self.assertAlmostEqual(
            sum(d.requests_per_s * p for d, p in admitted.items()) / total,
            probability,
            places=6,
        )
        for demand, p in admitted.items():
            self.assertGreaterEqual(p, floor)
            if p > floor * (1.0 + 1e-6):
                # It is above the lower bound, so each higher rank is admitted
                # in full, and no team of its rank is admitted more unless that
                # one is at its lower bound.
                rate = p * demand.requests_per_s
                for other, q in admitted.items():
                    if other.rank < demand.rank:
                        self.assertAlmostEqual(q, 1.0, places=6)
                    elif other.rank == demand.rank and q < 1.0:
                        self.assertGreaterEqual(
                            q * other.requests_per_s, rate * (1.0 - 1e-6)
                        )

    def test_rank_not_seen_yet_comes_after_those_above_it(self):
        # A team of the lowest rank would be admitted in full at first.
        demands = make_demands([(1, 10.0), (1, 20.0)])
        limit = split_among_teams(demands, 0.5, 0.1)
        self.assertEqual(limit.compute_probability(0, 0.0), 1.0)
        self.assertEqual(limit.compute_probability(1, 0.0), 1.0)
        self.assertEqual(limit.compute_probability(2, 0.0), 0.1)

    def test_number_of_flows_is_bounded_and_old_ones_are_forgotten(self):
        split = TeamSplit()
        split.update({"r": 0.5}, 0.0)
        for number in range(FLOWS_MAX + 100):
            split.record_arrival("r", f"t{number}", 0, False)
        split.update({"r": 0.5}, 0.5)
        self.assertEqual(split.flow_count, FLOWS_MAX)
        self.assertIsNone(split.get_probability("r", f"t{FLOWS_MAX}", 0, 0.0))
        split.update({"r": 0.5}, 40.0)
        self.assertEqual(split.flow_count, 0)

    def test_retries_of_a_team_are_admitted_first_within_its_share(self):
        split = TeamSplit()
        for tenth in range(100):
            for is_returning in (True, False, False, False):
                split.record_arrival("r", "large", 0, is_returning)
            split.update({"r": 0.4}, tenth / 10.0)
        probability, retry_share = split.get_probability("r", "large", 0, 0.0)
        self.assertAlmostEqual(probability, 0.4, places=6)
        self.assertAlmostEqual(retry_share, 0.25, places=6)
        retries = split_between_attempts(probability, retry_share, True)
        self.assertEqual(retries, 1.0)

    # Guards against refusals of three in four first attempts of a team within
    # its share whose requests before were all callers' retries.
    def test_first_attempt_of_a_team_within_its_share_is_admitted(self):
        split = TeamSplit()
        for half in range(20):
            split.record_arrival("r", "small", 0, True)
            for _ in range(30):
                split.record_arrival("r", "large", 0, False)
            split.update({"r": 0.6}, half / 2.0)
        probability, retry_share = split.get_probability("r", "small", 0, 0.5)
        self.assertEqual(probability, 1.0)
        first = split_between_attempts(probability, retry_share, False)
        self.assertEqual(first, 1.0)


def list_arrivals(rates, until):
    """Return Poisson arrivals as pairs of a time and a team, by time."""
    arrivals = []
    for team, rate in enumerate(rates):
        rng = random.Random(team)
        at = rng.expovariate(rate)
        while at < until:
            arrivals.append((at, team))
            at += rng.expovariate(rate)
    return sorted(arrivals)


def play(rates, capacity_per_s, until=60.0, ranks=None):
    """Play Poisson arrivals of teams at one node.

    The probability of the route is what admits the capacity. Requests are
    counted from 10 s on.

    Returns:
        Requests offered and admitted, by team.
    """
    split, rng = TeamSplit(), random.Random(5)
    probability = min(1.0, capacity_per_s / sum(rates))
    offered, admitted = collections.Counter(), collections.Counter()
    updated_at = 0.0
    for now, team in list_arrivals(rates, until):
        rank = (ranks or {}).get(team, 0)
        split.record_arrival("r", str(team), rank, False)
        if now - updated_at >= UPDATE_INTERVAL_S:
            updated_at = now
            split.update({"r": probability}, now)
        found = split.get_probability("r", str(team), rank, rng.random())
        if now >= 10.0:
            offered[team] += 1
            admitted[team] += rng.random() < found[0] if found else True
    return offered, admitted


class TeamSplitLoadTest(unittest.TestCase):
    """A node with 60 requests a second of 73 teams with a Zipf skew of 1.2.

    Nine tenths of the usual demand are admitted.
    """

    USUAL = make_zipf_rates(73, 60.0)
    CAPACITY_PER_S = 54.0

    def test_burst_of_the_largest_team_takes_nothing_from_others(self):
        _, before = play(self.USUAL, self.CAPACITY_PER_S)
        burst = [self.USUAL[0] * 5.0, *self.USUAL[1:]]
        offered, after = play(burst, self.CAPACITY_PER_S)
        others = range(1, 73)
        for group in (others, range(1, 10), range(10, 73)):
            self.assertGreaterEqual(
                sum(after[t] for t in group),
                0.95 * sum(before[t] for t in group),
            )
        total = sum(after.values()) / sum(offered.values())
        self.assertGreater(after[0] / offered[0], 0.25 * total)
        # The capacity is neither exceeded nor left unused.
        self.assertAlmostEqual(
            sum(after.values()) / 50.0, self.CAPACITY_PER_S, delta=4.0
        )

    def test_lower_rank_is_shed_first_and_not_shut_out(self):
        ranks = {team: team % 2 for team in range(73)}
        offered, admitted = play(self.USUAL, 40.0, ranks=ranks)
        shares = []
        for rank in (0, 1):
            teams = [t for t in range(73) if ranks[t] == rank]
            shares.append(
                sum(admitted[t] for t in teams) / sum(offered[t] for t in teams)
            )
        total = sum(admitted.values()) / sum(offered.values())
        self.assertGreater(shares[0], 0.9)
        self.assertLess(shares[1], 0.5)
        self.assertGreater(shares[1], 0.25 * total)

    def test_many_teams_are_admitted_alike(self):
        offered, admitted = play([0.1] * 1000, 50.0, until=40.0)
        share = sum(admitted.values()) / sum(offered.values())
        self.assertAlmostEqual(share, 0.5, delta=0.1)
        halves = [
            sum(admitted[t] for t in half)
            for half in (range(500), range(500, 1000))
        ]
        self.assertLess(max(halves) / min(halves), 1.1)


if __name__ == "__main__":
    unittest.main()
