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
REQUESTS_PER_S = 20
WORK_S = 0.2
# Time without requests after the acknowledgement, in seconds, and the number of
# requests that then come at once.
QUIET_S = 3.0
REQUESTS_AT_ONCE = 20
# What a leaving backend adds to its answers.
LEAVING_HEADERS = (b"Connection: close", b"Server-Leaving: 1")


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
    numbers = itertools.count()
    await send_requests(lab, desk, numbers, 3.0)
    if has_trouble:
        await report_as_another_writer(lab, leaving)
    await send_requests(lab, desk, numbers, 5.0)
    # From here on the backend says in reports and answers that it leaves.
    leaving.state = "draining"
    leaving.target.is_healthy = False
    leaving.target.choose_script = lambda _: Script(
        work_s=WORK_S, extra_headers=LEAVING_HEADERS
    )
    answer = await lab.beat(leaving)
    lab.note(f"i-b reports draining: {answer.status} {answer.body!r}")
    if answer.status // 100 != 2:
        raise ValueError("the report was not acknowledged")
    acked_at = read_now()
    await asyncio.sleep(QUIET_S)
    lab.note(f"{REQUESTS_AT_ONCE} requests at once")
    async with asyncio.TaskGroup() as group:
        for _ in range(REQUESTS_AT_ONCE):
            group.create_task(browse(lab, desk, next(numbers)))
    await asyncio.sleep(1.0)
    late = [r for r in leaving.target.runs if r.at > acked_at + DRAIN_S]
    for run in late:
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


async def send_requests(
    lab: Lab, node: Node, numbers: itertools.count, length_s: float
) -> None:
    """Send requests at a steady rate and wait for their answers."""
    async with asyncio.TaskGroup() as group:
        for _ in range(int(length_s * REQUESTS_PER_S)):
            group.create_task(browse(lab, node, next(numbers)))
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def browse(lab: Lab, node: Node, number: int) -> None:
    """Send one request; the record has its answer."""
    attempt = f"get-{number}"
    answer = await lab.call(node, "GET", "/browse/1", attempt, 3000, quiet=True)
    lab.note(f"answered attempt={attempt} {answer.status}")


run_case(pathlib.Path(__file__).parent, play)
