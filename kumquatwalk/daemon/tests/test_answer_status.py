"""Tests of answers of the target whose status is none of HTTP's."""

import asyncio
import dataclasses
import unittest

from kumquatwalk import codes
from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.open_runs import OpenRuns
from kumquatwalk.daemon.platform_interface import PlatformInterface
from kumquatwalk.daemon.target_exchange import ExchangeResult
from kumquatwalk.daemon.target_exchange import Finding
from kumquatwalk.daemon.target_exchange import run_call
from kumquatwalk.mesh.tests.test_link_silence import make_call
from kumquatwalk.outcome import Outcome
from kumquatwalk.targets.client import TargetClient

INVALID_STATUSES = (b"000", b"099", b"101", b"600", b"999")
LEFT_S = 2.0
HANG_S = 20.0


def make_answer(status: bytes, body: bytes = b"ok") -> bytes:
    """Return an answer with the headers that the platform asks for."""
    return (
        b"HTTP/1.1 %b X\r\nContent-Length: %d\r\n"
        b"Attempt-Id: id-1\r\nServer-Seal: seal\r\n\r\n%b"
    ) % (status, len(body), body)


class AnswerStatusTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.answers: list[bytes] = []
        self.connections = 0
        self.closed = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.client = TargetClient(Address(host, port))
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        """Send the next answer to each request of a connection."""
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(self.answers.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()

    async def run_one(self, answer: bytes) -> ExchangeResult:
        """Return the result of a call that the target answers so."""
        self.answers.append(answer)
        open_runs = OpenRuns()
        now = read_now()
        call = dataclasses.replace(make_call(), body=b"", deadline=now + LEFT_S)
        timeout = open_runs.open(call, now)
        result = await run_call(
            self.client,
            PlatformInterface(),
            "web-1",
            "run-1",
            call,
            timeout,
            call.deadline,
        )
        open_runs.close(timeout)
        return result

    async def check_invalid(self, answer: bytes) -> None:
        """Check that an answer counts as spoiled and ends its connection."""
        result = await self.run_one(answer)
        self.assertIs(result.reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(result.reply.code, codes.ANSWER_SPOILED)
        self.assertIs(result.finding, Finding.FAILED)
        async with asyncio.timeout(HANG_S):
            while self.closed < self.connections:
                await asyncio.sleep(0.005)

    # Guards against FAULT: a caller got a response with the status 000.
    async def test_first_answer_of_a_connection(self):
        for status in INVALID_STATUSES:
            with self.subTest(status):
                await self.check_invalid(make_answer(status))

    async def test_later_answer_of_a_connection(self):
        for status in INVALID_STATUSES:
            with self.subTest(status):
                connections = self.connections
                result = await self.run_one(make_answer(b"200"))
                self.assertIs(result.reply.outcome, Outcome.DONE)
                await self.check_invalid(make_answer(status))
                self.assertEqual(self.connections, connections + 1)

    async def test_good_answer_does_not_make_up_for_it(self):
        for status in INVALID_STATUSES:
            with self.subTest(status):
                invalid = b"HTTP/1.1 %b X\r\n\r\n" % status
                await self.check_invalid(invalid + make_answer(b"200"))

    async def test_invalid_status_after_an_interim_response(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        await self.check_invalid(interim + make_answer(b"600"))

    async def test_interim_responses_before_a_good_answer(self):
        for status in (b"100", b"102", b"103"):
            with self.subTest(status):
                interim = b"HTTP/1.1 %b X\r\nLink: </a>\r\n\r\n" % status
                result = await self.run_one(interim + make_answer(b"200"))
                self.assertIs(result.reply.outcome, Outcome.DONE)
                self.assertEqual(result.reply.status, 200)
        self.assertEqual(self.connections, 1)

    async def test_valid_statuses_are_passed_on(self):
        for status in (b"200", b"204", b"599"):
            with self.subTest(status):
                body = b"" if status == b"204" else b"ok"
                result = await self.run_one(make_answer(status, body))
                self.assertEqual(result.reply.status, int(status))


if __name__ == "__main__":
    unittest.main()
