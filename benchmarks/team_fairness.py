"""Measures the processor time that fair shares of teams add to a call.

A place in the queue of a target: a call is queued at a target that is full, and
one is started as another ends. A decision at the ingress: a request is counted
and the share of its team looked up, while the route is limited; the updates of
the shares twice a second are counted in. The memory is that of the state of the
ingress. Teams have a Zipf skew of 1.2 in their calls; 0 teams is the path
without any. The table has the least of several repetitions.
"""

import argparse
import random
import time
import tracemalloc

from kumquatwalk.admission.ingress import split_between_attempts
from kumquatwalk.admission.ingress import UPDATE_INTERVAL_S
from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import TargetLimiter
from kumquatwalk.admission.team_split import TeamSplit

SLOTS = 32
QUEUED = 60
RUN_S = 0.03
ROUTES = 4
# Requests a second at one node: of 250,000 at 1,300 nodes.
NODE_RATE_PER_S = 192.0


def draw_teams(teams: int, calls: int) -> list[str]:
    """Return the team of each call; empty names if there are no teams."""
    if not teams:
        return [""] * calls
    weights = [(n + 1) ** -1.2 for n in range(teams)]
    numbers = random.Random(1).choices(range(teams), weights, k=calls)
    return [f"team-{n}" for n in numbers]


def measure_queue(teams: int, calls: int) -> float:
    """Return the processor time of a place in the queue, in microseconds."""
    names = draw_teams(teams, calls + SLOTS + QUEUED)
    rng = random.Random(2)
    requests = [
        AdmissionRequest(key, "r", 2, rng.random() < 0.1, 1e9, 1e9, names[key])
        for key in range(calls + SLOTS + QUEUED)
    ]
    limiter = TargetLimiter()
    limiter.open(SLOTS)
    running = []
    for request in requests[: SLOTS + QUEUED]:
        is_admitted, _ = limiter.submit(request, 0.0)
        if is_admitted:
            running.append(request.key)
    began_at = time.process_time()
    for number, request in enumerate(requests[SLOTS + QUEUED :]):
        limiter.submit(request, 0.0)
        started, _ = limiter.finish(running[number], RUN_S, 0.0)
        running += started
    return (time.process_time() - began_at) / calls * 1e6


def measure_ingress(teams: int, calls: int) -> float:
    """Return the processor time of a decision, in microseconds."""
    names = draw_teams(teams, calls)
    split, rng = TeamSplit(), random.Random(3)
    routes = [f"route-{n}" for n in range(ROUTES)]
    probabilities = {route: 0.5 for route in routes}
    updated_at = 0.0
    began_at = time.process_time()
    for number, team in enumerate(names):
        now = number / NODE_RATE_PER_S
        route = routes[number % ROUTES]
        if team:
            split.record_arrival(route, team, 0, False)
            if now - updated_at >= UPDATE_INTERVAL_S:
                updated_at = now
                split.update(probabilities, now)
            found = split.get_probability(route, team, 0, rng.random())
        else:
            found = None
        split_between_attempts(*(found or (0.5, 0.0)), False)
    return (time.process_time() - began_at) / calls * 1e6


def measure_memory(teams: int) -> float:
    """Return the memory of the shares of teams at the ingress, in KB."""
    names = [f"team-{n}" for n in range(teams)]
    routes = [f"route-{n}" for n in range(ROUTES)]
    tracemalloc.start()
    split = TeamSplit()
    split.update({}, 0.0)
    for route in routes:
        for name in names:
            split.record_arrival(route, name, 0, False)
    split.update({route: 0.5 for route in routes}, 0.5)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1000.0


def main() -> None:
    """Print a table of processor times and memory by number of teams."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=20_000)
    parser.add_argument("--repetitions", type=int, default=5)
    arguments = parser.parse_args()
    print("teams  queue us  ingress us  ingress KB")
    for teams in (0, 1, 73, 1000):
        queue, ingress = (
            min(
                measure(teams, arguments.calls)
                for _ in range(arguments.repetitions)
            )
            for measure in (measure_queue, measure_ingress)
        )
        size = measure_memory(teams)
        print(f"{teams:>5}  {queue:>8.2f}  {ingress:>10.2f}  {size:>10.1f}")


if __name__ == "__main__":
    main()
