"""Tests of claims whose answer comes while the own process is not scheduled."""

import asyncio
import socket
import threading
import time
import unittest

from kumquatwalk.address import Address
from kumquatwalk.catalogue import Importance
from kumquatwalk.clock import read_now
from kumquatwalk.idempotency import ClaimBudget
from kumquatwalk.idempotency import Claimed
from kumquatwalk.idempotency import ClaimStore
from kumquatwalk.idempotency import ClaimUnavailable
from kumquatwalk.idempotency import NodeIdentity
from kumquatwalk.idempotency.claim_store import ClaimResult
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.tests.test_store import serve_once

# Time limit of a call to the store, and the pause across it, in seconds.
TIMEOUT_S = 0.3
PAUSE_S = 0.4
HANG_S = 20.0
BODY = b'{"revision":7}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


async def claim_in_pause(
    listener: socket.socket, deadline_s: float
) -> tuple[ClaimResult, list[str]]:
    """Claim a key, while the own process pauses until the answer has come.

    Returns:
        The result, and the keys that the node remembers as its own.
    """
    has_request, must_answer = threading.Event(), threading.Event()
    thread = threading.Thread(
        target=serve_once,
        args=(listener, has_request, must_answer, ANSWER),
        daemon=True,
    )
    thread.start()
    client = StoreClient(Address(*listener.getsockname()), TIMEOUT_S)
    store = ClaimStore(client, NodeIdentity("n1", 1), ClaimBudget(10.0, 10.0))
    deadline = read_now() + deadline_s
    claiming = asyncio.create_task(
        store.claim("claims/k", b"body", "c", Importance.HIGH, deadline)
    )
    async with asyncio.timeout(HANG_S):
        while not has_request.is_set():
            await asyncio.sleep(0.001)
    must_answer.set()
    time.sleep(PAUSE_S)
    result = await claiming
    client.close()
    listener.shutdown(socket.SHUT_RDWR)
    # The event loop has to run for the connection to close.
    await asyncio.to_thread(thread.join, HANG_S)
    held = store.held.list_newest_first(read_now())
    return result, [key for key, _ in held]


class ClaimPauseTest(unittest.TestCase):

    def claim(self, deadline_s: float) -> tuple[ClaimResult, list[str]]:
        """Claim a key in a pause and return what came of it."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with asyncio.Runner() as runner:
                return runner.run(claim_in_pause(listener, deadline_s))

    # Guards against LOST: a request whose claim was answered in a pause of the
    # own process was refused, its claim left behind.
    def test_claim_answered_in_a_pause_starts_its_run(self):
        self.assertEqual(self.claim(HANG_S), (Claimed(), ["claims/k"]))

    # Guards against a run that starts for a caller that has given up.
    def test_age_of_a_claim_counts_from_its_sending(self):
        result, held = self.claim(PAUSE_S / 2.0)
        self.assertEqual(result, ClaimUnavailable("claim_late"))
        self.assertEqual(held, ["claims/k"])


if __name__ == "__main__":
    unittest.main()
