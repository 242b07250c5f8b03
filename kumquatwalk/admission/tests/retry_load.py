"""Requests through a chain to a service that refuses calls, simulated."""

import bisect
import collections
import dataclasses
import heapq
import itertools
import random

from kumquatwalk.admission.retry_shares import RetryDemand
from kumquatwalk.admission.retry_shares import compute_retry_shares
from kumquatwalk.daemon.retry_budgets import UNDECIDED_S
from kumquatwalk.retry.fleet_refusals import FleetRefusals
from kumquatwalk.retry.refusals import RefusalCounter
from kumquatwalk.retry.service_budget import RetryAllowance
from kumquatwalk.retry.service_budget import ServiceRetryBudget

__all__ = ["ALLOWANCE", "BEGIN_S", "END_S", "RetryLoad"]

ALLOWANCE = RetryAllowance(ratio=0.2, slack=48.0, window_s=10.0)
BEGIN_S, END_S, UNTIL_S = 12.0, 20.0, 28.0
REFUSED_SHARE = 0.55
REPORT_INTERVAL_S = 1.0
UPDATE_INTERVAL_S = 0.5
RUN_S = 0.05
REFUSAL_S = 0.03
CALLS = 4
# Kinds of requests: rank, share of all requests, and the caller's timeout.
KINDS = {"booking": (0, 0.28, 5.0), "lookup": (2, 0.72, 2.0)}
# Remaining time with which a caller sends no further request, in seconds.
CALLER_MIN_S = 0.5


@dataclasses.dataclass(slots=True)
class _Request:
    kind: str
    deadline: float
    number: int
    admitted_at: float = 0.0
    calls_done: int = 0
    attempts: int = 0
    node: int = 0


