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
    interval = round(design.compute_report_interval(count))
    phases = {i: rng.randrange(interval) for i in nodes}
    rates = dict.fromkeys(nodes, RATE_PER_S)
    reported = dict.fromkeys(nodes, RATE_PER_S)
    sampled = rng.sample(sorted(nodes), min(OBSERVERS, count))
    links = {
        i: [n.entry.node_id for n in list_links(nodes[i], nodes, design)]
        for i in sampled
    }
    unaware = set(sampled)
    known_sum = KNOWN_PART * SURGE_FACTOR * RATE_PER_S
    for second in range(SURGE_AT_S, SURGE_AT_S + GIVE_UP_S):
        for node in nodes:
            arrivals = _draw_poisson(RATE_PER_S * SURGE_FACTOR, rng)
            change = arrivals / WINDOW_S - rates[node]
            rates[node] += _RATE_WEIGHT * change
            if second % interval == phases[node]:
                reported[node] = rates[node]
        for observer in tuple(unaware):
            linked = links[observer]
            mean = sum(reported[n] for n in linked) / len(linked)
            if mean >= known_sum:
                unaware.discard(observer)
        if not unaware:
            return second + WINDOW_S - SURGE_AT_S
    return None


def _draw_poisson(mean: float, rng: random.Random) -> int:
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count
