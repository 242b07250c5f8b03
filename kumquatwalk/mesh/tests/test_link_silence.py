"""Tests of when a link counts as silent."""

import asyncio
import dataclasses
import errno
import unittest
from unittest import mock

from kumquatwalk import codes
from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.http1.sockets import USER_TIMEOUT_MS
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import HedgeRequest
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.peer_link import CONNECT_TIMEOUT_S
from kumquatwalk.mesh.peer_link import RECEIVE_TIMEOUT_S
from kumquatwalk.mesh.peer_link import SILENT_LINGER_S
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.outcome import Outcome
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState

HANG_S = 20.0
DONE = Reply(Outcome.DONE, status=200, body=b"whole")


def make_hello(_receiver: str = "", incarnation: int = 1) -> Hello:
    """Return the handshake message of node ``gate-1``."""
    return Hello("gate-1", incarnation, "z1", "web", "127.0.0.1", 1, 0.0)


def make_call(is_idempotent: bool = True) -> Call:
    """Return a call."""
    return Call(
        key=0 if is_idempotent else 7,
        attempt_id=b"id-1",
        route="web",
        service="web",
        caller_service="web",
        is_idempotent=is_idempotent,
        is_returning=False,
        rank=0,
        deadline=read_now() + HANG_S,
        start_by=read_now() + HANG_S,
        method=b"GET",
        url=b"/web/",
        headers=(),
        body=b"",
        depth=0,
        tokens=0,
        is_protected=False,
        crash_marks=b"",
    )


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """Case with a link to a scripted peer."""

    async def asyncSetUp(self):
        # Server ends of the link, in the order in which they were opened.
        self.ends: list[LinkProtocol] = []
        self.frames: list[CallFrame] = []
        self.cancelled: list[int] = []
        self.cancelled_on: list[LinkProtocol] = []
        self.is_stalled = False
        self.incarnation = 1
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: LinkProtocol(
                self.ends.append, self._handle, lambda _: None
            ),
            "127.0.0.1",
            0,
        )
        port = self.server.sockets[0].getsockname()[1]
        view = TargetView(
            "gate-1", "z1", "web", TargetStatus(TargetState.READY)
        )
        self.on_status = lambda: None
        ignore = PeerCallbacks(
            lambda *_: self.on_status(), *(lambda *_: None for _ in range(3))
        )
        self.link = PeerLink(
            Address("127.0.0.1", port), view, make_hello, ignore, Partition()
        )
        self.link.start()
        self.addAsyncCleanup(self._close)
        await self._wait_for(lambda: self.link.is_usable)

    async def _close(self):
        self.link.close()
        self.server.close()
        for end in self.ends:
            end.abort()

    def _handle(self, link, message):
        match message:
            case Hello():
                if not self.is_stalled:
                    link.send(make_hello(incarnation=self.incarnation))
            case CallFrame():
                self.frames.append(message)
            case Cancel():
                self.cancelled.append(message.call_id)
                self.cancelled_on.append(link)

    async def _wait_for(self, is_done):
        async with asyncio.timeout(HANG_S):
            while not is_done():
                await asyncio.sleep(0.005)

    async def _begin_call(self, is_idempotent: bool = True) -> asyncio.Task:
        count = len(self.frames)
        task = asyncio.create_task(self.link.call(make_call(is_idempotent)))
        await self._wait_for(lambda: len(self.frames) > count)
        return task

    def _answer(self, end: LinkProtocol) -> None:
        frame = self.frames[-1]
        end.send(ReplyFrame(frame.call_id, 0, 0, DONE))


class UnsentCallTest(LinkCase):

    # Guards against 502 for a call of which a part never left this process when
    # its link broke.
    async def test_call_that_did_not_leave_with_its_link_is_not_run(self):
        for body, outcome in (
            (b"x" * 16_000_000, Outcome.NOT_RUN),
            (b"", Outcome.UNKNOWN),
        ):
            await self._wait_for(lambda: self.link.is_usable)
            call = dataclasses.replace(make_call(), body=body)
            calling = asyncio.create_task(self.link.call(call))
            await asyncio.sleep(0)
            if not body:
                await self._wait_for(lambda: self.frames)
            self.link.reconnect()
            reply = await calling
            self.assertEqual(
                (reply.outcome, reply.code), (outcome, codes.LINK_FAILED)
            )
        self.assertEqual(len(self.frames), 1)


