"""Tests of calls that wait for a link while their own process pauses."""

import asyncio
import unittest

from kumquatwalk.daemon.peers import Peers
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.tests.test_link_silence import make_hello
from kumquatwalk.mesh.tests.test_own_pause import LOOP_FACTORIES
from kumquatwalk.mesh.tests.test_own_pause import Peer
from kumquatwalk.mesh.tests.test_own_pause import WAIT_S
from kumquatwalk.mesh.tests.test_own_pause import make_pause
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.target_choice import TargetView


async def wait_in_pause() -> bool:
    """Return whether a target is reachable to a call that waits in a pause."""
    peer = Peer(make_pause())
    peers = Peers(
        TargetView("shop-1", "z1", "shop"),
        make_hello,
        PeerCallbacks(*(lambda *_: None for _ in range(4))),
        Partition(),
    )
    peers.set_roster([RosterEntry("gate-1", 1, "z1", "web", peer.address)])
    is_linked = await peers.wait_until_linked("web", WAIT_S)
    peers.close()
    peer.close()
    return is_linked


class OwnPauseTest(unittest.TestCase):

    # Guards against requests that are refused although the link for which they
    # wait is answered: their node was not scheduled.
    def test_link_that_is_answered_in_a_pause_is_found(self):
        for factory in LOOP_FACTORIES:
            with self.subTest(factory.__module__):
                with asyncio.Runner(loop_factory=factory) as runner:
                    self.assertTrue(runner.run(wait_in_pause()))


if __name__ == "__main__":
    unittest.main()
