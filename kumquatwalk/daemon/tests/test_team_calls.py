"""Tests that the team of a request reaches admission, metrics and log."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.config.team import Team
from kumquatwalk.config.tests.samples import make_route
from kumquatwalk.daemon import node_reply
from kumquatwalk.daemon.admission_waiter import AdmissionWaiter
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.ingress_admission import IngressAdmission
from kumquatwalk.daemon.metrics import DaemonMetrics
from kumquatwalk.daemon.tests.test_caller_side import CallerSideCase
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.mesh.message import Call


def make_call(team: str) -> Call:
    """Return a call of a team with a minute to run."""
    deadline = read_now() + 60.0
    return Call(
        key=0,
        attempt_id=b"id",
        route="r",
        service="web",
        caller_service="web",
        is_idempotent=True,
        is_returning=False,
        rank=2,
        deadline=deadline,
        start_by=deadline,
        method=b"GET",
        url=b"/",
        headers=(),
        body=b"",
        team=team,
    )


class TeamCallsTest(CallerSideCase):

    async def test_call_of_another_team_overtakes_a_burst(self):
        waiter = AdmissionWaiter()
        waiter.open(1)
        running = await waiter.admit(make_call("large"))
        started = []

        async def run(team):
            await waiter.admit(make_call(team))
            started.append(team)

        tasks = []
        for team in ("large", "large", "large", "small"):
            tasks.append(asyncio.create_task(run(team)))
            await asyncio.sleep(0)
        for key in range(running, running + 2):
            waiter.finish(key, 0.1)
            await asyncio.sleep(0)
        waiter.finish(running + 4, 0.1)
        await asyncio.sleep(0)
        self.assertEqual(started[:2], ["large", "small"])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_ingress_metrics_and_log_get_the_team(self):
        # A team that is shed could not be told from the others.
        team = Team("large", rank=1)
        caller = CallerRequest(b"id", "", None, (), team)
        http = HttpRequest(b"GET", b"/", (), b"", True, read_now())
        with (
            mock.patch.object(
                IngressAdmission, "admits", return_value=False
            ) as admits,
            mock.patch.object(DaemonMetrics, "record_request") as record,
            mock.patch.object(node_reply, "log_event") as log,
        ):
            reply = await self._make_side().serve(http, caller, make_route())
        self.assertEqual(reply.code, codes.OVERLOADED)
        self.assertEqual(admits.call_args.args[-1], team)
        self.assertEqual(record.call_args.args[-1], "large")
        self.assertEqual(log.call_args.kwargs["team"], "large")


if __name__ == "__main__":
    unittest.main()
