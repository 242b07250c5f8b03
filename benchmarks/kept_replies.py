"""Measures the memory that answers to payments take, as they come and after.

A node, its target and a peer share one process. Payments with large answers are
sent one after the other, on the target's own VM or through the peer. The table
has the bytes offered, the peak of the bytes that the target's node counts, and
the peak and the rest of the memory of the whole process, targets and callers
included. The time of a run is not measured.
"""

import argparse
import asyncio
import tracemalloc

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

_MB = 1_000_000
_SAMPLE_S = 0.001


async def measure(entry: str, payments: int, answer_bytes: int) -> list[float]:
    """Send payments and return the measured values, in MB.

    Args:
        entry: Node that the caller sends to; the target is beside ``pay-1``.
        payments: Number of payments.
        answer_bytes: Size of each answer, in bytes.

    Returns:
        Offered bytes, peak of counted bytes, peak of memory, memory at the end.
    """
    fleet = DaemonFleet()
    await fleet.start(make_config(("web", "pay"), timeoutS=20.0))
    try:
        await fleet.add_node("web-1", "web")
        node = await fleet.add_node("pay-1", "pay")
        node.target.choose_script = lambda _: Script(body=b"r" * answer_bytes)
        await fleet.wait_until_ready()
        await _pay(fleet, entry, "warm")
        budget = node.daemon.core.body_budget
        counted = [0]
        sampler = asyncio.create_task(_sample(budget, counted))
        tracemalloc.start()
        for number in range(payments):
            await _pay(fleet, entry, f"id-{number}")
        await asyncio.sleep(0.1)
        rest, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        sampler.cancel()
    finally:
        await fleet.close()
    offered = payments * answer_bytes
    return [value / _MB for value in (offered, max(counted), peak, rest)]


async def _pay(fleet: DaemonFleet, entry: str, attempt_id: str) -> None:
    answer = await fleet.call(entry, "/pay-pay/", attempt_id, 20_000, b"POST")
    if answer.status != 200:
        raise RuntimeError(f"{attempt_id} was answered {answer.status}")


async def _sample(budget, counted: list[int]) -> None:
    while True:
        counted[0] = max(counted[0], budget.used)
        await asyncio.sleep(_SAMPLE_S)


def main() -> None:
    """Print a table of the memory that answers to payments take."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--payments", type=int, default=100)
    parser.add_argument("--answer-bytes", type=int, default=_MB)
    arguments = parser.parse_args()
    print("entry      offered MB  counted MB  peak MB  rest MB  peak/offered")
    for entry, name in (("pay-1", "own VM"), ("web-1", "peer")):
        offered, counted, peak, rest = asyncio.run(
            measure(entry, arguments.payments, arguments.answer_bytes)
        )
        print(
            f"{name:<10} {offered:>10.1f}  {counted:>10.1f}  {peak:>7.1f}"
            f"  {rest:>7.1f}  {peak / offered:>12.2f}"
        )


if __name__ == "__main__":
    main()
