"""Tests of fair shares of teams at a target that is full, simulated.

The load: 73 teams with a Zipf skew of 1.2 offer 1.1 times what a target with
32 slots and runs of 30 ms can serve, for 10 s; callers retry twice after a
refusal.
"""

import unittest

from kumquatwalk.admission.target_limiter import SLOT_FRACTION
from kumquatwalk.admission.tests.team_load import make_zipf_rates
from kumquatwalk.admission.tests.team_load import TeamLoad
from kumquatwalk.admission.tests.team_path import TeamPath

SLOTS = 32
MEAN_RUN_S = 0.03
TEAMS = 73
CAPACITY_PER_S = SLOTS * SLOT_FRACTION / MEAN_RUN_S
USUAL = make_zipf_rates(TEAMS, 1.1 * CAPACITY_PER_S)


def play(rates, ranks=None):
    """Play ten seconds; return the load and the share served by team."""
    load = TeamLoad(SLOTS, MEAN_RUN_S, ranks)
    return load, load.run(rates, 10.0)


class TeamLoadTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.usual, cls.usual_shares = play(USUAL)

    def check_others(self, team, lost_max):
        """Check that each other team is served as without the burst."""
        rates = list(USUAL)
        rates[team] *= 5.0
        load, shares = play(rates)
        others = [t for t in self.usual.served if t != team]
        for other in others:
            before = self.usual.served[other]
            # A few requests more or less of a small team are no loss.
            self.assertGreaterEqual(
                load.served[other], (1.0 - lost_max) * before - 2, other
            )
        return shares

    def test_burst_of_the_largest_team_takes_nothing_from_others(self):
        shares = self.check_others(0, 0.05)
        # It is served what the others leave, and not starved.
        self.assertGreater(shares[0], 0.15)

    def test_burst_of_a_small_team_takes_from_larger_teams_only(self):
        rates = list(USUAL)
        rates[10] *= 5.0
        load, shares = play(rates)
        self.assertGreater(shares[10], 0.95)
        for team in range(1, TEAMS):
            self.assertGreaterEqual(
                load.served[team] + 2, 0.95 * self.usual.served[team], team
            )
        # Only the largest exceeds its fair share, and it keeps the most.
        self.assertEqual(max(load.served, key=load.served.get), 0)

    def test_thousand_teams_are_served_alike(self):
        rates = [1.5 * CAPACITY_PER_S / 1000] * 1000
        load, _ = play(rates)
        served = sum(load.served.values())
        self.assertGreater(served / 10.0, 0.9 * CAPACITY_PER_S)
        # Chance aside: a team sends 15 requests on average.
        largest = sum(sorted(load.served.values())[-100:])
        self.assertLess(largest / served, 0.2)

    def test_higher_rank_of_team_is_served_first(self):
        # Teams of the lower rank offer more than the target can serve.
        rates = [0.7 * CAPACITY_PER_S / 10] * 10 + [CAPACITY_PER_S / 10] * 10
        ranks = {t: 2 if t < 10 else 18 for t in range(20)}
        load, shares = play(rates, ranks)
        self.assertGreater(min(shares[t] for t in range(10)), 0.99)
        low = [load.served[t] for t in range(10, 20)]
        self.assertGreater(sum(low) / 10.0, 0.2 * CAPACITY_PER_S)
        self.assertGreater(min(low), 0.8 * max(low))

    def test_burst_takes_nothing_from_others_behind_the_ingress(self):
        # With one probability for all teams at the ingress, the others keep
        # 0.76 of their requests behind a fair queue, 0.73 behind an unfair one.
        usual = TeamPath(10, SLOTS, MEAN_RUN_S)
        usual.run(USUAL, 10.0)
        burst = TeamPath(10, SLOTS, MEAN_RUN_S)
        shares = burst.run([5.0 * USUAL[0], *USUAL[1:]], 10.0)
        for teams in (range(1, TEAMS), range(20, TEAMS)):
            self.assertGreaterEqual(
                sum(burst.served[t] for t in teams),
                0.95 * sum(usual.served[t] for t in teams),
            )
        total = sum(burst.served.values()) / sum(burst.offered.values())
        self.assertGreater(shares[0], 0.25 * total)

    def test_lower_rank_of_team_is_not_shut_out_behind_the_ingress(self):
        # Teams of the higher rank alone offer more than the target can serve;
        # the order of the queue alone leaves the others a tenth or less.
        rates = make_zipf_rates(10, 1.2 * CAPACITY_PER_S)
        rates += make_zipf_rates(30, 0.5 * CAPACITY_PER_S)
        ranks = {team: int(team >= 10) for team in range(40)}
        load = TeamPath(10, SLOTS, MEAN_RUN_S, ranks)
        shares = load.run(rates, 20.0)
        total = sum(load.served.values()) / sum(load.offered.values())
        self.assertGreater(min(shares.values()), 0.25 * total)
        # A higher rank goes first.
        low = sum(load.served[t] for t in range(10, 40))
        offered = sum(load.offered[t] for t in range(10, 40))
        self.assertLess(low / offered, total)


if __name__ == "__main__":
    unittest.main()
