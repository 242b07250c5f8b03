"""The address of a backend that has ended goes to one of another service."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from lab2 import Deployment
from lab2 import Target
from lab2 import has_trouble
from lab2 import make_id
from lab2 import make_route
from lab2 import run_case
from lab2 import send

FOLDER = pathlib.Path(__file__).resolve().parent
# ``addrReuseS`` is 2.
REUSE_S = 2.5
# The pages set no time from the end of a backend to the SIGTERM of its node.
STOP_AFTER_S = 4.0
GRACE_S = 6.0
WATCH_S = 12.0


async def replace_process(node) -> None:
    """Stop the process some seconds after its backend, and start it anew."""
    await asyncio.sleep(STOP_AFTER_S)
    process = node.process
    node.signal(signal.SIGTERM)
    until = time.monotonic() + GRACE_S
    while process.poll() is None:
        if time.monotonic() > until:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(0.02)
    node.record.write(f"ended node={node.name}")
    node.start()


async def main() -> bool:
    """Play the case; return whether the rule held."""
    deployment = Deployment(FOLDER)
    deployment.put_manifest(
        [
            make_route("pay", "unsafe", "payments"),
            make_route("look", "safe", "portal"),
        ]
    )
    places = [
        ("p1", "payments", "z1"),
        ("p2", "payments", "z2"),
        ("q1", "portal", "z1"),
        ("q2", "portal", "z2"),
    ]
    record = deployment.record
    statuses: list[int] = []
    other = stop = None
    try:
        await deployment.start(places)
        await deployment.wait_until_served(["/pay/0/1", "/look/0/1"])
        await asyncio.sleep(3.0)
        node, caller = deployment.nodes["p1"], deployment.nodes["q1"]
        if has_trouble():
            # No request of the service comes meanwhile.
            node.state = "gone"
            await node.target.close()
            record.write(f"ended target={node.target.target_id} payments")
            await asyncio.sleep(REUSE_S)
            other = Target("i-other", node.host, record)
            other.port = node.target.port
            await other.start()
            record.write("started target=i-other portal, same address")
            node.target = other
            node.service = "portal"
            node.born, node.sequence = int(time.time() * 1000), 0
            node.write_settings()
            node.state = "ready"
            stop = asyncio.create_task(replace_process(node))
        until = time.monotonic() + WATCH_S
        while time.monotonic() < until:
            attempt_id = make_id()
            record.write(f"sent attempt={attempt_id} POST /pay/")
            answer = None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await send(
                    caller.host,
                    caller.listen["outbound"],
                    "POST",
                    "/pay/5/2",
                    [f"Attempt-Id: {attempt_id}", "Deadline-Ms: 3000"],
                    b"payment",
                )
            statuses.append(0 if answer is None else answer.status)
            record.write(f"answered attempt={attempt_id} {statuses[-1]}")
            await asyncio.sleep(0.05)
        if stop is not None:
            await stop
    finally:
        await deployment.close()
    wrong = len(other.runs) if other is not None else 0
    summary = (
        f"payments={len(statuses)} answered_200={statuses.count(200)}"
        f" run_by_portal={wrong}"
    )
    record.write(summary)
    print(summary)
    return not wrong


if __name__ == "__main__":
    run_case(main)
