"""Time until a surge is known at the nodes that admit requests."""

import random

from benchmarks.fleet_model.design import Design
from benchmarks.fleet_model.fleet import list_links
from benchmarks.fleet_model.fleet import make_nodes

__all__ = ["measure_surge_delay"]

OBSERVERS = 10
RATE_PER_S = 3.0
SURGE_FACTOR = 3.0
# Second at which the rate rises; by then each node has reported.
SURGE_AT_S = 100
# Part of the new rate from which on it counts as known.
KNOWN_PART = 0.8
WINDOW_S = 1.0
GIVE_UP_S = 120
# Weight of a window in the average of a rate, as in ``TrafficMeter``.
_RATE_WEIGHT = 0.5


def measure_surge_delay(count: int, design: Design, seed: int) -> float | None:
    """Return the seconds until the slowest observer knows of a surge.

    All nodes receive three times the requests from one moment on. An observer
    sums what the nodes that it is linked to have reported last, scaled to the
    fleet.

    Args:
        count: Number of nodes.
        design: Design of the fleet.
        seed: Seed of arrivals and of the times of reports.

    Returns:
        The delay; None when an observer does not know within two minutes.
    """
    rng = random.Random(seed)
    nodes = make_nodes(count, design, rng)
    reports = _Reports(nodes, design, rng)
    links = {
        i: [n.entry.node_id for n in list_links(nodes[i], nodes, design)]
        for i in rng.sample(sorted(nodes), min(OBSERVERS, count))
    }
    unaware = set(links)
    known_mean = KNOWN_PART * SURGE_FACTOR * RATE_PER_S
    for second in range(SURGE_AT_S, SURGE_AT_S + GIVE_UP_S):
        reports.advance(second, RATE_PER_S * SURGE_FACTOR)
        unaware = {i for i in unaware if reports.average(links[i]) < known_mean}
        if not unaware:
            return second + WINDOW_S - SURGE_AT_S
    return None


class _Reports:
    """Last traffic report of each node, which it sends at its own times."""

    def __init__(self, nodes, design: Design, rng: random.Random):
        self._rng = rng
        self._interval = round(design.compute_report_interval(len(nodes)))
        self._phases = {i: rng.randrange(self._interval) for i in nodes}
        self._rates = dict.fromkeys(nodes, RATE_PER_S)
        self._reported = dict.fromkeys(nodes, RATE_PER_S)

    def advance(self, second: int, rate_per_s: float) -> None:
        """Let all nodes count one window and send what is due."""
        for node, phase in self._phases.items():
            arrivals = _draw_poisson(rate_per_s * WINDOW_S, self._rng)
            change = arrivals / WINDOW_S - self._rates[node]
            self._rates[node] += _RATE_WEIGHT * change
            if second % self._interval == phase:
                self._reported[node] = self._rates[node]

    def average(self, nodes: list[str]) -> float:
        """Return the mean of the last reports of some nodes."""
        return sum(self._reported[n] for n in nodes) / len(nodes)


def _draw_poisson(mean: float, rng: random.Random) -> int:
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count
