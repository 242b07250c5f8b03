"""Case 3: a planned restart cuts off requests that backends are working on."""

import asyncio
import itertools
import pathlib
import signal
import time

from lab import Lab
from lab import Node
from lab import Script
from lab import make_path
from lab import run_case

GRACE_S = 6.0
# Requests sent later than this after SIGTERM are not excused when their backend
# is still at work at the end, in seconds.
EXCUSED_S = 3.0
WORK_S = 2.4
LIMIT_MS = 5000
REQUESTS_PER_S = 10


class Sent:
    """One request and when it was sent and answered, in seconds."""

    def __init__(self, attempt: str, at: float):
        self.attempt = attempt
        self.at = at
        self.ended_at = 0.0
        self.status = -1


async def play(lab: Lab, has_trouble: bool) -> bool:
    """Play the case; return whether each request got a complete answer."""
    await lab.start([make_path("order", "unsafe", "orders", 5.0)])
    for zone in ("z1", "z2"):
        await lab.add_node(
            f"node-{zone}",
            "orders",
            zone,
            choose_script=lambda _: Script(work_s=WORK_S),
        )
    node = lab.nodes["node-z1"]
    await lab.wait_until_ready()
    requests: list[Sent] = []
    traffic = [
        asyncio.create_task(send_requests(lab, node, requests)),
        asyncio.create_task(send_requests(lab, lab.nodes["node-z2"], [])),
    ]
    await asyncio.sleep(4.0)
    stopped_at = time.monotonic()
    if has_trouble:
        lab.note(f"SIGTERM to the daemon of {node.name}")
        node.signal(signal.SIGTERM)
    while time.monotonic() < stopped_at + GRACE_S:
        await asyncio.sleep(0.02)
        if node.process.poll() is not None:
            lab.note("the daemon has ended by itself")
            break
    if has_trouble and node.process.poll() is None:
        node.process.kill()
        lab.note("SIGKILL after graceS")
    await asyncio.sleep(1.0 if has_trouble else LIMIT_MS / 1000)
    for task in traffic:
        task.cancel()
    await asyncio.sleep(0.2)
    return not count_lost(lab, requests, stopped_at)


def count_lost(lab: Lab, requests: list[Sent], stopped_at: float) -> int:
    """Return how many requests were lost against the rule."""
    runs = {attempt for attempt, _, _ in lab.list_runs()}
    lost = 0
    for sent in requests:
        since_s = sent.at - stopped_at
        if since_s < -3.0 or sent.status < 0:
            continue
        was_run = sent.attempt in runs
        took_s = sent.ended_at - sent.at
        is_excused = since_s <= EXCUSED_S or took_s > LIMIT_MS / 1000
        is_lost = sent.status == 0 and was_run and not is_excused
        lost += is_lost
        if since_s > 2.0:
            lab.note(
                f"{sent.attempt} sent {since_s:.2f} s after SIGTERM: status"
                f" {sent.status} after {took_s:.2f} s, run: {was_run}"
                + (" LOST" if is_lost else "")
            )
    lab.note(f"requests sent: {len(requests)}, lost: {lost}")
    return lost


async def send_requests(lab: Lab, node: Node, requests: list[Sent]) -> None:
    """Send requests at a steady rate until cancelled."""
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            attempt = f"{node.name}-{number}"
            sent = Sent(attempt, time.monotonic())
            requests.append(sent)
            group.create_task(send(lab, node, sent))
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def send(lab: Lab, node: Node, sent: Sent) -> None:
    """Send one request and keep its answer."""
    answer = await lab.call(
        node, "POST", "/order/1", sent.attempt, LIMIT_MS, b"lilies"
    )
    sent.status, sent.ended_at = answer.status, time.monotonic()


run_case(pathlib.Path(__file__).parent, play)
