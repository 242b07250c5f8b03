"""Simulated load of teams at one target, in virtual time."""

import collections
import heapq
import itertools
import random

from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import TargetLimiter

EXPIRY_INTERVAL_S = 0.05
# Time within which a call must have started, and have ended, in seconds.
START_S = 0.4
TIMEOUT_S = 1.0
# Retries of a caller after a refusal, and its delay at least, in seconds.
RETRIES = 2
RETRY_DELAY_S = 0.3


def make_zipf_rates(teams: int, total_per_s: float) -> list[float]:
    """Return the request rates of teams, with a Zipf skew of 1.2."""
    weights = [(n + 1) ** -1.2 for n in range(teams)]
    return [total_per_s * w / sum(weights) for w in weights]


class TeamLoad:
    """Plays Poisson arrivals of teams whose callers retry after a refusal.

    Args:
        slots: Slots of the target.
        mean_run_s: Mean of the exponentially distributed run times, in seconds.
        ranks: Rank by team; 2 if not given.

    Attributes:
        limiter: Limiter of the target.
        offered: Requests by team.
        served: Requests that ran, by team.
    """

    def __init__(self, slots, mean_run_s, ranks=None):
        self.limiter = TargetLimiter()
        self.limiter.open(slots)
        self.offered = collections.Counter()
        self.served = collections.Counter()
        self._mean_run_s = mean_run_s
        self._ranks = ranks or {}
        self._events = []
        self._numbers = itertools.count(1)
        self._calls = {}
        self._rng = random.Random(7)

    def run(self, rates, until):
        """Play the load and return the share of requests served, by team."""
        for team, rate in enumerate(rates):
            # Each team has arrivals of its own, which do not depend on how
            # often others send.
            rng = random.Random(team)
            at = rng.expovariate(rate)
            while at < until:
                self._schedule(at, "arrive", team, 0)
                at += rng.expovariate(rate)
        self._schedule(EXPIRY_INTERVAL_S, "expire", 0, 0)
        while self._events:
            now, _, kind, *details = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(now, *details)
        return {t: self.served[t] / self.offered[t] for t in self.offered}

    def _schedule(self, time, *details):
        heapq.heappush(self._events, (time, next(self._numbers), *details))

    def _repeat(self, time, kind):
        """Schedule a periodic event unless only such events are left."""
        periodic = ("expire", "update")
        if any(event[2] not in periodic for event in self._events):
            self._schedule(time, kind, 0, 0)

    def _arrive(self, now, team, retries):
        self.offered[team] += not retries
        key = next(self._numbers)
        self._calls[key] = (team, retries, now)
        call = AdmissionRequest(
            key,
            "r",
            self._ranks.get(team, 2),
            retries > 0,
            now + TIMEOUT_S,
            now + START_S,
            f"team-{team}",
        )
        runs, refused = self.limiter.submit(call, now)
        self._apply([key] if runs else [], refused, now)

    def _expire(self, now, *_):
        self._apply([], self.limiter.expire(now), now)
        self._repeat(now + EXPIRY_INTERVAL_S, "expire")

    def _end(self, now, key, run_s):
        self._apply(*self.limiter.finish(key, run_s, now), now)

    def _apply(self, started, refused, now):
        for key in started:
            self.served[self._calls.pop(key)[0]] += 1
            run_s = self._rng.expovariate(1.0 / self._mean_run_s)
            self._schedule(now + run_s, "end", key, run_s)
        for refusal in refused:
            team, retries, _ = self._calls.pop(refusal.key)
            if retries < RETRIES:
                delay_s = max(RETRY_DELAY_S, refusal.retry_after_s)
                self._schedule(now + delay_s, "arrive", team, retries + 1)
