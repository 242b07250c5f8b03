"""Show three availability zones under overload control, in half a minute.

Starts a stand-in for the platform, six nodes and six targets as processes on
loopback. Sends a request through a chain of three services, then overloads the
chain, so that browsing is shed while renewals complete. Lowers a limit, waits
until all nodes apply it, and stops all processes.
"""

import argparse
import collections
import dataclasses
import importlib.util
import itertools
import json
import subprocess
import sys
import time

from benchmarks.closed_loop import BIN_S
from benchmarks.closed_loop import CallerGroup
from benchmarks.closed_loop import GroupResult
from kumquatwalk import Entry
from kumquatwalk import Importance
from kumquatwalk import Limits
from kumquatwalk.standin.caller_answer import CallerAnswer
from kumquatwalk.standin.fleet import LocalFleet
from kumquatwalk.standin.fleet import make_host
from kumquatwalk.standin.fleet import wait_until

ZONES = 3
SURGE_S = 4.0
BROWSING_CALLERS_PER_NODE = 30
RENEWAL_CALLERS = 3
RENEWAL_NODE = "z2-vm1"
_LIMITS = Limits(in_flight=500, rate_per_s=10_000, retries=3, time_ms=2000)

ENTRIES = [
    Entry(
        "browse",
        "web",
        "portal",
        Importance.SHEDDABLE,
        True,
        _LIMITS,
        ("list",),
    ),
    Entry(
        "renew", "web", "portal", Importance.CRITICAL, False, _LIMITS, ("pay",)
    ),
    Entry(
        "pay",
        "money",
        "payments",
        Importance.CRITICAL,
        False,
        _LIMITS,
        ("verify",),
    ),
    Entry("list", "registry", "registry", Importance.NORMAL, True, _LIMITS),
    Entry("verify", "registry", "registry", Importance.HIGH, True, _LIMITS),
]
TARGETS = [
    ("portal", ("--calls", "browse=list", "--calls", "renew=pay")),
    ("payments", ("--calls", "pay=verify")),
    ("registry", ()),
]


