"""Tests that a stop waits for peers that have yet to get kept replies."""

import asyncio
import contextlib
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.tests.stop_case import StopCase
from kumquatwalk.daemon.tests.test_kept_replies import RawPeer
from kumquatwalk.daemon.unique_calls import UniqueCalls
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.mesh.link_server import LINK_LOST
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

from kumquatwalk.standin.scripted_target import Script

ANSWER = Reply(Outcome.DONE, status=200)
KEY = 7


def make_call(valid_s: float) -> Call:
    """Return an unsafe call of a peer with a deadline from now."""
    deadline = read_now() + valid_s
    return Call(
        key=KEY,
        attempt_id=b"id",
        route="web-pay",
        service="web",
        caller_service="other",
        is_idempotent=False,
        is_returning=False,
        rank=0,
        deadline=deadline,
        start_by=deadline,
        method=b"POST",
        url=b"/web-pay/",
        headers=((b"Attempt-Id", b"id"),),
        body=b"",
    )


class OwedReplyTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.may_end = asyncio.Event()
        self.calls = UniqueCalls(self._run, ByteBudget(4000))
        self.call = make_call(100.0)
        self.now = read_now()

    async def _run(self, _call, running):
        running.is_admitted = True
        await self.may_end.wait()
        return ANSWER

    async def _start(self) -> asyncio.Task:
        task = asyncio.create_task(self.calls.serve_peer(self.call, False))
        await asyncio.sleep(0)
        return task

    async def _cancel(self, task: asyncio.Task, *reason: str) -> None:
        task.cancel(*reason)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    def _count(self, later_s: float = 0.0) -> int:
        return self.calls.count_owed(self.now + later_s)

    # Guards against LOST: a call that runs on without its link was owed by
    # nobody, nor was its reply.
    async def test_call_without_its_link_is_owed_until_the_deadline(self):
        task = await self._start()
        self.assertEqual(self._count(), 0)  # its link counts it
        await self._cancel(task, LINK_LOST)
        self.assertEqual((self._count(), self._count(101.0)), (1, 0))
        again = await self._start()
        self.assertEqual(self._count(), 0)
        self.may_end.set()
        self.assertEqual(await again, ANSWER)
        self.assertEqual((self._count(), self._count(101.0)), (1, 0))
        self.calls.release_reply(KEY)
        self.assertEqual(self._count(), 0)

    # Guards against LOST: a stop waited for a reply that nobody wants, and the
    # time to answer others was lost.
    async def test_call_that_its_peer_gave_up_is_not_owed(self):
        task = await self._start()
        await self._cancel(task)
        self.calls.release_reply(KEY)
        self.assertEqual(self._count(), 0)
        self.may_end.set()
        await asyncio.sleep(0.01)
        self.assertEqual(self._count(), 0)

    async def test_call_of_this_node_is_not_owed_here(self):
        task = asyncio.create_task(self.calls.serve_own(self.call))
        await asyncio.sleep(0)
        self.assertEqual(self._count(), 0)
        await self._cancel(task)
        self.assertEqual(self._count(), 0)
        self.may_end.set()
        await asyncio.sleep(0.01)
        self.assertEqual(self._count(), 0)


GRACE_S = 6.0
# The run ends while the link is down, before callers are turned away.
WORK_S = 2.4
CUT_AFTER_S = 2.2
LINK_PAUSE_S = 0.8


class StopKeptReplyTest(StopCase):

    # Guards against LOST: a stop that had most of its time left ended before a
    # peer, whose link was down for a moment, could ask for the kept reply.
    async def test_reply_kept_for_a_peer_is_owed(self):
        node = await self.fleet.add_node("web-1", "web", grace_s=GRACE_S)
        node.target.choose_script = lambda _: Script(work_s=WORK_S)
        peer = await self.fleet.add_node("other-1", "other")
        await self.fleet.wait_until_ready()
        call = asyncio.create_task(
            self.fleet.call("other-1", "/web-pay/", "a", 6000, b"POST")
        )
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(node.daemon.drain())
        await asyncio.sleep(CUT_AFTER_S)
        link = peer.daemon.core.peers.find("web-1")
        link.disconnect_for(LINK_PAUSE_S)
        await drain
        await node.daemon.close()
        answer = await call
        self.assertEqual(node.target.count_runs("a"), 1)
        self.assertEqual((answer.status, answer.body), (200, b"answer"))

    # Guards against LOST: the process was killed while it waited for a peer of
    # an earlier release, which does not say that it has the reply.
    async def test_peer_that_never_confirms_holds_a_stop_until_the_deadline(
        self,
    ):
        node = await self.fleet.add_node("web-1", "web", grace_s=60.0)
        await self.fleet.wait_until_ready()
        peer = RawPeer()
        await peer.connect(node.settings.link_listener)
        self.addCleanup(peer.close)
        call = make_call(4.0)
        reply = await peer.call(call, 1, False)
        self.assertEqual(reply.status, 200)
        async with asyncio.timeout(30):
            await node.daemon.drain()
        self.assertGreater(read_now(), call.deadline)


if __name__ == "__main__":
    unittest.main()
