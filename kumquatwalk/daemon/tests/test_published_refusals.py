"""Tests that nodes learn from each other which services refuse calls."""

import asyncio
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

HANG_S = 20.0
REFUSED = Script(status=503, was_not_run=True)


class PublishedRefusalsTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        self.fleet.admits_by_retries = True
        await self.fleet.start(make_config(("web", "deep"), maxAttempts=2))
        self.addAsyncCleanup(self.fleet.close)
        for name, service in (
            ("web-1", "web"),
            ("web-2", "web"),
            ("deep-1", "deep"),
            ("deep-2", "deep"),
        ):
            await self.fleet.add_node(name, service, f"z{name[-1]}")
        await self.fleet.wait_until_ready()

    async def _call_until(self, is_done) -> None:
        async with asyncio.timeout(HANG_S):
            number = 0
            while not is_done():
                number += 1
                await self.fleet.call("web-1", "/deep/", f"id-{number}")
                await asyncio.sleep(0.02)

    # Guards against an ingress that begins requests whose calls are refused
    # elsewhere, and against one that goes on to refuse them.
    async def test_refusals_and_their_end_are_known_in_the_other_zone(self):
        core = self.fleet.nodes["web-2"].daemon.core
        refusals = core._refusals  # pylint: disable=protected-access

        def list_services():
            counts = {"web": 2}
            return refusals.list_services(counts, counts, read_now())

        for name in ("deep-1", "deep-2"):
            target = self.fleet.nodes[name].target
            target.choose_script = lambda _: REFUSED
        await self._call_until(list_services)
        service = list_services()["deep"]
        self.assertEqual(service.attempts_max, 2)
        self.assertGreater(service.refused_share, 0.9)
        for name in ("deep-1", "deep-2"):
            target = self.fleet.nodes[name].target
            target.choose_script = lambda _: Script()
        await self._call_until(lambda: not list_services())


if __name__ == "__main__":
    unittest.main()
