"""Base of the proofs with daemon processes on the platform's interface."""

import pathlib
import tempfile
import unittest

from kumquatwalk.standin.platform_fleet import PlatformFleet

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
