"""Tests of calls to nodes that are missing from the roster."""

import asyncio
import unittest

from kumquatwalk.address import Address
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import Message
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.tests.test_link_silence import DONE
from kumquatwalk.mesh.tests.test_link_silence import HANG_S
from kumquatwalk.mesh.tests.test_link_silence import make_call
from kumquatwalk.mesh.tests.test_link_silence import make_hello
from kumquatwalk.outcome import Outcome
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.target_choice import TargetView


class DroppedPeersTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.frames: list[tuple[LinkProtocol, CallFrame]] = []
        await self._listen()
        self.peers = Peers(
            TargetView("shop-1", "z1", "shop"),
            make_hello,
            PeerCallbacks(*(lambda *_: None for _ in range(4))),
            Partition(),
        )
        self.peers.start()
        self.addAsyncCleanup(self._close)

    async def _listen(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: LinkProtocol(_ignore, self._handle, _ignore), "127.0.0.1", 0
        )
        port = self.server.sockets[0].getsockname()[1]
        address = Address("127.0.0.1", port)
        self.entry = RosterEntry("gate-1", 1, "z1", "web", address)

    async def _close(self):
        self.peers.close()
        self.server.close()

    def _handle(self, link: LinkProtocol, message: Message) -> None:
        match message:
            case Hello():
                link.send(make_hello())
            case CallFrame():
                self.frames.append((link, message))

    async def _begin_call(self, is_idempotent: bool) -> asyncio.Task:
        async with asyncio.timeout(HANG_S):
            link = await self.peers.connect("gate-1", HANG_S)
            task = asyncio.create_task(link.call(make_call(is_idempotent)))
            while not self.frames:
                await asyncio.sleep(0.005)
        return task

    # Guards against LOST: a run in progress was given up, and its link closed,
    # as its node was missing from the store and its link was not usable for a
    # moment (a pause, a link that is congested or being replaced).
    async def test_call_goes_on_when_its_node_leaves_the_roster(self):
        for is_idempotent in (True, False):
            with self.subTest(is_idempotent=is_idempotent):
                self.frames.clear()
                self.peers.set_roster([self.entry])
                call = await self._begin_call(is_idempotent)
                self.peers.set_roster([])
                link, frame = self.frames[0]
                link.send(ReplyFrame(frame.call_id, 0, 0, DONE))
                async with asyncio.timeout(HANG_S):
                    self.assertEqual(await call, DONE)

    async def test_call_ends_when_the_link_to_a_node_that_left_is_lost(self):
        for is_idempotent in (True, False):
            with self.subTest(is_idempotent=is_idempotent):
                self.frames.clear()
                self.peers.set_roster([self.entry])
                call = await self._begin_call(is_idempotent)
                self.peers.set_roster([])
                self.assertIsNone(self.peers.find("gate-1"))
                self.server.close()
                self.frames[0][0].abort()
                async with asyncio.timeout(HANG_S):
                    reply = await call
                self.assertIs(reply.outcome, Outcome.UNKNOWN)
                await self._listen()


def _ignore(_link: LinkProtocol) -> None:
    pass


if __name__ == "__main__":
    unittest.main()
