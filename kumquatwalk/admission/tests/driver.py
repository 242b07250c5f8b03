"""Open-loop load on an admission state, in test time."""

import collections
import heapq
import itertools
import random

from kumquatwalk.admission.notice import Admitted
from kumquatwalk.admission.sample import RunSample
from kumquatwalk.admission.state import AdmissionState
from kumquatwalk.admission.tests import samples
from kumquatwalk.outcome import Outcome

__all__ = ["Driver"]

TIMEOUT_S = 1.0
SHED_S = 0.0005


class Driver:
    """Offers calls of four classes and runs the admitted ones.

    The target runs ``slots`` calls at once and sheds or, when ``is_queuing``,
    delays the others.

    Attributes:
        state: The state under test.
        counts: Number of calls by tenth of a second, class and outcome.
    """

    def __init__(self, slots, announced, service_s, is_queuing=False):
        self.state = AdmissionState(0.0)
        self.state.set_target(samples.make_target(announced), 0.0)
        self.counts = collections.Counter()
        self.service_s = service_s
        self._slots = slots
        self._is_queuing = is_queuing
        self._random = random.Random(1)
        self._events = [(0.0, 0, "arrive", 0)]
        self._numbers = itertools.count(1)
        self._calls = {}
        self._served = 0
        self._entry = samples.make_entry()

    def run(self, rate_per_s, until):
        """Offer Poisson arrivals at a rate until a time."""
        while self._events[0][0] < until:
            now, _, kind, call_id = heapq.heappop(self._events)
            if kind == "arrive":
                self._arrive(now)
                delay_s = self._random.expovariate(rate_per_s)
                self._plan(now + delay_s, "arrive", 0)
            else:
                self._end(call_id, kind == "shed", now)

    def share(self, start, end, classes=range(4)):
        """Return the share of offered calls that were done."""
        done = self.count("done", start, end, classes)
        return done / self.count("offered", start, end, classes)

    def count(self, outcome, start, end, classes=range(4)):
        """Return the calls with an outcome that arrived between two times."""
        tenths = range(round(start * 10), round(end * 10))
        pairs = itertools.product(tenths, classes)
        return sum(self.counts[tenth, k, outcome] for tenth, k in pairs)

    def _plan(self, time, kind, call_id):
        event = (time, next(self._numbers), kind, call_id)
        heapq.heappush(self._events, event)

    def _arrive(self, now):
        importance = self._random.choices(range(4), (1, 2, 3, 4))[0]
        priority = importance * 256 + self._random.randrange(256)
        call_id = next(self._numbers)
        self._calls[call_id] = (int(now * 10), importance, now)
        self._note(call_id, "offered")
        call = samples.make_call(
            call_id, priority, 0, now + TIMEOUT_S, entry=self._entry
        )
        self._book(self.state.offer(call, now), now)

    def _book(self, notices, now):
        for notice in notices:
            if isinstance(notice, Admitted):
                self._begin(notice.call_id, now)

    def _begin(self, call_id, now):
        if self._served >= self._slots and not self._is_queuing:
            self._plan(now + SHED_S, "shed", call_id)
            return
        self._served += 1
        delay_s = self.service_s * self._random.uniform(0.8, 1.2)
        delay_s *= max(1.0, self._served / self._slots)
        tenth, importance, _ = self._calls[call_id]
        self._calls[call_id] = (tenth, importance, now)
        self._plan(now + delay_s, "done", call_id)

    def _end(self, call_id, is_shed, now):
        self._note(call_id, "shed" if is_shed else "done")
        begun = self._calls.pop(call_id)[2]
        if is_shed:
            sample = samples.SHED
        else:
            self._served -= 1
            sample = RunSample(now - begun, Outcome.DONE)
        self._book(self.state.finish(call_id, sample, now), now)

    def _note(self, call_id, outcome):
        tenth, importance, _ = self._calls[call_id]
        self.counts[tenth, importance, outcome] += 1
