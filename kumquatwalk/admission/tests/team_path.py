"""Simulated load of teams that enter at several nodes, in virtual time."""

import random

from kumquatwalk.admission.ingress import IngressLoadShedder
from kumquatwalk.admission.ingress import ServiceLoad
from kumquatwalk.admission.ingress import split_between_attempts
from kumquatwalk.admission.ingress import UPDATE_INTERVAL_S
from kumquatwalk.admission.probabilities import RouteDemand
from kumquatwalk.admission.team_split import TeamSplit
from kumquatwalk.admission.tests.team_load import RETRIES
from kumquatwalk.admission.tests.team_load import RETRY_DELAY_S
from kumquatwalk.admission.tests.team_load import TeamLoad
from kumquatwalk.routing.rank import combine_ranks


class TeamPath(TeamLoad):
    """Plays a load through the ingress of several nodes to one target.

    All nodes have the same load shedder, and each has a split of its own for
    the requests that reach it; callers choose a node at random for each.

    Args:
        nodes: Number of nodes.
        slots: Slots of the target.
        mean_run_s: Mean run time, in seconds.
        team_ranks: Rank of the team, by team; 0 if not given.
    """

    def __init__(self, nodes, slots, mean_run_s, team_ranks=None):
        self._team_ranks = team_ranks or {}
        ranks = {t: combine_ranks(r, 2) for t, r in self._team_ranks.items()}
        super().__init__(slots, mean_run_s, ranks)
        self._splits = [TeamSplit() for _ in range(nodes)]
        self._shedder = IngressLoadShedder()
        self._node_rng = random.Random(3)
        self._arrived = 0
        self._rate_per_s = 0.0
        self._schedule(UPDATE_INTERVAL_S, "update", 0, 0)

    def _update(self, now, *_):
        rate = self._arrived / UPDATE_INTERVAL_S
        self._rate_per_s += 0.5 * (rate - self._rate_per_s)
        self._arrived = 0
        limiter = self.limiter
        load = ServiceLoad(limiter.running + limiter.queued, limiter.limit)
        cost = {"s": limiter.run_times.mean()}
        demand = RouteDemand("r", 2, self._rate_per_s, cost)
        self._shedder.update({"s": load}, [demand], now)
        for split in self._splits:
            split.update(self._shedder.admission_probabilities, now)
        self._repeat(now + UPDATE_INTERVAL_S, "update")

    def _arrive(self, now, team, retries):
        self._arrived += 1
        is_returning = retries > 0
        split = self._node_rng.choice(self._splits)
        name, rank = f"team-{team}", self._team_ranks.get(team, 0)
        split.record_arrival("r", name, rank, is_returning)
        self._shedder.record_arrival("r", is_returning)
        found = split.get_probability("r", name, rank, self._node_rng.random())
        if found is None:
            share = self._shedder.get_admission_probability("r", is_returning)
        else:
            share = split_between_attempts(*found, is_returning)
        if self._node_rng.random() < share:
            super()._arrive(now, team, retries)
            return
        self.offered[team] += not retries
        if retries < RETRIES:
            delay_s = self._shedder.draw_retry_delay(
                "r", is_returning, self._node_rng, found and found[0]
            )
            retry_at = now + max(delay_s, RETRY_DELAY_S)
            self._schedule(retry_at, "arrive", team, retries + 1)
