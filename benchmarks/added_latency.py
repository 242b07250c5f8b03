"""Measure the latency that kumquatwalk adds to a call.

One caller with persistent connections calls the target on three paths:
directly (``direct``), through a node on another VM than the target's
(``through``) and through the target's own node (``same``). Each round makes one
call on each path, in random order. All processes run on loopback. The last line
printed is one JSON object.

``added_p50_ms`` and ``added_p99_ms`` are quantiles of the calls through the
other VM minus the same quantiles of the direct calls.
``added_over_direct_p99`` is ``added_p99_ms`` divided by ``direct_p99_ms``. Keys
that begin with ``same_`` are for the target's own node. ``stage_`` keys are
quantiles of the nodes' own histograms since their start, the warm-up included:
``entry`` is the whole call at the node that the caller uses, and ``link`` is
one attempt without its time in the queue and at the target.
"""

import argparse
import json
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from benchmarks.latency_bench import ENTRY_NAME
from benchmarks.latency_bench import LatencyBench
from benchmarks.processes import ProgramProcess
from benchmarks.raw_caller import RawCaller
from kumquatwalk.cli.node_client import parse_node_address
from kumquatwalk.cli.node_client import get_from_node
from kumquatwalk.metrics import parse_text

__all__ = ["main"]

_BODY = b"licence 7\n" + b"x" * 200
_WARM_UP_CALLS = 300
_READY_TIMEOUT_S = 30
_SWITCH_INTERVAL_S = 0.0005
_MS = 1000
_STAGE_METRIC = "kumquatwalk_stage_seconds"
_QUANTILE_NAMES = {"0.5": "p50", "0.99": "p99"}


def wait_until_served(address: str) -> None:
    """Wait until a node answers a call of the entry with status 200.

    Args:
        address: Address of the node's caller listener, ``host:port``.

    Raises:
        TimeoutError: The node did not do so within 30 s.
    """
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline:
        caller = RawCaller(address, f"/{ENTRY_NAME}", _BODY)
        caller.start()
        status = caller.call()
        caller.close()
        if status == 200:
            return
        time.sleep(0.1)
    raise TimeoutError(f"{address} does not serve {ENTRY_NAME}")


def time_calls(
    callers: dict[str, RawCaller], rounds: int, seed: int
) -> dict[str, list[float]]:
    """Measure the response times on all paths, in seconds.

    Args:
        callers: Connected caller of each path, by the path's name.
        rounds: Number of calls on each path.
        seed: Seed of the order of the paths within each round.

    Returns:
        The response times in order of the calls, by the path's name.

    Raises:
        RuntimeError: A call was answered with another status than 200.
    """
    order = random.Random(seed)
    names = list(callers)
    times: dict[str, list[float]] = {name: [] for name in names}
    for _ in range(rounds):
        order.shuffle(names)
        for name in names:
            started = time.perf_counter()
            status = callers[name].call()
            times[name].append(time.perf_counter() - started)
            if status != 200:
                raise RuntimeError(
                    f"call on path {name} returned status {status}, not 200"
                )
    return times


def find_quantile_ms(times: list[float], fraction: float) -> float:
    """Return the nearest-rank quantile of times in seconds, in ms."""
    ranked = sorted(times)
    index = min(int(fraction * len(ranked)), len(ranked) - 1)
    return round(ranked[index] * _MS, 4)


def describe_times(times: dict[str, list[float]]) -> dict[str, float]:
    """Return the quantiles of each path and the added latency, in ms."""
    result: dict[str, float] = {}
    for fraction, label in ((0.5, "p50"), (0.99, "p99")):
        direct = find_quantile_ms(times["direct"], fraction)
        through = find_quantile_ms(times["through"], fraction)
        same = find_quantile_ms(times["same"], fraction)
        result[f"direct_{label}_ms"] = direct
        result[f"through_{label}_ms"] = through
        result[f"added_{label}_ms"] = round(through - direct, 4)
        result[f"same_through_{label}_ms"] = same
        result[f"same_added_{label}_ms"] = round(same - direct, 4)
    ratio = result["added_p99_ms"] / result["direct_p99_ms"]
    result["added_over_direct_p99"] = round(ratio, 3)
    return result


def read_stages(node: ProgramProcess, name: str) -> dict[str, float]:
    """Read the stage quantiles that a node exports, in milliseconds."""
    address = parse_node_address(node.addresses["local"])
    body = get_from_node(address, "/kumquatwalk/metrics")
    samples = parse_text(body.decode())
    stages = [s for s in samples if s.name == _STAGE_METRIC]
    result = {}
    for sample in stages:
        labels = {label.name: label.value for label in sample.labels}
        quantile = _QUANTILE_NAMES.get(labels.get("quantile"))
        if quantile is not None:
            key = f"stage_{name}_{labels['stage']}_{quantile}_ms"
            result[key] = round(sample.value * _MS, 4)
    return result


def measure(bench: LatencyBench, rounds: int, seed: int) -> dict[str, float]:
    """Run warm-up and measurement, and return the result fields."""
    wait_until_served(bench.gate.addresses["http"])
    wait_until_served(bench.entry.addresses["http"])
    addresses = {
        "direct": bench.target.addresses["main"],
        "through": bench.entry.addresses["http"],
        "same": bench.gate.addresses["http"],
    }
    callers = {
        name: RawCaller(address, f"/{ENTRY_NAME}", _BODY)
        for name, address in addresses.items()
    }
    for caller in callers.values():
        caller.start()
    time_calls(callers, _WARM_UP_CALLS, seed)
    nodes = {"entry": bench.entry, "gate": bench.gate}
    before = {n: (p.read_cpu_s(), p.read_switches()) for n, p in nodes.items()}
    started = time.perf_counter()
    result = describe_times(time_calls(callers, rounds, seed))
    result["elapsed_s"] = round(time.perf_counter() - started, 2)
    for name, node in nodes.items():
        cpu_s = node.read_cpu_s() - before[name][0]
        switches = node.read_switches() - before[name][1]
        calls = rounds if name == "entry" else 2 * rounds
        result[f"{name}_cpu_ms_per_call"] = round(cpu_s * _MS / calls, 4)
        result[f"{name}_switches_per_call"] = round(switches / calls, 2)
        result |= read_stages(node, name)
    for caller in callers.values():
        caller.close()
    return result


def main() -> None:
    """Measure the added latency and print it as a JSON object."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--rounds", type=int, default=3000)
    options = parser.parse_args()
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    bench = LatencyBench()
    try:
        bench.start()
        result = measure(bench, options.rounds, options.seed)
    finally:
        bench.close()
    result |= vars(options)
    result["load_average"] = round(os.getloadavg()[0], 1)
    result["processors"] = os.cpu_count()
    print(json.dumps(result))


if __name__ == "__main__":
    main()
