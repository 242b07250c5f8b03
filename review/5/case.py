"""Case 5: a leaving backend gets requests after its report was acknowledged."""

import asyncio
import itertools
import pathlib

from kumquatwalk.clock import read_now
from lab import Lab
from lab import Node
from lab import Script
from lab import make_path
from lab import run_case

DRAIN_S = 2.0
# How long the backend serves after its report that it leaves, in seconds.
SERVES_S = 7.0
REQUESTS_PER_S = 20
WORK_S = 0.2


async def play(lab: Lab, has_trouble: bool) -> bool:
    """Play the case; return whether the leaving backend was left alone."""
    await lab.start([make_path("browse", "safe", "catalogue", 5.0)])
    desk = await lab.add_node("a", "desk")
    for name in ("b", "c"):
        await lab.add_node(
            name, "catalogue", choose_script=lambda _: Script(work_s=WORK_S)
        )
    leaving = lab.nodes["b"]
    await lab.wait_until_ready()
    traffic = asyncio.create_task(send_requests(lab, desk))
    await asyncio.sleep(3.0)
    if has_trouble:
        await report_as_another_writer(lab, leaving)
    await asyncio.sleep(5.0)
    # From here on the backend says in each report that it leaves.
    leaving.state = "draining"
    leaving.target.is_healthy = False
    answer = await lab.beat(leaving)
    lab.note(f"i-b reports draining: {answer.status} {answer.body!r}")
    if answer.status // 100 != 2:
        raise ValueError("the report was not acknowledged")
    acked_at = read_now()
    await asyncio.sleep(SERVES_S)
    traffic.cancel()
    late = [r for r in leaving.target.runs if r.at > acked_at + DRAIN_S]
    for run in late[:10]:
        lab.note(
            f"{run.attempt_id} reached i-b {run.at - acked_at:.2f} s after"
            " the acknowledgement"
        )
    lab.note(f"requests at i-b later than drainS: {len(late)}")
    total = sum(len(n.target.runs) for n in lab.nodes.values())
    lab.note(f"requests run in all: {total}")
    return not late


async def report_as_another_writer(lab: Lab, node: Node) -> None:
    """Send one report in which fields are missing."""
    document = {
        "service": node.service,
        "address": str(node.target.address),
        "zone": node.zone,
        "slots": 100,
        "state": "ready",
        "coldLeftS": 0,
        "sequence": 1,
    }
    answer = await lab.report(node, "i-other", document)
    lab.note(f"report without version and born: answered {answer.status}")


async def send_requests(lab: Lab, node: Node) -> None:
    """Send requests at a steady rate until cancelled."""
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(
                lab.call(
                    node,
                    "GET",
                    "/browse/1",
                    f"get-{number}",
                    3000,
                    quiet=True,
                )
            )
            await asyncio.sleep(1 / REQUESTS_PER_S)


run_case(pathlib.Path(__file__).parent, play)
