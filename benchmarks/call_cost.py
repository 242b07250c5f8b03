"""Measures the processor time that nodes spend on a call and on a refusal.

Twelve nodes run as processes of their own; callers, targets and the store share
the process of the benchmark. Callers at one node keep requests in flight to a
service whose targets are on other VMs. The table has, for each load, the
processor time of all nodes for one request, in microseconds, the median and the
least of the rounds:

* ``call``: every request is run.
* ``shed``: targets refuse 55% of what they get, so that requests are repeated
  or end refused.
"""

import argparse
import asyncio
import os
import pathlib
import random
import statistics
import tempfile

from benchmarks.http_load import KeptCaller
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.scripted_target import Script

__all__ = ["main"]

NODES = 12
SHED_SHARE = 0.55
_NOT_RUN = Script(status=503, was_not_run=True)
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_US_PER_S = 1_000_000


def read_cpu_s(fleet: PlatformFleet) -> float:
    """Return the processor time of all nodes so far, in seconds.

    Args:
        fleet: Running fleet.
    """
    total = 0
    for node in fleet.nodes.values():
        text = pathlib.Path(f"/proc/{node.pid}/stat").read_text("ascii")
        # User and system time; the name before them may hold spaces.
        user, system = text.rpartition(")")[2].split()[11:13]
        total += int(user) + int(system)
    return total / _TICKS_PER_S


async def measure(
    load: str, requests: int, callers: int, rounds: int, tree: str | None
) -> list[float]:
    """Return the processor time of one request in each round, in microseconds.

    Args:
        load: ``call`` or ``shed``.
        requests: Requests of a round.
        callers: Callers, each with one request in flight.
        rounds: Number of rounds after one to warm up.
        tree: Checkout of which the nodes run; None for the present one.
    """
    rng = random.Random(7)
    with tempfile.TemporaryDirectory() as folder:
        fleet = PlatformFleet(pathlib.Path(folder), tree)
        try:
            await fleet.start(NODES)
            if load == "shed":
                for node in fleet.nodes.values():
                    node.target.choose_script = _shed(node.choose_script, rng)
            address = fleet.nodes["n1"].listeners["outbound"]
            path = b"/pay-pay/0/300" if load == "call" else b"/look/0/300"
            results = []
            for number in range(rounds + 1):
                before_s = read_cpu_s(fleet)
                share = requests // callers
                await asyncio.gather(
                    *(
                        KeptCaller(address, path).run(share)
                        for _ in range(callers)
                    )
                )
                spent_s = read_cpu_s(fleet) - before_s
                if number:
                    results.append(_US_PER_S * spent_s / (share * callers))
            return results
        finally:
            await fleet.close()


def _shed(choose, rng: random.Random):
    def choose_script(request: HttpRequest) -> Script:
        if rng.random() < SHED_SHARE:
            return _NOT_RUN
        return choose(request)

    return choose_script


def main() -> None:
    """Run the benchmark and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--tree", help="checkout of which the nodes run")
    options = parser.parse_args()
    print("load   median us   least us")
    for load in ("call", "shed"):
        results = asyncio.run(
            measure(
                load,
                options.requests,
                options.callers,
                options.rounds,
                options.tree,
            )
        )
        print(
            f"{load:5} {statistics.median(results):10.0f} {min(results):10.0f}"
        )


if __name__ == "__main__":
    main()
