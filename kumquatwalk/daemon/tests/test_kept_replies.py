"""Tests of what a node keeps of calls that are not idempotent."""

import asyncio
import dataclasses
import tracemalloc
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.outcome import Outcome
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

RECEIPT_BYTES = 1_000_000
PAYMENTS = 30


class RawPeer:
    """Peer that sends single calls over a link, made by hand.

    Attributes:
        replies: Replies received, by the identifiers of their calls.
    """

    def __init__(self):
        self.replies: asyncio.Queue[ReplyFrame] = asyncio.Queue()
        self._transport: asyncio.Transport | None = None
        self._link: LinkProtocol | None = None

    async def connect(self, address) -> None:
        """Connect to a node and send the handshake message."""
        loop = asyncio.get_running_loop()
        self._transport, self._link = await loop.create_connection(
            lambda: LinkProtocol(_ignore, self._handle, _ignore),
            address.host,
            address.port,
        )
        self._link.send(Hello("raw", 1, "z1", "web", "127.0.0.1", 1, 0.0))

    def close(self) -> None:
        """Abort the connection."""
        self._link.abort()

    def stop_reading(self) -> None:
        """Read nothing more."""
        self._transport.pause_reading()

    def send(self, message) -> None:
        """Send a message."""
        self._link.send(message)

    async def call(self, call: Call, call_id: int, is_resent: bool):
        """Send a call and return its reply."""
        self.send(CallFrame(call_id, is_resent, call))
        async with asyncio.timeout(20):
            frame = await self.replies.get()
        assert frame.call_id == call_id
        return frame.reply

    def _handle(self, _link, message) -> None:
        if isinstance(message, ReplyFrame):
            self.replies.put_nowait(message)


def _ignore(_link) -> None:
    pass


class KeptReplyTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "pay"), timeoutS=5.0))
        self.addAsyncCleanup(self.fleet.close)
        self.web = await self.fleet.add_node("web-1", "web")
        self.pay = await self.fleet.add_node("pay-1", "pay")
        self.pay.target.choose_script = lambda _: Script(
            body=b"r" * RECEIPT_BYTES
        )
        await self.fleet.wait_until_ready()
        self.budget = self.pay.daemon.core.body_budget

    async def _open_peer(self) -> RawPeer:
        peer = RawPeer()
        await peer.connect(self.pay.settings.link_listener)
        self.addCleanup(peer.close)
        return peer

    def _make_call(self, key: int, body: bytes = b"") -> Call:
        now = read_now()
        return Call(
            key=key,
            attempt_id=b"id-%d" % key,
            route="pay-pay",
            service="pay",
            caller_service="web",
            is_idempotent=False,
            is_returning=False,
            rank=0,
            deadline=now + 20.0,
            start_by=now + 20.0,
            method=b"POST",
            url=b"/pay-pay/",
            headers=((b"Attempt-Id", b"id-%d" % key),),
            body=body,
        )

    async def _wait_for(self, is_done) -> None:
        async with asyncio.timeout(20):
            while not is_done():
                await asyncio.sleep(0.01)

    async def _measure_payments(self, entry: str) -> int:
        """Return the bytes allocated since before many payments."""
        await self.fleet.call(entry, "/pay-pay/", "warm", 5000, b"POST")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(PAYMENTS):
            answer = await self.fleet.call(
                entry, "/pay-pay/", f"id-{number}", 5000, b"POST"
            )
            self.assertEqual((answer.status, len(answer.body)), (200, 10**6))
        answer = None
        await self._wait_for(lambda: not self.budget.used)
        return tracemalloc.get_traced_memory()[0]

    # Guards against LOST: answers that were given stay in memory until the
    # process is over its limit and ends with all requests in progress.
    async def test_answers_given_on_the_own_vm_leave_the_memory(self):
        held = await self._measure_payments("pay-1")
        self.assertLess(held, 10 * RECEIPT_BYTES)

    # Guards against LOST: the same for answers that a peer has taken.
    async def test_answers_taken_by_a_peer_leave_the_memory(self):
        held = await self._measure_payments("web-1")
        self.assertLess(held, 10 * RECEIPT_BYTES)

    async def test_answer_is_kept_until_the_peer_says_it_has_it(self):
        peer = await self._open_peer()
        reply = await peer.call(self._make_call(7), 1, False)
        self.assertEqual(reply.status, 200)
        await self._wait_for(lambda: 0 < self.budget.used < 2 * RECEIPT_BYTES)
        again = await self._open_peer()
        copy = await again.call(self._make_call(7), 1, True)
        self.assertEqual(copy, reply)
        again.send(Cancel(1))
        await self._wait_for(lambda: not self.budget.used)
        copy = await again.call(self._make_call(7), 2, True)
        self.assertEqual(copy.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.pay.target.count_runs("id-7"), 1)

    # Guards against LOST: replies that no peer takes fill the memory.
    async def test_answers_that_no_peer_takes_are_bounded(self):
        peer = await self._open_peer()
        self.budget.limit = 10 * RECEIPT_BYTES
        for key in range(1, 12):
            await peer.call(self._make_call(key), key, False)
        await self._wait_for(lambda: self.budget.used < 3 * RECEIPT_BYTES)
        first = await peer.call(self._make_call(1), 21, True)
        self.assertEqual(first.outcome, Outcome.UNKNOWN)
        last = await peer.call(self._make_call(11), 22, True)
        self.assertEqual(last.status, 200)
        self.assertEqual(len(self.pay.target.runs), 11)

    # Guards against TWICE and REFUSED: a call that was lost with its link is
    # run when it is sent again, or when its first copy arrives after all.
    async def test_call_sent_again_and_not_known_is_refused_and_not_run(self):
        peer = await self._open_peer()
        for call_id, is_resent in ((1, True), (2, False), (3, True)):
            reply = await peer.call(self._make_call(9), call_id, is_resent)
            self.assertEqual(reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.pay.target.runs, [])

    # Guards against TWICE and REFUSED: a copy of a call that runs is refused as
    # not run because the memory for bodies is used up.
    async def test_copy_is_answered_by_the_run_when_memory_is_exhausted(self):
        self.pay.target.choose_script = lambda _: Script(work_s=1.0)
        peer = await self._open_peer()
        call = self._make_call(5, b"amount=3")
        peer.send(CallFrame(1, False, call))
        await self._wait_for(lambda: self.pay.target.runs)
        peer.close()
        again = await self._open_peer()
        self.budget.limit = 0
        copy = await again.call(call, 1, True)
        self.assertEqual((copy.outcome, copy.status), (Outcome.DONE, 200))
        other = dataclasses.replace(call, key=6)
        refused = await again.call(other, 2, False)
        self.assertEqual(refused.outcome, Outcome.NOT_RUN)
        self.assertEqual(len(self.pay.target.runs), 1)

    # Guards against a node that refuses all calls while a few peers or callers
    # that read slowly hold its memory.
    async def test_call_without_a_body_needs_no_memory(self):
        self.pay.target.choose_script = lambda _: Script()
        peer = await self._open_peer()
        self.budget.hold(self.budget.limit + 1)
        for key, is_idempotent in ((1, False), (2, True)):
            call = dataclasses.replace(
                self._make_call(key), is_idempotent=is_idempotent
            )
            reply = await peer.call(call, key, False)
            self.assertEqual((reply.outcome, reply.status), (Outcome.DONE, 200))

    # Guards against LOST: the body of a call that runs on after its link broke
    # is counted by nobody.
    async def test_body_is_counted_until_the_run_ends_without_its_link(self):
        self.pay.target.choose_script = lambda _: Script(work_s=1.0, body=b"")
        peer = await self._open_peer()
        peer.send(CallFrame(1, False, self._make_call(5, b"x" * 5000)))
        await self._wait_for(lambda: self.pay.target.runs)
        server = self.pay.daemon.core.link_server
        self.assertEqual(server.calls_in_progress, 1)
        peer.close()
        await self._wait_for(lambda: not server.calls_in_progress)
        self.assertEqual(self.budget.used, 5000)
        await self._wait_for(lambda: self.budget.used < 5000)

    # Guards against LOST: the same for a call whose caller on this VM left.
    async def test_body_is_counted_until_the_run_ends_without_its_caller(self):
        self.pay.target.choose_script = lambda _: Script(work_s=1.0, body=b"")
        task = asyncio.create_task(
            self.fleet.call(
                "pay-1", "/pay-pay/", "id-1", 5000, b"POST", b"x" * 5000
            )
        )
        await self._wait_for(lambda: self.pay.target.runs)
        task.cancel()
        await asyncio.wait([task])
        limiter = self.pay.daemon.core.target_side.limiter
        counted = []
        while limiter.running:
            counted.append(self.budget.used)
            await asyncio.sleep(0.01)
        self.assertEqual(counted[-1], 5000)
        await self._wait_for(lambda: not self.budget.used)

    # Guards against LOST: replies that wait for a peer that does not read are
    # counted by nobody.
    async def test_replies_that_a_peer_does_not_read_are_counted(self):
        self.pay.target.choose_script = lambda _: Script(
            body=b"r" * 5 * RECEIPT_BYTES
        )
        peer = await self._open_peer()
        peer.stop_reading()
        call = dataclasses.replace(self._make_call(0), is_idempotent=True)
        for call_id in range(6):
            peer.send(CallFrame(call_id, False, call))
        server = self.pay.daemon.core.link_server
        await self._wait_for(lambda: len(self.pay.target.runs) == 6)
        # One is the link itself, with what it has not sent yet.
        await self._wait_for(lambda: server.calls_in_progress == 1)
        self.assertGreater(self.budget.used, 10 * RECEIPT_BYTES)
        peer.close()
        await self._wait_for(lambda: not self.budget.used)


if __name__ == "__main__":
    unittest.main()
