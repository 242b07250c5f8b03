"""Tests of at-most-once requests of outside callers."""

import asyncio
import socket
import time
import unittest

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.config.tests.samples import make_route
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.idempotency import NodeIdentity
from kumquatwalk.idempotency import RequestTable
from kumquatwalk.idempotency import TicketIssuer
from kumquatwalk.mesh.message import OwnerQuery
from kumquatwalk.mesh.message import Reply
from kumquatwalk.native.fleet_config import decode_fleet_config
from kumquatwalk.native.at_most_once import AtMostOnceRequests
from kumquatwalk.native.at_most_once import OWNER_REPLY_GRACE_S
from kumquatwalk.outcome import Outcome
from kumquatwalk.targets.run import measure_reply

ROUTE = make_route(is_idempotent=False, rank=1)
DONE = Reply(Outcome.DONE, "", 200)


class RecordingLink:
    """Link that records every query and answers it."""

    def __init__(self, incarnation: int):
        self.incarnation = incarnation
        self.queries: list[OwnerQuery] = []

    async def query_owner(self, query: OwnerQuery) -> Reply:
        """Record a query and return ``DONE``."""
        self.queries.append(query)
        return DONE


class SlowLink(RecordingLink):
    """Link whose reply comes as bytes, while this process pauses.

    The pause begins once the query has been sent.

    Args:
        pause_s: Length of the pause, in seconds.
    """

    def __init__(self, incarnation: int, pause_s: float):
        super().__init__(incarnation)
        self._pause_s = pause_s

    async def query_owner(self, query: OwnerQuery) -> Reply:
        """Return ``DONE`` once the reply has been read."""
        loop = asyncio.get_running_loop()
        here, there = socket.socketpair()
        with here, there:
            here.setblocking(False)
            loop.call_soon(self._pause, there)
            await loop.sock_recv(here, 1)
        return await super().query_owner(query)

    def _pause(self, there: socket.socket) -> None:
        there.send(b"1")
        time.sleep(self._pause_s)


class OnceRequestsTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.links: dict[str, RecordingLink] = {}
        self.runs = 0
        self.issuer = TicketIssuer("here", 1)
        configs = ConfigHolder(
            lambda d: decode_fleet_config(d, CallerLimits()), lambda _: None
        )
        self.once = AtMostOnceRequests(
            NodeIdentity("here", 1),
            configs,
            self.connect,
            self._run,
            self.issuer,
            RequestTable(measure_reply),
            None,
        )
        self.ticket = TicketIssuer("there", 5).issue(1.0)

    async def _run(self, request, route, deadline) -> Reply:
        del request, route, deadline
        self.runs += 1
        await asyncio.sleep(0.02)
        return Reply(Outcome.DONE, "", 200, body=b"%d" % self.runs)

    async def _serve(
        self, ticket: str, body: bytes = b"1", limit_s: float = 60.0
    ) -> Reply:
        headers = ((b"Kumquat-Ticket", ticket.encode()),)
        request = HttpRequest(b"POST", b"/pay", headers, body, True, 0.0)
        return await self.once.serve(request, ROUTE, read_now() + limit_s)

    async def connect(self, node_id, _timeout_s):
        """Return the link to a node, as ``Peers.connect`` does."""
        return self.links.get(node_id)

    async def test_ticket_of_another_node_goes_to_that_node(self):
        self.links["there"] = RecordingLink(incarnation=5)
        self.assertEqual(await self._serve(self.ticket), DONE)
        (query,) = self.links["there"].queries
        self.assertEqual((query.ticket, query.body), (self.ticket, b"1"))

    # Guards against LOST: the reply of the owner came while this process was
    # not scheduled, and the timer of its time limit ran before it was read.
    async def test_reply_of_the_owner_in_a_pause_is_used(self):
        limit_s = 0.1
        self.links["there"] = SlowLink(5, limit_s + OWNER_REPLY_GRACE_S + 0.1)
        self.assertEqual(await self._serve(self.ticket, b"1", limit_s), DONE)

    async def test_ticket_of_a_node_that_is_not_known_is_not_sent(self):
        reply = await self._serve(self.ticket)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(reply.code, codes.OWNER_UNREACHABLE)

    async def test_ticket_of_an_earlier_incarnation_is_not_sent(self):
        self.links["there"] = RecordingLink(incarnation=6)
        reply = await self._serve(self.ticket)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.links["there"].queries, [])

    async def test_repeats_of_one_ticket_run_once_and_get_its_answer(self):
        ticket = self.issuer.issue(read_now())
        replies = await asyncio.gather(*(self._serve(ticket) for _ in range(5)))
        self.assertEqual({r.body for r in replies}, {b"1"})
        self.assertEqual(self.runs, 1)

    async def test_ticket_with_another_body_is_refused(self):
        ticket = self.issuer.issue(read_now())
        await self._serve(ticket)
        reply = await self._serve(ticket, b"2")
        self.assertEqual(reply.code, codes.KEY_REUSED)

    async def test_run_continues_after_its_caller_disconnects(self):
        ticket = self.issuer.issue(read_now())
        first = asyncio.create_task(self._serve(ticket))
        await asyncio.sleep(0.005)
        first.cancel()
        reply = await self._serve(ticket)
        self.assertEqual((reply.body, self.runs), (b"1", 1))

    async def test_request_without_key_or_ticket_is_refused(self):
        request = HttpRequest(b"POST", b"/pay", (), b"", True, 0.0)
        reply = await self.once.serve(request, ROUTE, read_now() + 1.0)
        self.assertEqual(reply.code, codes.KEY_REQUIRED)
        self.assertIs(reply.outcome, Outcome.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