def main() -> int:
    """Run the demo.

    Returns:
        Exit code: 0 if each step had the expected result, else 1.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--plot", default="", metavar="FILE", help="image of the surge"
    )
    arguments = parser.parse_args()
    if arguments.plot and importlib.util.find_spec("matplotlib") is None:
        parser.error(
            "--plot needs matplotlib: pip install 'kumquatwalk[plots]'"
        )
    fleet = LocalFleet()
    try:
        start_fleet(fleet, arguments.seed)
        faults = [
            show_chain(fleet),
            show_surge(fleet, arguments.seed, arguments.plot),
            show_edit(fleet),
        ]
    finally:
        fleet.close()
    print("stopped everything that was started")
    for fault in filter(None, faults):
        print(f"demo failed: {fault}", file=sys.stderr)
    return 1 if any(faults) else 0


def start_fleet(fleet: LocalFleet, seed: int) -> None:
    """Start the platform and, in each zone, two nodes with targets.

    Args:
        fleet: Fleet without processes.
        seed: Seed of the targets' service times.
    """
    fleet.start_platform()
    fleet.put_catalogue(ENTRIES)
    for zone in range(1, ZONES + 1):
        service, calls = TARGETS[zone - 1]
        for number in (1, 2):
            node_id = f"z{zone}-vm{number}"
            fleet.start_node(node_id, f"z{zone}", make_host(zone, number))
            options = ("--slots", "8", "--service-ms", "20")
            options += ("--seed", str(seed + zone * 10 + number))
            fleet.start_target(node_id, service, options + calls)
    fleet.wait_ready()
    print(f"started {len(fleet.nodes)} nodes in {ZONES} zones")


def show_chain(fleet: LocalFleet) -> str:
    """Send one renewal twice with the same key, to nodes of two zones.

    Returns:
        What was not as expected, in one line; empty if nothing.
    """
    first = fleet.make_caller("z3-vm1").call("renew", b"bar 17", key="k-17")
    again = fleet.make_caller("z1-vm2").call("renew", b"bar 17", key="k-17")
    print(f"renewal: {first.status} {first.outcome}")
    is_same = first.body == again.body
    print(f"the same key at another node, same answer: {is_same}")
    if first.status != 200:
        return f"the renewal was answered {first.status} {first.outcome}"
    return "" if is_same else "the repeated renewal got another answer"


def show_surge(fleet: LocalFleet, seed: int, plot: str) -> str:
    """Overload all nodes with browsing while a few callers renew.

    The callers run in a process of their own, and the clock starts once all of
    them have begun.

    Args:
        fleet: Running fleet.
        seed: Seed of the callers.
        plot: Image file for the calls done over time; empty for none.

    Returns:
        What was not as expected, in one line; empty if nothing.
    """
    groups = [
        CallerGroup(node.addresses["http"], "browse", BROWSING_CALLERS_PER_NODE)
        for node in fleet.nodes.values()
    ]
    address = fleet.nodes[RENEWAL_NODE].addresses["http"]
    groups.append(CallerGroup(address, "renew", RENEWAL_CALLERS, True))
    document = {
        "groups": [dataclasses.asdict(group) for group in groups],
        "seconds": SURGE_S,
        "seed": seed,
    }
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.closed_loop"],
        input=json.dumps(document).encode(),
        stdout=subprocess.PIPE,
        check=True,
    )
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    results = [GroupResult(**row) for row in rows]
    browsed = sum(
        (collections.Counter(r.outcomes) for r in results[:-1]),
        collections.Counter(),
    )
    renewed = results[-1]
    print(f"browsing under pressure: {dict(browsed)}")
    print(f"renewals meanwhile:      {describe_renewals(renewed)}")
    if plot:
        plot_surge(results, plot)
    return find_surge_fault(groups, results)


def describe_renewals(renewed: GroupResult) -> str:
    """Return the share of renewals that completed, and their times."""
    calls = sum(renewed.outcomes.values())
    done = renewed.outcomes.get("done", 0)
    if not calls:
        return "none was sent"
    times = ", ".join(
        f"{float(q):.1%} within {ms:.0f} ms"
        for q, ms in renewed.quantiles_ms.items()
    )
    return f"{done} of {calls} completed ({done / calls:.0%}); {times}"


def find_surge_fault(
    groups: list[CallerGroup], results: list[GroupResult]
) -> str:
    """Return what was not as expected in the surge; empty if nothing."""
    for group, result in zip(groups, results, strict=True):
        if result.callers_begun < group.callers:
            return f"not all callers of {group.entry} began before the clock"
    if not any(result.outcomes.get("not_run") for result in results[:-1]):
        return "no browsing call was refused under pressure"
    renewed = results[-1].outcomes
    if not renewed:
        return "callers of renew began, but no renewal was answered or failed"
    if set(renewed) != {"done"}:
        return f"not every renewal completed: {renewed}"
    return ""


def plot_surge(results: list[GroupResult], path: str) -> None:
    """Plot the calls done over time to an image file."""
    # matplotlib is an optional dependency, so it is imported only here.
    # pylint: disable=import-outside-toplevel,import-error
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(8, 3))
    bins = (result.done_per_bin for result in results)
    rows = list(itertools.zip_longest(*bins, fillvalue=0))
    times = [BIN_S * index for index in range(len(rows))]
    axis.plot(times, [sum(row[:-1]) for row in rows], label="browsing")
    axis.plot(times, [row[-1] for row in rows], label="renewals")
    axis.set_xlabel("second of the surge")
    axis.set_ylabel(f"done in {BIN_S:g} s")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def show_edit(fleet: LocalFleet) -> str:
    """Lower a limit with the command line and wait until all nodes apply it.

    Returns:
        An empty string: a wait that times out raises an exception.
    """
    command = [sys.executable, "-m", "kumquatwalk", "catalogue", "set"]
    options = ["--platform", fleet.platform_address, "--author", "web"]
    options += ["--reason", "slow browsing", "--rate", "1", "browse"]
    started = time.monotonic()
    subprocess.run([*command, *options], check=True)
    callers = [fleet.make_caller(node_id) for node_id in fleet.nodes]
    wait_until(
        lambda: all(_is_limited(c.call("browse", b"x")) for c in callers),
        "the edit to be in force",
    )
    elapsed_s = time.monotonic() - started
    print(f"edit in force at all nodes after {elapsed_s:.2f} s")
    return ""


def _is_limited(response: CallerAnswer) -> bool:
    return response.code == "rate_limit"


if __name__ == "__main__":
    sys.exit(main())
