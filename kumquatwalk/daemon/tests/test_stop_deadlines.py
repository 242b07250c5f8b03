"""Tests of the time limits that targets are handed during a graceful stop."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.admission import stop
from kumquatwalk.daemon import open_runs
from kumquatwalk.daemon.tests.stop_case import StopCase
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.routing import settled_routes
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.standin.scripted_target import Script

GRACE_S = 4.0
# Time from the beginning of a stop to a call, in seconds.
CALL_AFTER_S = 1.5
# Long enough for an answer of the target on a busy machine.
MARGIN_S = 0.8
GRACE_AFTER_LIMIT_S = 0.7
LIMIT_MS = 8000
SLOW_S = 8.0


def respect_limit(request: HttpRequest) -> Script:
    """Return the script of a slow target that stops work at its time limit."""
    limit_s = int(request.find_header(b"deadline-ms")) / 1000.0
    if limit_s < SLOW_S:
        return Script(work_s=limit_s, status=504, body=b"time limit")
    return Script(work_s=SLOW_S)


def read_limit_ms(request: HttpRequest) -> int:
    """Return the time limit that a target was handed."""
    return int(request.find_header(b"deadline-ms"))


class StopDeadlineTest(StopCase):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.web = await self.fleet.add_node("web-1", "web", grace_s=GRACE_S)
        self.other = await self.fleet.add_node("other-1", "other")
        await self.fleet.wait_until_ready()
        # On the platform's interface a nested call is known by its route only.
        for patch in (
            mock.patch.object(CallGraph, "is_internal", return_value=True),
            mock.patch.object(settled_routes, "SETTLED_S", 0.0),
            mock.patch.object(stop, "DEADLINE_MARGIN_S", MARGIN_S),
            mock.patch.object(
                open_runs, "DEADLINE_GRACE_S", GRACE_AFTER_LIMIT_S
            ),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    async def _call(
        self, name: str, path: str, method: bytes = b"GET"
    ) -> HttpResponse:
        return await self.fleet.call(name, path, "id", LIMIT_MS, method)

    async def _call_in_stop(self, name: str, path: str) -> HttpResponse:
        """Return the answer to an unsafe call during the stop of ``web-1``.

        A run in progress keeps the node from ending before.
        """
        self.web.target.choose_script = lambda _: Script(work_s=SLOW_S)
        run = asyncio.create_task(self._call("web-1", "/web/run"))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(self.web.daemon.drain())
        await asyncio.sleep(CALL_AFTER_S)
        self.web.target.choose_script = respect_limit
        self.other.target.choose_script = respect_limit
        answer = await self._call(name, path, b"POST")
        await drain
        self.assertEqual((await run).status, 502)
        return answer

    def _check_own_answer(self, answer: HttpResponse) -> None:
        self.assertEqual((answer.status, answer.body), (504, b"time limit"))
        self.assertIsNotNone(answer.find_header(b"server-seal"))

    # Guards against LOST: a call passed on in a stop, whose target had turned
    # slow, was broken off and answered 502 at the end of its caller's node.
    async def test_call_to_another_node_ends_before_the_stop_of_its_caller(
        self,
    ):
        self._check_own_answer(await self._call_in_stop("web-1", "/other-pay/"))

    # Guards against answers which say that the request's time was over, where
    # only that of the stop was.
    async def test_silent_target_does_not_count_as_the_end_of_the_time(self):
        self.other.target.choose_script = lambda _: Script(work_s=SLOW_S)
        before = asyncio.create_task(self._call("web-1", "/other/before"))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(self.web.daemon.drain())
        await asyncio.sleep(CALL_AFTER_S)
        answer = await self._call("web-1", "/other-pay/", b"POST")
        await drain
        wanted = 502, b'{"error":"node_stopping"}\n'
        self.assertEqual((answer.status, answer.body), wanted)
        self.assertEqual((await before).status, 502)

    # Guards against LOST: the same at the stopping node's own target.
    async def test_call_to_the_own_target_ends_before_the_stop(self):
        self._check_own_answer(await self._call_in_stop("web-1", "/web-pay/"))

    # Guards against LOST: a call that a stopping node took from a peer, whose
    # target had turned slow, was broken off at the end of that node.
    async def test_call_of_a_peer_ends_before_the_stop_of_its_target(self):
        self._check_own_answer(await self._call_in_stop("other-1", "/web-pay/"))

    # Guards against answers lost to shorter limits: those of requests passed on
    # before the stop, or that end before it does, are handed out as they are.
    async def test_other_limits_are_not_shortened(self):
        self.other.target.choose_script = lambda _: Script(work_s=2.0)
        before = asyncio.create_task(self._call("web-1", "/other/before"))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(self.web.daemon.drain())
        await asyncio.sleep(0.1)
        short = self.fleet.call("web-1", "/other/short", "id", 2900)
        self.assertEqual((await short).status, 200)
        self.assertEqual((await before).status, 200)
        await drain
        limits = [read_limit_ms(r.request) for r in self.other.target.runs]
        self.assertGreater(limits[0], 1000.0 * GRACE_S)
        self.assertGreater(limits[1], 2900 - 1000.0 * MARGIN_S)
        self.assertLessEqual(limits[1], 2900)


if __name__ == "__main__":
    unittest.main()
