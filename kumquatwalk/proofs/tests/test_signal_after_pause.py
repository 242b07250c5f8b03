"""Test of a stop whose signal comes after a pause of the process."""

import asyncio
import collections
import signal
import unittest

from kumquatwalk.proofs.tests.platform_case import PlatformCase

REQUESTS = 12
WORK_MS = 4600
LIMIT_MS = 5900
PAUSE_S = 1.5


class SignalAfterPauseTest(PlatformCase):

    # Guards against LOST: a stop counted from the beginning of a pause that was
    # over before its signal came, and broke off runs that would have ended.
    async def test_runs_are_answered_when_the_signal_comes_after_the_pause(
        self,
    ):
        node = self.fleet.nodes["n2"]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        node.signal(signal.SIGCONT)
        await asyncio.sleep(0.05)
        others = [n for n in self.fleet.nodes.values() if n is not node]
        before = sum(len(n.target.runs) for n in others)
        calls = [
            asyncio.create_task(self.get_status(node, WORK_MS, LIMIT_MS))
            for _ in range(REQUESTS)
        ]
        async with asyncio.timeout(5.0):
            while sum(len(n.target.runs) for n in others) < before + REQUESTS:
                await asyncio.sleep(0.01)
        node.signal(signal.SIGTERM)
        async with asyncio.timeout(20.0):
            statuses = collections.Counter(await asyncio.gather(*calls))
        self.assertEqual(statuses, {200: REQUESTS})


if __name__ == "__main__":
    unittest.main()
