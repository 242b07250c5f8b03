"""Measure what control costs each node, at several sizes of the fleet.

Fleets of node processes without targets run on loopback in six zones. After
their start and one lapse of the rendezvous leases, whose cost is left out, a
window begins. During the window the catalogue is changed and nodes are
restarted, and processor time and gossip bytes are read at its two ends, for the
nodes that ran all through. After the window come changes, a kill and a stop
whose spread is timed by polling. The last line printed is one JSON object.

``cpu_percent``, ``bytes_per_s`` and ``private_mb`` are means over the nodes;
the bytes are those that the membership service sent and received, at the
stated rates of changes and restarts.
``change_in_force_s`` is the worst of several changes, until the last node has
it. ``kill_known_s`` is the time from a kill until the last node holds the
member to be dead, ``leave_known_s`` from the stop signal until the last node
sees it draining or left. ``per_node_slope`` is the least-squares slope of each
figure with the number of nodes.
"""

import argparse
import json
import os
import pathlib
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from benchmarks.control_fleet import ControlFleet
from benchmarks.process_meter import read_private_mb
from benchmarks.process_meter import read_process

__all__ = ["main"]

SETTLE_S = 40.0
CHANGE_INTERVAL_S = 5.0
RESTARTS = 2
TIMED_CHANGES = 5
PERCENT = 100.0
DEFAULT_SIZES = "10,30,60"
DEFAULT_WINDOW_S = 20.0


def measure_cost(fleet: ControlFleet, window_s: float) -> dict[str, float]:
    """Return the cost for each node during a window of changes and restarts.

    Args:
        fleet: Fleet that is running.
        window_s: Length of the window, in seconds.
    """
    restarted = {fleet.choose() for _ in range(RESTARTS)}
    steady = {n: p for n, p in fleet.nodes.items() if n not in restarted}
    before = {n: read_process(process) for n, process in steady.items()}
    calls = fleet.count_platform_calls()
    started = time.monotonic()
    for number in restarted:
        fleet.restart(number)
    changes = 0
    while time.monotonic() < started + window_s:
        fleet.change_catalogue()
        changes += 1
        time.sleep(CHANGE_INTERVAL_S)
    elapsed_s = time.monotonic() - started
    calls = fleet.count_platform_calls() - calls
    after = {n: read_process(process) for n, process in steady.items()}
    cpu = [after[n].cpu_s - before[n].cpu_s for n in steady]
    sizes = [after[n].gossip_bytes - before[n].gossip_bytes for n in steady]
    return {
        "cpu_percent": PERCENT * statistics.fmean(cpu) / elapsed_s,
        "cpu_percent_max": PERCENT * max(cpu) / elapsed_s,
        "bytes_per_s": statistics.fmean(sizes) / elapsed_s,
        "bytes_per_s_max": max(sizes) / elapsed_s,
        "private_mb": statistics.fmean(
            read_private_mb(process) for process in steady.values()
        ),
        "platform_calls_per_s": calls / elapsed_s,
        "changes_per_s": changes / elapsed_s,
        "restarts_per_s": len(restarted) / elapsed_s,
    }


def measure_fleet(size: int, seed: int, window_s: float) -> dict[str, float]:
    """Return all figures for one size of the fleet.

    Args:
        size: Number of nodes.
        seed: Seed of all choices.
        window_s: Length of the window, in seconds.
    """
    fleet = ControlFleet(size, seed)
    try:
        fleet.start()
        time.sleep(SETTLE_S)
        figures = {"nodes": size, **measure_cost(fleet, window_s)}
        changes = [fleet.measure_change() for _ in range(TIMED_CHANGES)]
        figures["change_in_force_s"] = max(changes)
        figures["kill_known_s"] = fleet.measure_kill()
        figures["leave_known_s"] = fleet.measure_leave()
    finally:
        fleet.close()
    return {key: round(value, 4) for key, value in figures.items()}


def fit_slopes(fleets: list[dict[str, float]]) -> dict[str, float]:
    """Return the slope of each figure with the number of nodes.

    Args:
        fleets: Figures of fleets of different sizes.
    """
    sizes = [figures["nodes"] for figures in fleets]
    if len(set(sizes)) < 2:
        return {}
    return {
        key: round(
            statistics.linear_regression(sizes, [f[key] for f in fleets]).slope,
            6,
        )
        for key in fleets[0]
        if key != "nodes"
    }


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--sizes", default=DEFAULT_SIZES)
    parser.add_argument("--window-s", type=float, default=DEFAULT_WINDOW_S)
    options = parser.parse_args()
    fleets = []
    for size in map(int, options.sizes.split(",")):
        figures = measure_fleet(size, options.seed, options.window_s)
        print(json.dumps(figures), flush=True)
        fleets.append(figures)
    result = {
        **fleets[-1],
        "seed": options.seed,
        "machine_load": round(os.getloadavg()[0], 2),
        "fleets": fleets,
        "per_node_slope": fit_slopes(fleets),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
