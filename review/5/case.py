"""Case 5: a backend that has left gets requests after its node restarted."""

import asyncio
import pathlib

from kumquatwalk.clock import read_now
from lab import Answer
from lab import Lab
from lab import Node
from lab import Script
from lab import encode
from lab import exchange
from lab import make_path
from lab import run_case

DRAIN_S = 2.0
WORK_S = 0.2
# Time after which an ended process is started again, in seconds.
RESTART_DELAY_S = 0.2
# How late the backend's last report of being ready arrives, in seconds.
LATE_S = 1.5
# When requests come after the acknowledgement, in seconds: the node has then
# run for longer than stableS, which is 3.
REQUESTS_AT_S = 4.5
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
    node = lab.nodes["b"]
    await lab.wait_until_ready()
    await send_at_once(lab, desk, "early")
    node.beats.cancel()
    node.target.is_healthy = False
    node.target.choose_script = lambda _: Script(
        work_s=WORK_S, extra_headers=LEAVING_HEADERS
    )
    answer = await leave(node)
    lab.note(f"DELETE of i-b: {answer.status}")
    if answer.status // 100 != 2:
        raise ValueError("the departure was not acknowledged")
    acked_at = read_now()
    if has_trouble:
        node.process.kill()
        node.process.wait()
        lab.note(f"SIGKILL to the daemon of {node.name}")
        await asyncio.sleep(RESTART_DELAY_S)
        lab.start_daemon(node)
        lab.note(f"the daemon of {node.name} starts again")
    await asyncio.sleep(acked_at + LATE_S - read_now())
    # Sent before the DELETE, with a lower sequence number than any later one.
    answer = await lab.beat(node)
    lab.note(f"late report of i-b, ready: {answer.status}")
    await asyncio.sleep(acked_at + REQUESTS_AT_S - read_now())
    await send_at_once(lab, desk, "late")
    late = [r for r in node.target.runs if r.at > acked_at + DRAIN_S]
    for run in late:
        lab.note(
            f"{run.attempt_id} reached i-b {run.at - acked_at:.2f} s after"
            " the acknowledgement"
        )
    lab.note(f"requests at i-b later than drainS: {len(late)}")
    return not late


async def leave(node: Node) -> Answer:
    """Send the backend's DELETE to the control address of its machine."""
    path = f"/instances/{node.target.target_id}"
    return await exchange(
        node.ports["control"], encode("DELETE", path, {}), 1.0
    )


async def send_at_once(lab: Lab, node: Node, name: str) -> None:
    """Send some requests at once and wait for their answers."""
    async with asyncio.TaskGroup() as group:
        for number in range(REQUESTS_AT_ONCE):
            group.create_task(browse(lab, node, f"{name}-{number}"))


async def browse(lab: Lab, node: Node, attempt: str) -> None:
    """Send one request."""
    await lab.call(node, "GET", "/browse/1", attempt, 3000)


run_case(pathlib.Path(__file__).parent, play)
