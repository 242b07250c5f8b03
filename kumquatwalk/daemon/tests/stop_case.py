"""Base of the tests of requests that a graceful stop meets."""

import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config

__all__ = ["StopCase"]


class StopCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet without nodes, whose routes outlast a stop.

    Attributes:
        fleet: Fleet with the services ``web`` and ``other``; closed after the
            test.
    """

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        config = make_config(
            ("web", "other"), timeoutS=8.0, targetLatencyS=1.0, maxAttempts=1
        )
        await self.fleet.start(config)
        self.addAsyncCleanup(self.fleet.close)
