"""Show three availability zones under overload control, in half a minute.

Starts a stand-in for the platform, six nodes and six targets as processes on
loopback. Sends a request through a chain of three services, then overloads the
chain, so that browsing is shed while renewals complete. Lowers a limit, waits
until all nodes apply it, and stops all processes.
"""

import argparse
import collections
import random
import subprocess
import sys
import threading
import time

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
    seed = parser.parse_args().seed
    fleet = LocalFleet()
    try:
        start_fleet(fleet, seed)
        steps = [show_chain(fleet), show_surge(fleet, seed), show_edit(fleet)]
    finally:
        fleet.close()
    print("stopped everything that was started")
    return 0 if all(steps) else 1


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


def show_chain(fleet: LocalFleet) -> bool:
    """Send one renewal twice with the same key, to nodes of two zones.

    Returns:
        Whether it completed and both responses were the same.
    """
    first = fleet.make_caller("z3-vm1").call("renew", b"bar 17", key="k-17")
    again = fleet.make_caller("z1-vm2").call("renew", b"bar 17", key="k-17")
    print(f"renewal: {first.status} {first.outcome}")
    is_same = first.body == again.body
    print(f"the same key at another node, same answer: {is_same}")
    return first.status == 200 and is_same


def show_surge(fleet: LocalFleet, seed: int) -> bool:
    """Overload all nodes with browsing while a few callers renew.

    Returns:
        Whether some browsing was shed and each renewal completed.
    """
    browsed: collections.Counter = collections.Counter()
    renewed: collections.Counter = collections.Counter()
    stop_at = time.monotonic() + SURGE_S
    threads = []
    for index, node_id in enumerate(fleet.nodes):
        for number in range(BROWSING_CALLERS_PER_NODE):
            rng = random.Random(seed * 1000 + index * 100 + number)
            arguments = (fleet, node_id, "browse", browsed, stop_at, rng)
            threads.append(
                threading.Thread(target=generate_load, args=arguments)
            )
    for number in range(RENEWAL_CALLERS):
        rng = random.Random(seed + number)
        arguments = (fleet, "z2-vm1", "renew", renewed, stop_at, rng)
        threads.append(threading.Thread(target=generate_load, args=arguments))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"browsing under pressure: {dict(browsed)}")
    print(f"renewals meanwhile:      {dict(renewed)}")
    return browsed["not_run"] > 0 and set(renewed) == {"done"}


def generate_load(
    fleet: LocalFleet,
    node_id: str,
    entry: str,
    outcomes: collections.Counter,
    stop_at: float,
    rng: random.Random,
) -> None:
    """Call an entry in a closed loop and count the outcomes.

    Args:
        fleet: Running fleet.
        node_id: Node to call.
        entry: Entry to call; renewals carry a new key each.
        outcomes: Number of calls by outcome, which is updated.
        stop_at: Monotonic time at which to stop, in seconds.
        rng: Random source of bodies, keys and pauses.
    """
    caller = fleet.make_caller(node_id, connections=1)
    while time.monotonic() < stop_at:
        number = rng.getrandbits(64)
        key = f"{number:x}" if entry == "renew" else ""
        response = caller.call(entry, b"%d" % number, key=key)
        outcomes[response.outcome] += 1
        if response.outcome == "not_run":
            time.sleep(rng.uniform(0.01, 0.05))
    caller.close()


def show_edit(fleet: LocalFleet) -> bool:
    """Lower a limit with the command line and wait until all nodes apply it.

    Returns:
        True, always: a wait that times out raises an exception.
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
    return True


def _is_limited(response: CallerAnswer) -> bool:
    return response.code == "rate_limit"


if __name__ == "__main__":
    sys.exit(main())
