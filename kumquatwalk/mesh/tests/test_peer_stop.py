"""Tests of when calls must have ended at a peer that is stopping."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.address import Address
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.routing.target_choice import TargetView

HANG_S = 20.0
# The peer's clock is ahead by this much, in seconds.
OFFSET_S = 50.0
STOP_LEFT_S = 3.0
LATE_S = 1.0


class PeerStopTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.now = 100.0
        clock = mock.patch(
            "kumquatwalk.mesh.peer_link.read_now", lambda: self.now
        )
        clock.start()
        self.addCleanup(clock.stop)
        self.statuses: list[TargetStatus] = []
        self.ends: list[LinkProtocol] = []
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: LinkProtocol(
                self.ends.append, self._handle, lambda _: None
            ),
            "127.0.0.1",
            0,
        )
        self.addCleanup(server.close)
        self.view = TargetView("gate-1", "z1", "web")
        callbacks = PeerCallbacks(
            lambda _, status: self.statuses.append(status),
            *(lambda *_: None for _ in range(3)),
        )
        link = PeerLink(
            Address("127.0.0.1", server.sockets[0].getsockname()[1]),
            self.view,
            self._make_hello,
            callbacks,
            Partition(),
        )
        link.start()
        self.addCleanup(lambda: [end.abort() for end in self.ends])
        self.addCleanup(link.close)
        async with asyncio.timeout(HANG_S):
            while not link.incarnation:
                await asyncio.sleep(0.005)

    def _make_hello(self, _receiver: str = "") -> Hello:
        clock_s = self.now + OFFSET_S
        return Hello("gate-1", 1, "z1", "web", "127.0.0.1", 1, clock_s)

    def _handle(self, link, message) -> None:
        if isinstance(message, Hello):
            link.send(self._make_hello())

    async def _send_status(self, status: TargetStatus, late_s: float) -> None:
        """Send a status, which is read some time later."""
        count = len(self.statuses)
        self.ends[0].send(status)
        self.now += late_s
        async with asyncio.timeout(HANG_S):
            while len(self.statuses) == count:
                await asyncio.sleep(0.005)

    # Guards against LOST: a node that had not been scheduled for a while took a
    # peer's stop to end later than it does, and sent it calls that outlast it.
    async def test_stop_whose_status_is_read_late_ends_when_the_peer_says(self):
        sent_at = self.now
        status = TargetStatus(
            is_stopping=True,
            stop_left_s=STOP_LEFT_S,
            clock_s=sent_at + OFFSET_S,
        )
        await self._send_status(status, LATE_S)
        self.assertAlmostEqual(self.view.ends_at, sent_at + STOP_LEFT_S, 2)

    async def test_stop_of_a_peer_without_a_clock_counts_from_the_reading(self):
        status = TargetStatus(is_stopping=True, stop_left_s=STOP_LEFT_S)
        await self._send_status(status, LATE_S)
        self.assertAlmostEqual(self.view.ends_at, self.now + STOP_LEFT_S, 2)

    # The first message was read late, so the offset was taken for too small.
    async def test_stop_never_ends_later_than_counted_from_the_reading(self):
        self.now += 2 * LATE_S
        status = TargetStatus(
            is_stopping=True,
            stop_left_s=STOP_LEFT_S,
            clock_s=self.now + OFFSET_S + LATE_S,
        )
        await self._send_status(status, 0.0)
        self.assertAlmostEqual(self.view.ends_at, self.now + STOP_LEFT_S, 2)

    async def test_peer_that_is_not_stopping_has_no_end(self):
        await self._send_status(TargetStatus(clock_s=self.now + OFFSET_S), 0.0)
        self.assertEqual(self.view.ends_at, float("inf"))


if __name__ == "__main__":
    unittest.main()