class LinkSilenceTest(LinkCase):

    # Guards against LOST: a process that was not scheduled for a while took all
    # its peers for silent, and ended the calls that ran there.
    async def test_bytes_that_wait_unread_are_no_silence(self):
        call = await self._begin_call()
        self.ends[0].send(TargetStatus(TargetState.READY))
        # Without a turn of the event loop, which would read them.
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        self._answer(self.ends[0])
        self.assertEqual(await call, DONE)
        self.assertEqual(len(self.ends), 1)

    async def _fail_by_silence(self) -> asyncio.Future:
        """Begin a call, let its link go silent; return its late reply."""
        call = make_call()
        calling = asyncio.create_task(self.link.call(call))
        await self._wait_for(lambda: self.frames)
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        self.assertIs((await calling).outcome, Outcome.UNKNOWN)
        return self.link.find_late_reply(call)

    # Guards against LOST: a peer that was not scheduled for a while was taken
    # for gone, and its runs were cancelled.
    async def test_reply_of_a_silent_peer_still_comes(self):
        late = await self._fail_by_silence()
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)
        await self._wait_for(lambda: len(self.ends) == 2)
        self.link.reset_if_silent(read_now())
        await self._wait_for(lambda: not self.ends[0].is_open)
        self.assertTrue(self.link.is_idle)

    async def _hedge(self) -> asyncio.Future:
        """Begin a call that the peer asks to hedge; return its late reply."""
        call = make_call()
        calling = asyncio.create_task(self.link.call(call))
        await self._wait_for(lambda: self.frames)
        self.ends[0].send(HedgeRequest(self.frames[0].call_id))
        reply = await calling
        self.assertEqual(
            (reply.outcome, reply.code), (Outcome.UNKNOWN, codes.NODE_STOPPING)
        )
        return self.link.find_late_reply(call)

    # Guards against LOST: the run of a call that was sent elsewhere too was
    # ended, or its reply was not used.
    async def test_reply_to_a_hedged_call_still_comes(self):
        late = await self._hedge()
        self.assertFalse(self.link.is_idle)
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)
        self.assertTrue(self.link.is_idle)
        self.assertEqual(self.cancelled, [])

    async def test_reply_to_a_hedged_call_comes_on_a_silent_connection(self):
        late = await self._hedge()
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        await self._wait_for(lambda: len(self.ends) == 2)
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)

    async def test_hedged_call_that_is_not_wanted_is_cancelled(self):
        late = await self._hedge()
        late.cancel()
        await self._wait_for(lambda: self.cancelled)
        self.assertEqual(self.cancelled, [self.frames[0].call_id])

    async def test_hedged_call_is_unknown_once_its_connection_is_lost(self):
        late = await self._hedge()
        self.ends[0].abort()
        async with asyncio.timeout(HANG_S):
            self.assertEqual((await late).code, codes.LINK_FAILED)

    # Guards against a link that never counts as idle again, and keeps the body
    # of a call: its caller left in the turn in which the peer asked to hedge.
    async def test_call_whose_caller_leaves_as_it_is_hedged_is_forgotten(self):
        call = await self._begin_call()
        self.on_status = call.cancel
        self.ends[0].send(HedgeRequest(self.frames[0].call_id))
        self.ends[0].send(TargetStatus(TargetState.READY))
        await self._wait_for(call.done)
        await self._wait_for(lambda: self.cancelled)
        self.assertTrue(self.link.is_idle)

    async def test_call_is_given_up_when_only_the_new_connection_speaks(self):
        late = await self._fail_by_silence()
        await self._wait_for(lambda: self.link.is_usable)
        self.link.reset_if_silent(read_now() + SILENT_LINGER_S + 0.1)
        async with asyncio.timeout(HANG_S):
            self.assertEqual((await late).outcome, Outcome.UNKNOWN)

    async def test_call_is_kept_while_the_silent_connection_speaks_again(self):
        late = await self._fail_by_silence()
        await self._wait_for(lambda: self.link.is_usable)
        self.ends[0].send(TargetStatus(TargetState.READY))
        self.link.reset_if_silent(read_now() + SILENT_LINGER_S + 0.1)
        self.assertFalse(late.done())
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)

    # Guards against LOST: a connection that had lost packets was closed before
    # the peer's TCP sent the reply on it again.
    async def test_call_is_kept_while_tcp_may_send_its_reply_again(self):
        late = await self._fail_by_silence()
        await self._wait_for(lambda: self.link.is_usable)
        self.link.reset_if_silent(read_now() + USER_TIMEOUT_MS / 1000 - 0.5)
        self.assertFalse(late.done())
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)

    # Guards against LOST: the last replies of a process were dropped when the
    # one started after it answered first.
    async def test_reply_of_the_process_before_still_comes(self):
        self.incarnation = 2
        late = await self._fail_by_silence()
        await self._wait_for(lambda: self.link.is_usable)
        self.assertFalse(late.done())
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)

    async def test_unsafe_call_awaits_the_process_before(self):
        self.incarnation = 2
        call = await self._begin_call(is_idempotent=False)
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        await self._wait_for(lambda: len(self.ends) == 2)
        await self._wait_for(lambda: self.link.is_usable)
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await call, DONE)
        # The process after it does not know the call.
        self.assertEqual(len(self.frames), 1)

    async def test_unsafe_call_ends_with_the_process_before(self):
        self.incarnation = 2
        call = await self._begin_call(is_idempotent=False)
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        await self._wait_for(lambda: len(self.ends) == 2)
        await self._wait_for(lambda: self.link.is_usable)
        # Neither a silence of the new connection sends it there.
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 0.2)
        await self._wait_for(lambda: len(self.ends) == 3)
        await self._wait_for(lambda: self.link.is_usable)
        self.assertFalse(call.done())
        self.ends[0].abort()
        async with asyncio.timeout(HANG_S):
            self.assertEqual((await call).code, codes.LINK_FAILED)
        self.assertEqual(len(self.frames), 1)
        self.assertTrue(self.link.is_idle)

    async def test_call_is_given_up_when_the_peer_accepts_no_connection(self):
        self.server.close()
        late = await self._fail_by_silence()
        async with asyncio.timeout(HANG_S):
            self.assertEqual((await late).outcome, Outcome.UNKNOWN)

    # Guards against LOST: a run was given up for an error of this node (no file
    # descriptor, no route for a moment), which says nothing of the peer.
    async def test_call_is_kept_when_a_new_connection_cannot_be_made(self):
        failed = asyncio.Event()

        async def fail(*_):
            failed.set()
            raise OSError(errno.EMFILE, "too many open files")

        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "create_connection", fail):
            late = await self._fail_by_silence()
            async with asyncio.timeout(HANG_S):
                await failed.wait()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertFalse(late.done())
            self._answer(self.ends[0])
            async with asyncio.timeout(HANG_S):
                self.assertEqual(await late, DONE)

    # Guards against LOST: the last replies of a peer that was stopping waited
    # unread on the old connection when it refused a new one.
    async def test_reply_that_waits_unread_at_a_refusal_is_used(self):
        async def refuse(*_):
            self._answer(self.ends[0])
            raise ConnectionRefusedError

        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "create_connection", refuse):
            late = await self._fail_by_silence()
            async with asyncio.timeout(HANG_S):
                self.assertEqual(await late, DONE)

    # Guards against LOST: a peer that was not scheduled for longer was given up
    # because a new connection was not answered in time.
    async def test_call_is_kept_while_the_new_connection_is_not_answered(self):
        self.is_stalled = True
        late = await self._fail_by_silence()
        await asyncio.sleep(CONNECT_TIMEOUT_S + 0.2)
        self.is_stalled = False
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)

    # Guards against LOST: the reply to an unsafe call was dropped, as its
    # connection had been silent and a new one was not answered yet.
    async def test_unsafe_call_takes_its_reply_from_the_silent_connection(self):
        self.is_stalled = True
        call = await self._begin_call(is_idempotent=False)
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        await self._wait_for(lambda: len(self.ends) == 2)
        self._answer(self.ends[0])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await call, DONE)
        # The peer need not keep it any longer.
        await self._wait_for(lambda: self.cancelled)
        self.assertEqual(self.cancelled, [self.frames[0].call_id])
        self.link.reset_if_silent(read_now())
        await self._wait_for(lambda: not self.ends[0].is_open)
        self.assertTrue(self.link.is_idle)

    async def test_unsafe_call_is_sent_again_on_the_new_connection(self):
        call = await self._begin_call(is_idempotent=False)
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        await self._wait_for(lambda: len(self.frames) == 2)
        self.assertEqual([f.is_resent for f in self.frames], [False, True])
        # The end of the silent connection does not end the call.
        self.link.reset_if_silent(read_now() + SILENT_LINGER_S + 0.1)
        await self._wait_for(lambda: not self.ends[0].is_open)
        self.assertFalse(call.done())
        self._answer(self.ends[1])
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await call, DONE)

    # Guards against runs that nobody wants: the caller left while the link was
    # silent, and the peer was not told.
    async def test_unsafe_call_that_is_given_up_is_cancelled_at_the_peer(self):
        self.is_stalled = True
        call = await self._begin_call(is_idempotent=False)
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        await self._wait_for(lambda: len(self.ends) == 2)
        call.cancel()
        await self._wait_for(lambda: self.ends[0] in self.cancelled_on)
        self.link.reset_if_silent(read_now())
        await self._wait_for(lambda: not self.ends[0].is_open)

    # Guards against LOST: the end of a silent connection ended the new one,
    # with the calls on it.
    async def test_end_of_the_old_connection_leaves_the_new_one(self):
        loop = asyncio.get_running_loop()
        create = loop.create_connection

        async def create_slowly(*args):
            await asyncio.sleep(0.3)
            return await create(*args)

        with mock.patch.object(loop, "create_connection", create_slowly):
            late = await self._fail_by_silence()
            await asyncio.sleep(0.2)
            late.cancel()
            await asyncio.sleep(0)
            self.link.reset_if_silent(read_now())
            await self._wait_for(lambda: len(self.ends) == 2)
            await asyncio.sleep(0.1)
        self.assertTrue(self.ends[1].is_open)

    async def test_late_reply_that_is_not_wanted_cancels_the_call(self):
        late = await self._fail_by_silence()
        late.cancel()
        await self._wait_for(lambda: self.cancelled)
        self.assertEqual(self.cancelled, [self.frames[0].call_id])

    async def test_link_without_bytes_is_replaced(self):
        call = await self._begin_call()
        self.link.reset_if_silent(read_now() + RECEIVE_TIMEOUT_S + 1.0)
        self.assertIs((await call).outcome, Outcome.UNKNOWN)
        await self._wait_for(lambda: len(self.ends) == 2)


if __name__ == "__main__":
    unittest.main()
