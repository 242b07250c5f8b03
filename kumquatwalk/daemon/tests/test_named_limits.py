"""Tests of the request rate that a target names in its answers."""

import asyncio
import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

LIMIT_PER_S = 2.0
# Bound of the operators' rule on what a target may get beyond its limit, in any
# window.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
REQUESTS = 48
# Time limit of a request, in seconds: no run that is started ends after it.
TIMEOUT_S = 20


class NamedLimitTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web",), timeoutS=TIMEOUT_S))
        self.addAsyncCleanup(self.fleet.close)
        self.first = await self.fleet.add_node("web-1", "web")
        self.second = await self.fleet.add_node("web-2", "web")
        header = b"Server-Limit: %.1f" % LIMIT_PER_S
        self.first.target.choose_script = lambda _: Script(
            work_s=0.01, extra_headers=(header,)
        )
        await self.fleet.wait_until_ready()

    # Guards against LIMIT: a target got several times the rate that it named.
    async def test_target_gets_no_more_than_the_rate_that_it_names(self):
        while not self.first.target.runs:
            await self.fleet.call("web-1", "/web/first", "first")
        answers = await self._check_rate(("web-1", "web-2"))
        served = sum(answer.status == 200 for answer in answers)
        self.assertGreaterEqual(served, REQUESTS // 2)

    # Guards against LIMIT after a restart: nodes that had passed the limit on
    # sent all that waited to the target before its first answer.
    async def test_restarted_node_keeps_to_the_rate_before_the_first_answer(
        self,
    ):
        header = b"Server-Limit: %.1f" % LIMIT_PER_S
        self.first.target.choose_script = lambda _: Script(
            work_s=0.3, extra_headers=(header,)
        )
        self.second.target.choose_script = lambda _: Script(work_s=0.3)
        while not self.first.target.runs:
            await self.fleet.call("web-2", "/web/first", "first")
        await self.fleet.restart_daemon("web-1")
        await self.fleet.wait_until_ready()
        for name in ("web-1", "web-2"):
            await self.fleet.send_heartbeat(name, slots=100)
        await self._check_rate(("web-2",))

    async def _check_rate(self, callers: tuple[str, ...]) -> list:
        runs_before = len(self.first.target.runs)
        answers = await asyncio.gather(
            *(
                self.fleet.call(
                    callers[n % len(callers)],
                    f"/web/{n}",
                    f"{n}",
                    deadline_ms=1000 * TIMEOUT_S,
                )
                for n in range(REQUESTS)
            )
        )
        times = [run.at for run in self.first.target.runs[runs_before:]]
        for begin in times:
            count = sum(begin <= at <= begin + WINDOW_S for at in times)
            self.assertLessEqual(
                count, LIMIT_FACTOR * LIMIT_PER_S * WINDOW_S + LIMIT_SLACK
            )
        statuses = {answer.status for answer in answers}
        self.assertLessEqual(statuses, {200, 503})
        return answers


if __name__ == "__main__":
    unittest.main()
