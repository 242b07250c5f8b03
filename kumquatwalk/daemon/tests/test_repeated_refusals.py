"""Tests of refusals that a target sends again, late, on a connection."""

import asyncio
import collections
import dataclasses
import unittest

from kumquatwalk import codes
from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.open_runs import OpenRuns
from kumquatwalk.daemon.platform_interface import PlatformInterface
from kumquatwalk.daemon.target_exchange import ExchangeResult
from kumquatwalk.daemon.target_exchange import run_call
from kumquatwalk.mesh.tests.test_link_silence import make_call
from kumquatwalk.outcome import Outcome
from kumquatwalk.targets.client import TargetClient

HEALTH_CHECK = b"GET /health HTTP/1.1\r\nHost: web\r\n\r\n"
LEFT_S = 2.0
SHORT_S = 0.2


def encode(status: int, *lines: bytes) -> bytes:
    """Encode a response without a body."""
    head = (b"HTTP/1.1 %d X" % status, b"Content-Length: 0", *lines)
    return b"\r\n".join(head) + b"\r\n\r\n"


ANSWER = encode(200, b"Attempt-Id: id-1", b"Server-Seal: seal")
REFUSAL = encode(503, b"Not-Executed: 1")
NAMED_REFUSAL = encode(503, b"Not-Executed: 1", b"Attempt-Id: id-1")
REPLACED = encode(421, b"Not-Executed: 1")
FAILURE = encode(500)
HEALTHY = encode(200, b"Instance-Id: web-1")
UNHEALTHY = encode(503, b"Instance-Id: web-1")
OTHER_ANSWER = encode(200, b"Attempt-Id: id-0", b"Server-Seal: seal")


class RepeatedRefusalsTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        # What the target sends for each request that it reads; empty to close.
        self.script: collections.deque[bytes] = collections.deque()
        self.requests: list[bytes] = []
        self.connections = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.client = TargetClient(Address(*server.sockets[0].getsockname()))
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        """Send the next bytes of the script to each request."""
        self.connections += 1
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(request.split(b" ", 2)[1])
                if self.script and not self.script[0]:
                    self.script.popleft()
                    break
                writer.write(self.script.popleft() if self.script else b"")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the node has closed the connection
        finally:
            writer.close()

    async def run_one(
        self,
        *script: bytes,
        is_idempotent: bool = False,
        left_s: float = LEFT_S,
        health_check: bytes = HEALTH_CHECK,
    ) -> ExchangeResult:
        """Return the result of a call that the target answers so."""
        self.script.extend(script)
        open_runs = OpenRuns()
        now = read_now()
        call = dataclasses.replace(
            make_call(),
            body=b"",
            is_idempotent=is_idempotent,
            deadline=now + left_s,
        )
        timeout = open_runs.open(call, now)
        result = await run_call(
            self.client,
            PlatformInterface(),
            "web-1",
            "run-1",
            call,
            timeout,
            call.deadline,
            health_check,
        )
        open_runs.close(timeout)
        return result

    def count_health_checks(self) -> int:
        """Return how many health checks the target has read."""
        return self.requests.count(b"/health")

    async def check_refused(self, *script: bytes, connections: int) -> None:
        """Check that a refusal stands, and what the next call opens."""
        result = await self.run_one(*script)
        self.assertIs(result.reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(result.reply.code, codes.TARGET_SHED)
        result = await self.run_one(ANSWER)
        self.assertIs(result.reply.outcome, Outcome.DONE)
        self.assertEqual(self.connections, connections)

    # Guards against TWICE and REFUSED: a target repeated a refusal as the next
    # request on the connection, a payment, had come. It ran, was taken for
    # refused, and was sent to another target or answered 503.
    async def test_payment_behind_a_repeated_refusal_has_run(self):
        for is_joined in (True, False):
            with self.subTest(is_joined):
                self.script.clear()
                script = (
                    (REFUSAL + ANSWER, HEALTHY)
                    if is_joined
                    else (REFUSAL, ANSWER)
                )
                result = await self.run_one(*script)
                self.assertIs(result.reply.outcome, Outcome.DONE)
                self.assertEqual(result.reply.status, 200)

    async def test_connection_behind_a_repeat_is_not_used_again(self):
        await self.run_one(REFUSAL, ANSWER + HEALTHY)
        await self.run_one(ANSWER)
        self.assertEqual(self.connections, 2)

    async def test_refusal_stands_if_the_health_check_is_answered(self):
        await self.check_refused(REFUSAL, HEALTHY, connections=1)

    async def test_refusal_stands_if_the_target_is_unhealthy(self):
        await self.check_refused(REFUSAL, UNHEALTHY, connections=1)

    async def test_refusal_stands_if_the_health_check_is_refused(self):
        await self.check_refused(REFUSAL, REFUSAL, connections=2)

    async def test_refusal_after_a_repeated_refusal_stands(self):
        await self.check_refused(REFUSAL + REFUSAL, HEALTHY, connections=2)

    async def test_refusal_stands_behind_an_answer_to_another_request(self):
        await self.check_refused(OTHER_ANSWER + REFUSAL, HEALTHY, connections=1)

    async def test_answer_to_another_request_does_not_verify(self):
        result = await self.run_one(REFUSAL, OTHER_ANSWER + ANSWER)
        self.assertIs(result.reply.outcome, Outcome.DONE)

    async def test_refusal_that_closes_the_connection_is_no_repeat(self):
        closing = encode(503, b"Not-Executed: 1", b"Connection: close")
        await self.check_refused(closing, connections=2)
        self.assertEqual(self.count_health_checks(), 0)

    async def test_named_refusal_needs_no_health_check(self):
        await self.check_refused(NAMED_REFUSAL, connections=1)
        self.assertEqual(self.count_health_checks(), 0)

    # Guards against REFUSED: neither answer came in time, so the request may
    # run behind a repeat.
    async def test_outcome_is_unknown_at_the_deadline(self):
        result = await self.run_one(REFUSAL, left_s=SHORT_S)
        self.assertIs(result.reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.count_health_checks(), 1)

    async def test_outcome_is_unknown_if_the_connection_breaks(self):
        result = await self.run_one(REFUSAL, b"")
        self.assertIs(result.reply.outcome, Outcome.UNKNOWN)

    async def test_failure_of_another_request_is_not_passed_on(self):
        for is_idempotent in (False, True):
            with self.subTest(is_idempotent):
                result = await self.run_one(
                    FAILURE, ANSWER + HEALTHY, is_idempotent=is_idempotent
                )
                self.assertEqual(result.reply.status, 200)

    async def test_unnamed_failure_is_passed_on_after_a_health_check(self):
        result = await self.run_one(FAILURE, HEALTHY)
        self.assertEqual(result.reply.status, 500)

    async def test_repeated_421_does_not_mark_the_target_replaced(self):
        result = await self.run_one(
            REPLACED, ANSWER + HEALTHY, is_idempotent=True
        )
        self.assertIs(result.reply.outcome, Outcome.DONE)

    async def test_refused_idempotent_call_needs_no_health_check(self):
        result = await self.run_one(REFUSAL, is_idempotent=True)
        self.assertIs(result.reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.count_health_checks(), 0)

    # Guards against TWICE: behind two repeats, one of them taken for the
    # refusal of an idempotent call, the health check would prove nothing.
    async def test_payment_does_not_follow_an_unverified_refusal(self):
        await self.run_one(REFUSAL, is_idempotent=True)
        await self.run_one(ANSWER)
        self.assertEqual(self.connections, 2)

    async def test_idempotent_call_follows_an_unverified_refusal(self):
        await self.run_one(REFUSAL, is_idempotent=True)
        await self.run_one(ANSWER, is_idempotent=True)
        await self.run_one(ANSWER)
        self.assertEqual(self.connections, 1)

    async def test_payments_use_separate_connections_without_a_check(self):
        for _ in range(3):
            result = await self.run_one(REFUSAL, health_check=b"")
            self.assertIs(result.reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.connections, 3)


if __name__ == "__main__":
    unittest.main()
