"""Base of the proofs with daemon processes on the platform's interface."""

import os
import pathlib
import tempfile
import unittest

from kumquatwalk.standin.daemon_fleet import exchange
from kumquatwalk.standin.platform_fleet import PlatformFleet
from kumquatwalk.standin.platform_node import PlatformNode

__all__ = ["PlatformCase"]

NODE_COUNT = 4


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet of daemon processes before each test.

    Attributes:
        fleet: Fleet, served on each node; closed after the test.
    """

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="kumquatwalk-")
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(pathlib.Path(folder.name))
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(NODE_COUNT)

    async def get_status(
        self, node: PlatformNode, work_ms: int, limit_ms: int
    ) -> int:
        """Return the status of a safe request on a new connection.

        Args:
            node: Node that is asked.
            work_ms: Duration of the run, in milliseconds.
            limit_ms: Time for which the caller waits, in milliseconds.
        """
        headers = (
            (b"Attempt-Id", os.urandom(8).hex().encode()),
            (b"Deadline-Ms", b"%d" % limit_ms),
        )
        path = b"/look/%d/10" % work_ms
        listener = node.listeners["outbound"]
        return (await exchange(listener, b"GET", path, headers, b"")).status
