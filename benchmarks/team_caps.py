"""Measure caps of teams in virtual time, and the cost of a decision.

Run ``python -m benchmarks.team_caps loss`` for the share of requests refused
below the cap and the overshoot, ``bytes`` for the messages between nodes, and
``cost`` for the processor time and memory of a decision with 1,000 teams.
"""

import random
import sys
import time
import tracemalloc

from kumquatwalk.caps.allocator import Allocator
from kumquatwalk.caps.bucket import TeamBucket
from kumquatwalk.caps.client import CapClient
from kumquatwalk.caps.entry import TokenEntry
from kumquatwalk.caps.team_index import TeamIndex
from kumquatwalk.caps.tests.driver import CapDriver
from kumquatwalk.caps.tests.driver import Demand
from kumquatwalk.caps.tests.driver import make_zipf_teams
from kumquatwalk.caps.tests.driver import measure_overshoot

SEED = 1
ZONES = 3
# Time of the start, in which buckets are still empty, in seconds.
START_S = 3.0
END_S = 23.0
DECISIONS = 200_000


def run_fleet(
    nodes: int, demands: list[Demand], weights: list[float], is_paced: bool
) -> CapDriver:
    """Return a driver that has run the demand from empty buckets on.

    Args:
        nodes: Number of nodes.
        demands: Teams with their demand.
        weights: Share of the callers at each node.
        is_paced: Whether the nodes pace their messages.
    """
    driver = CapDriver(nodes, ZONES, [d.team for d in demands])
    for client in driver.clients:
        client.is_paced = is_paced
    rng = random.Random(SEED)
    for demand in demands:
        driver.add_poisson(demand, weights, END_S, rng)
    driver.run(START_S)
    return driver


def count_central_refusals(driver: CapDriver, demands: list[Demand]) -> int:
    """Return the refusals after the start by one bucket for the fleet.

    Args:
        driver: Driver that has run.
        demands: Teams with their demand.
    """
    buckets = {
        d.team.name: TeamBucket(d.team.rate_max_per_s, d.team.burst, 0.0)
        for d in demands
    }
    refused = 0
    for now, team in driver.arrivals:
        taken = buckets[team].take(1, now)
        refused += not taken and now > START_S
    return refused


def measure_loss() -> None:
    """Print refusals below the cap and overshoot at 61 nodes and 73 teams."""
    nodes = 61
    even = [1.0] * nodes
    # A third of the callers of the other zones have moved to the first.
    uneven = [5 / 3 if n % ZONES == 0 else 2 / 3 for n in range(nodes)]
    for burst_s in (0.5, 1.0, 2.0):
        demands = make_zipf_teams(73, 1200.0, 1.6, burst_s)
        for name, weights in (("even", even), ("moved", uneven)):
            driver = run_fleet(nodes, demands, weights, False)
            refused = driver.count_refused()
            served = sum(map(len, driver.granted.values()))
            driver.run(END_S + 1.0)
            refused_later = driver.count_refused() - refused
            served_later = sum(map(len, driver.granted.values())) - served
            overshoot = max(
                measure_overshoot(driver.granted[d.team.name], d.team)
                for d in demands
            )
            central = count_central_refusals(driver, demands)
            waits = sorted(driver.waits)
            print(
                f"burst {burst_s} s, callers {name}:"
                f" refused first {START_S:.0f} s"
                f" {refused / (refused + served):.4f},"
                f" then {refused_later / (refused_later + served_later):.4f};"
                f" with one bucket for the fleet"
                f" {central / (refused_later + served_later):.4f};"
                f" overshoot {overshoot:.1f};"
                f" wait p50 {1000 * waits[len(waits) // 2]:.1f} ms"
                f" p99 {1000 * waits[int(0.99 * len(waits))]:.1f} ms"
            )


def measure_bytes() -> None:
    """Print bytes a second and node at 300 nodes and 1,000 teams."""
    nodes = 300
    for per_node in (10.0, 20.0, 48.0):
        demands = make_zipf_teams(1000, nodes * per_node, 1.6, 2.0)
        for is_paced in (False, True):
            driver = run_fleet(nodes, demands, [1.0] * nodes, is_paced)
            before, first = driver.bytes_sent, len(driver.waits)
            driver.run(START_S + 5.0)
            rate = (driver.bytes_sent - before) / 5.0 / nodes
            waits = sorted(driver.waits[first:])
            print(
                f"{per_node:.0f} requests/s a node, paced {is_paced}:"
                f" {rate:.0f} B/s a node;"
                f" wait p50 {1000 * waits[len(waits) // 2]:.1f} ms"
                f" p99 {1000 * waits[int(0.99 * len(waits))]:.1f} ms"
            )


def measure_cost() -> None:
    """Print processor time and memory of a decision with 1,000 teams."""
    teams = [d.team for d in make_zipf_teams(1000, 1e5, 1.6, 1.0)]
    tracemalloc.start()
    index = TeamIndex(teams)
    allocator = Allocator(ZONES)
    allocator.set_share(1.0, 0.0)
    allocator.set_teams(index, 0.0)
    allocator.begin(1, 0.0)
    client = CapClient(("a", "b", "c"))
    numbers = list(index.by_number)
    for number in numbers:
        client.wait(number, 1e9, 1.0)
    for request in client.poll(1.0):
        entries = allocator.lend(request.entries, 0, 1.0)
        client.handle_grant(request.request_id, 1, entries, 1.0)
    client.poll(1.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"memory of borrower and allocator: {size / 1e6:.2f} MB")
    client.results.clear()
    rng = random.Random(SEED)
    drawn = [rng.choice(numbers) for _ in range(DECISIONS)]
    began = time.process_time()
    for step, number in enumerate(drawn):
        client.pool.add_grant("a", 1, TokenEntry(number, 1), 2.0 + step * 1e-4)
        client.try_take(number, 2.0 + step * 1e-4)
    elapsed = time.process_time() - began
    print(f"token at hand: {1e6 * elapsed / DECISIONS:.2f} us")
    began = time.process_time()
    for step, number in enumerate(drawn[: DECISIONS // 4]):
        now = 100.0 + step * 1e-2
        if client.try_take(number, now) is None:
            client.wait(number, now + 1.0, now)
        for request in client.poll(now):
            entries = allocator.lend(request.entries, request.epoch, now)
            client.handle_grant(request.request_id, 1, entries, now)
        client.poll(now)
        client.results.clear()
        client.find_next_due()
    elapsed = time.process_time() - began
    print(
        "token on demand, both ends without the link:"
        f" {1e6 * elapsed / (DECISIONS // 4):.2f} us"
    )


if __name__ == "__main__":
    {"loss": measure_loss, "bytes": measure_bytes, "cost": measure_cost}[
        sys.argv[1]
    ]()
