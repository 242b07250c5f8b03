"""Tests of requests that crash each target which runs them."""

import asyncio
import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

NODES = ("web-1", "web-2", "web-3")
POISON = "/web/poison"
# Targets that one request may crash before it is known, and retries of it that
# may reach targets after that.
CRASHES_UNTIL_KNOWN = 3
RETRIES_MAX = 3
ROUNDS = 4
COPIES_PER_NODE = 3


def _choose_script(request):
    is_poison = request.url == POISON.encode()
    return Script(work_s=0.05, crashes=is_poison)


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web",), maxAttempts=3))
        self.addAsyncCleanup(self.fleet.close)
        for number, name in enumerate(NODES):
            await self.fleet.add_node(name, "web", f"z{number}")
        for node in self.fleet.nodes.values():
            node.target.choose_script = _choose_script
        await self.fleet.wait_until_ready()

    def _count_crashes(self) -> int:
        return sum(n.target.crash_count for n in self.fleet.nodes.values())

    async def _restart_crashed(self, round_number: int) -> None:
        for name, node in self.fleet.nodes.items():
            if not node.target.is_running:
                await node.target.restart(f"i-{name}-{round_number}")
                node.sequence = 0
                await self.fleet.send_heartbeat(name, born=2000 + round_number)
        await self.fleet.wait_until_ready()

    async def _send_copies(self, path: str, prefix: str, count: int) -> list:
        calls = [
            self.fleet.call(name, path, f"{prefix}-{name}-{number}")
            for name in NODES
            for number in range(count)
        ]
        return await asyncio.gather(*calls)

    # Guards against incident inc1 (BUDGET): a request ended every target of its
    # service each time they were back.
    async def test_request_stops_crashing_targets_once_three_have_ended(self):
        for number in range(ROUNDS):
            answers = await self._send_copies(
                POISON, f"bad-{number}", COPIES_PER_NODE
            )
            await self._restart_crashed(number)
        self.assertLessEqual(
            self._count_crashes(), CRASHES_UNTIL_KNOWN + RETRIES_MAX
        )
        self.assertEqual({a.status for a in answers}, {503})
        for answer in await self._send_copies("/web/good", "good", 1):
            self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
