"""Late second answers of a target that sheds, on its kept connections.

One of the two targets of ``pay`` answers some requests as not run, in the words
of ``fleetbench wire``, and repeats some of its answers late, at the point where
the next response on the connection is expected.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from lab2 import Deployment
from lab2 import Message
from lab2 import Target
from lab2 import has_trouble
from lab2 import make_id
from lab2 import make_route
from lab2 import read_message
from lab2 import run_case
from lab2 import write_request

FOLDER = pathlib.Path(__file__).resolve().parent
# ``srv_grey``, how = "shed": x = 0.45 of the requests, for 6.5 s.
SHED_SHARE = 0.45
# ``garble``, how = "extra late": x = 0.03 of the answers, for 5 s.
EXTRA_SHARE = 0.03
TROUBLE_S = 5.0
CLIENTS = 24
PROMISES = (408, 421, 429, 503)


class SheddingTarget:
    """Behaviour of the target that sheds and repeats answers.

    Args:
        rng: Draws which requests and answers.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._extras: dict[int, bytes] = {}
        self.until = 0.0
        self.extras_sent = 0

    async def serve(self, target: Target, request: Message, _, writer) -> bool:
        """Serve one request; see ``Target.serve``."""
        is_troubled = time.monotonic() < self.until
        extra = self._extras.pop(id(writer), None)
        attempt_id = request.headers["attempt-id"]
        if extra is not None:
            self.extras_sent += 1
            target.record.write(f"extra_answer before attempt={attempt_id}")
            writer.write(extra)
        if is_troubled and self._rng.random() < SHED_SHARE:
            target.record.write(f"shed attempt={attempt_id}")
            answer = (
                b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        else:
            target.begin(request)
            await asyncio.sleep(0.02)
            answer = (
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\n"
                f"Server-Seal: s.{attempt_id}\r\nContent-Length: 2\r\n\r\nok"
            ).encode()
        writer.write(answer)
        is_garbling = is_troubled and target.target_id == "i-p1"
        if is_garbling and self._rng.random() < EXTRA_SHARE:
            self._extras[id(writer)] = answer
        return True


async def pay(deployment, node, answers: dict[str, int], until: float) -> None:
    """Send unsafe requests on one kept connection, one after the other."""
    while time.monotonic() < until:
        reader, writer = await asyncio.open_connection(
            node.host, node.listen["outbound"]
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while time.monotonic() < until:
                attempt_id = make_id()
                deployment.record.write(f"sent attempt={attempt_id}")
                answers[attempt_id] = 0
                await write_request(
                    writer,
                    "POST",
                    "/pay/20/2",
                    [f"Attempt-Id: {attempt_id}", "Deadline-Ms: 5000"],
                    b"payment",
                )
                answer = await read_message(reader)
                if answer is None:
                    break
                answers[attempt_id] = answer.status
                deployment.record.write(
                    f"answered attempt={attempt_id} status={answer.status}"
                )
        writer.close()


async def main() -> bool:
    """Play the case; return whether the rules held."""
    deployment = Deployment(FOLDER)
    deployment.put_manifest([make_route("pay", "unsafe", "pay")])
    places = [
        ("p1", "pay", "z1"),
        ("p2", "pay", "z2"),
        ("n1", "front", "z1"),
        ("n2", "front", "z2"),
    ]
    answers: dict[str, int] = {}
    shedding = SheddingTarget(random.Random())
    try:
        await deployment.start(places)
        await deployment.wait_until_served(["/pay/0/1"])
        nodes = deployment.nodes
        for name in ("p1", "p2"):
            nodes[name].target.runs.clear()
        for name in ("p1", "p2"):
            nodes[name].target.serve = shedding.serve
        began_at = time.monotonic()
        if has_trouble():
            shedding.until = began_at + 1.0 + TROUBLE_S
        await asyncio.gather(
            *(
                pay(deployment, nodes[name], answers, began_at + 8.0)
                for name in ("n1", "n2")
                for _ in range(CLIENTS)
            )
        )
        await asyncio.sleep(1.0)
        runs = collections.Counter(nodes["p1"].target.runs)
        runs.update(nodes["p2"].target.runs)
    finally:
        await deployment.close()
    twice = [a for a, count in runs.items() if count > 1]
    refused = [a for a, s in answers.items() if s in PROMISES and runs[a]]
    for attempt_id in twice:
        deployment.record.write(f"TWICE attempt={attempt_id}")
    for attempt_id in refused:
        deployment.record.write(
            f"REFUSED attempt={attempt_id} status={answers[attempt_id]}"
        )
    summary = (
        f"sent={len(answers)} extra_answers={shedding.extras_sent}"
        f" statuses={dict(collections.Counter(answers.values()))}"
        f" ran_twice={len(twice)} refused_but_run={len(refused)}"
    )
    deployment.record.write(summary)
    print(summary)
    return not twice and not refused


if __name__ == "__main__":
    run_case(main)
