"""Tests that calls outlive a pause of a node, at its end and at the peer's."""

import asyncio
import collections
import signal
import unittest

from kumquatwalk.proofs.tests.platform_case import PlatformCase

REQUESTS = 12
WORK_MS = 2500
LIMIT_MS = 5000
# Longer than links may be silent, shorter than the runs.
PAUSE_S = 1.8
HANG_GUARD_S = 20.0


class PausedPeerTest(PlatformCase):

    async def check_pause(self, choose_paused):
        """Pause a node while the one that took requests stops."""
        taking = self.fleet.nodes["n2"]
        others = [n for n in self.fleet.nodes.values() if n is not taking]
        before = {n.name: len(n.target.runs) for n in others}

        def count_runs(node):
            return len(node.target.runs) - before[node.name]

        async with asyncio.timeout(HANG_GUARD_S):
            calls = [
                asyncio.create_task(self.get_status(taking, WORK_MS, LIMIT_MS))
                for _ in range(REQUESTS)
            ]
            while sum(map(count_runs, others)) < REQUESTS:
                await asyncio.sleep(0.01)
            running = max(others, key=count_runs)
            taking.signal(signal.SIGTERM)
            paused = choose_paused(taking, running)
            paused.signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            paused.signal(signal.SIGCONT)
            statuses = collections.Counter(await asyncio.gather(*calls))
        self.assertEqual(statuses, {200: REQUESTS})

    # Guards against LOST: a stopping node answered 502 for runs at work at a
    # peer whose process had not been scheduled for a time.
    async def test_runs_are_answered_after_a_pause_of_their_node(self):
        await self.check_pause(lambda _, running: running)

    # Guards against LOST: a stopping node that had not been scheduled for a
    # time took all its links for dead.
    async def test_runs_are_answered_after_a_pause_of_the_node_that_took_them(
        self,
    ):
        await self.check_pause(lambda taking, _: taking)


if __name__ == "__main__":
    unittest.main()
