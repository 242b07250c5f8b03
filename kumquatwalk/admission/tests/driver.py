"""Open-loop load on a target's concurrency limiter, in simulated time."""

import collections
import heapq
import itertools
import random

from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import Refusal
from kumquatwalk.admission.target_limiter import TargetLimiter

__all__ = ["Driver"]

TIMEOUT_S = 1.0
SHED_S = 0.0005
EXPIRY_INTERVAL_S = 0.05


class Driver:
    """Submits calls of four ranks and simulates the runs of admitted ones.

    The target runs ``slots`` calls at once and sheds the others.

    Args:
        slots: Calls that the target runs at once.
        reported_slots: Slots that the target reports.
        mean_run_s: Mean run time, in seconds.

    Attributes:
        limiter: The limiter under test.
        counts: Number of calls by tenth of a second of their arrival, rank and
            outcome.
        mean_run_s: Mean run time, in seconds.
    """

    def __init__(self, slots, reported_slots, mean_run_s):
        self.limiter = TargetLimiter()
        self.limiter.open(reported_slots)
        self.counts = collections.Counter()
        self.mean_run_s = mean_run_s
        self._slots = slots
        self._random = random.Random(1)
        self._events = [(0.0, 0, "arrive", 0), (0.0, 0, "expire", 0)]
        self._numbers = itertools.count(1)
        self._calls = {}
        self._running = 0

    def run(self, rate_per_s, until):
        """Simulate Poisson arrivals at a rate until a time, in seconds."""
        while self._events[0][0] < until:
            now, _, kind, key = heapq.heappop(self._events)
            if kind == "arrive":
                self._arrive(now)
                delay_s = self._random.expovariate(rate_per_s)
                self._schedule(now + delay_s, "arrive", 0)
            elif kind == "expire":
                self._apply([], self.limiter.expire(now), now)
                self._schedule(now + EXPIRY_INTERVAL_S, "expire", 0)
            else:
                self._finish(key, kind == "shed", now)

    def share(self, start, end, ranks=range(4)):
        """Return the fraction of arrived calls that ran to their end."""
        done = self.count("done", start, end, ranks)
        return done / self.count("offered", start, end, ranks)

    def count(self, outcome, start, end, ranks=range(4)):
        """Return the number of calls with an outcome, by time of arrival."""
        tenths = range(round(start * 10), round(end * 10))
        pairs = itertools.product(tenths, ranks)
        return sum(self.counts[tenth, k, outcome] for tenth, k in pairs)

    def _schedule(self, time, kind, key):
        event = (time, next(self._numbers), kind, key)
        heapq.heappush(self._events, event)

    def _arrive(self, now):
        rank = self._random.choices(range(4), (1, 2, 3, 4))[0]
        key = next(self._numbers)
        self._calls[key] = (int(now * 10), rank, now)
        self._count(key, "offered")
        deadline = now + TIMEOUT_S
        call = AdmissionRequest(key, "r", rank, False, deadline, deadline)
        runs, refused = self.limiter.submit(call, now)
        self._apply([key] if runs else [], refused, now)

    def _apply(self, started, refused: list[Refusal], now):
        for key in started:
            self._start(key, now)
        for refusal in refused:
            del self._calls[refusal.key]

    def _start(self, key, now):
        tenth, rank, _ = self._calls[key]
        self._calls[key] = (tenth, rank, now)
        if self._running >= self._slots:
            self._schedule(now + SHED_S, "shed", key)
            return
        self._running += 1
        delay_s = self.mean_run_s * self._random.uniform(0.8, 1.2)
        self._schedule(now + delay_s, "done", key)

    def _finish(self, key, is_shed, now):
        self._count(key, "shed" if is_shed else "done")
        started_at = self._calls.pop(key)[2]
        if is_shed:
            self.limiter.record_shed(now)
            run_s = None
        else:
            self._running -= 1
            run_s = now - started_at
        self._apply(*self.limiter.finish(key, run_s, now), now)

    def _count(self, key, outcome):
        tenth, rank, _ = self._calls[key]
        self.counts[tenth, rank, outcome] += 1