class RetryLoad:
    """Two kinds of requests whose runs make four calls in sequence.

    Each target refuses 55% of the arrivals at random for 8 s. A refused caller
    comes back after the time told, or a third of its remaining time if that is
    less. The booking ends with the first failure of a call; a lookup is sent
    again. Each node reports once a second; the ingress decides twice a second.

    Args:
        seed: Seed of the random source.
        is_limited: Whether budgets are paced and requests limited.
        rate_per_s: Requests a second.
        attempts_max: Attempts of a call.
        nodes: Nodes that make the calls to the service.
        timeout_factor: Factor on the timeouts of the callers.

    Attributes:
        counts: Requests asked for in the time of the refusals, by kind and
            result, ``asked`` or ``done``.
        admitted: Requests admitted and, under ``done``, finished, of those
            admitted while the refusals went on and the ingress knew of them.
        first_attempts: Times of first attempts of calls.
        retries: Times of their retries.
        refused_at: Times at which the ingress refused requests.
    """

    def __init__(
        self,
        seed: int = 1,
        is_limited: bool = True,
        rate_per_s: float = 200.0,
        attempts_max: int = 4,
        nodes: int = 8,
        timeout_factor: float = 1.0,
    ):
        self._random = random.Random(seed)
        self._is_limited = is_limited
        self._rate_per_s = rate_per_s
        self._attempts_max = attempts_max
        self._timeout_factor = timeout_factor
        self._budgets = [ServiceRetryBudget(ALLOWANCE) for _ in range(nodes)]
        self._counters = [RefusalCounter() for _ in range(nodes)]
        self._fleet = FleetRefusals()
        self._shares: dict[str, float] = {}
        self._arrivals: dict[str, list[float]] = {kind: [] for kind in KINDS}
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self.counts = collections.Counter()
        self.admitted = collections.Counter()
        self.first_attempts: list[float] = []
        self.retries: list[float] = []
        self.refused_at: list[float] = []

    def run(self) -> None:
        """Simulate until well after the end of the refusals."""
        self._schedule(0.0, self._ask, None)
        self._schedule(UPDATE_INTERVAL_S, self._update, None)
        for node in range(len(self._budgets)):
            self._schedule(self._random.random(), self._report, node)
        while self._events[0][0] < UNTIL_S:
            now, _, function, argument = heapq.heappop(self._events)
            function(argument, now)

    def find_worst_window(self) -> float:
        """Return the highest ratio of retries in a window to their bound."""
        worst = 0.0
        for end in (*self.retries, *(n / 10 for n in range(int(UNTIL_S * 10)))):
            first, retries = (
                bisect.bisect_right(times, end)
                - bisect.bisect_right(times, end - ALLOWANCE.window_s)
                for times in (self.first_attempts, self.retries)
            )
            bound = ALLOWANCE.ratio * first + ALLOWANCE.slack
            worst = max(worst, retries / bound)
        return worst

    def _schedule(self, time: float, function, argument) -> None:
        event = (time, next(self._numbers), function, argument)
        heapq.heappush(self._events, event)

    def _is_refusing(self, now: float) -> bool:
        return BEGIN_S <= now < END_S

    def _ask(self, _: None, now: float) -> None:
        delay_s = self._random.expovariate(self._rate_per_s)
        self._schedule(now + delay_s, self._ask, None)
        kinds = list(KINDS)
        kind = self._random.choices(kinds, [KINDS[k][1] for k in kinds])[0]
        number = next(self._numbers) if self._is_refusing(now) else -1
        self.counts[kind, "asked"] += number >= 0
        timeout_s = self._timeout_factor * KINDS[kind][2]
        request = _Request(kind, now + timeout_s, number)
        self._enter(request, now)

    def _enter(self, request: _Request, now: float) -> None:
        self._arrivals[request.kind].append(now)
        share = self._shares.get(request.kind, 1.0)
        if self._random.random() < share:
            request.admitted_at = now
            request.calls_done = request.attempts = 0
            self._count_admitted(request, "admitted")
            self._schedule(now + RUN_S, self._call, request)
            return
        self.refused_at.append(now)
        is_soon = self._random.random() < share
        delay_s = 0.4 if is_soon else self._random.uniform(3.0, 6.0)
        left_s = request.deadline - now
        self._come_back(request, min(delay_s, left_s / 3.0), now)

    def _come_back(self, request: _Request, delay_s: float, now: float) -> None:
        if request.deadline - now - delay_s > CALLER_MIN_S:
            self._schedule(now + delay_s, self._enter, request)

    def _count_admitted(self, request: _Request, result: str) -> None:
        if BEGIN_S + 1.5 <= request.admitted_at < END_S - 0.5:
            self.admitted[request.kind, result] += 1

    def _call(self, request: _Request, now: float) -> None:
        request.node = self._random.randrange(len(self._budgets))
        if not request.attempts:
            self._budgets[request.node].record_first_attempt(now)
            self.first_attempts.append(now)
        request.attempts += 1
        is_refused = self._is_refusing(now) and (
            self._random.random() < REFUSED_SHARE
        )
        function = self._handle_refusal if is_refused else self._handle_answer
        self._schedule(now + REFUSAL_S, function, request)

    def _handle_answer(self, request: _Request, now: float) -> None:
        counter = self._counters[request.node]
        counter.record("deep", False, self._attempts_max, now)
        request.calls_done += 1
        request.attempts = 0
        if request.calls_done < CALLS:
            self._schedule(now + RUN_S, self._call, request)
            return
        self.counts[request.kind, "done"] += request.number >= 0
        self._count_admitted(request, "done")

    def _handle_refusal(self, request: _Request, now: float) -> None:
        counter = self._counters[request.node]
        counter.record("deep", True, self._attempts_max, now)
        budget = self._budgets[request.node]
        refusing_s = counter.measure_refusing("deep", now)
        if request.attempts < self._attempts_max and budget.allows_retry(
            len(self._budgets),
            1.0,
            now,
            refusing_s if self._is_limited else None,
            is_paced=bool(self._shares) or (refusing_s or 0.0) < UNDECIDED_S,
        ):
            budget.spend(1.0, now)
            self.retries.append(now)
            self._call(request, now)
        elif request.kind == "lookup":
            self._come_back(request, 0.2, now)

    def _report(self, node: int, now: float) -> None:
        self._schedule(now + REPORT_INTERVAL_S, self._report, node)
        counter, budget = self._counters[node], self._budgets[node]
        rows = [
            dataclasses.replace(
                row,
                retries_per_s=budget.estimate_rate(
                    len(self._budgets),
                    counter.measure_refusing("deep", now) or 0.0,
                    now,
                ),
            )
            for row in counter.list_refusals(now)
        ]
        self._fleet.add_report(str(node), "middle", rows, now)

    def _update(self, _: None, now: float) -> None:
        self._schedule(now + UPDATE_INTERVAL_S, self._update, None)
        nodes = {"middle": len(self._budgets)}
        demands = [
            RetryDemand(
                kind,
                rank,
                float(sum(t > now - 1.0 for t in self._arrivals[kind][-5000:])),
                {"deep": float(CALLS)},
                self._timeout_factor * timeout_s,
            )
            for kind, (rank, _, timeout_s) in KINDS.items()
        ]
        refusing = self._fleet.list_services(nodes, nodes, now)
        if self._is_limited:
            self._shares = compute_retry_shares(demands, refusing)
