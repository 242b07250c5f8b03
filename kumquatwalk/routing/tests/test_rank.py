"""Tests of the rank of a team's request."""

import itertools
import unittest

from kumquatwalk.routing.rank import RANK_MAX
from kumquatwalk.routing.rank import combine_ranks


class CombineRanksTest(unittest.TestCase):
    """Order of requests by team and route."""

    def test_rank_of_the_team_goes_before_that_of_the_route(self):
        pairs = list(itertools.product(range(5), range(16)))
        ranks = [combine_ranks(*pair) for pair in pairs]
        self.assertEqual(sorted(set(ranks)), ranks)

    def test_any_rank_fits_into_one_byte(self):
        self.assertEqual(RANK_MAX, combine_ranks(10**6, 10**6))
        self.assertEqual(combine_ranks(0, 15), combine_ranks(0, 99))
