"""Tests of calls at a target whose node stops while their caller's does too."""

import asyncio
import json
import unittest

from kumquatwalk.daemon.tests.stop_case import StopCase
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

# The first target is chosen for its run time, unless its stop excludes it.
WORK_S = {"web-1": 0.05, "web-2": 0.4}
SILENT_S = 30.0
GRACE_S = 4.0
# Pause between two requests and between the two stops, in seconds.
PAUSE_S = 0.05
STOP_GAP_S = 1.0
# More than the first stop leaves at any time, and less.
LONG_MS = 5000
SHORT_MS = 2000
# A run that ends within a stop, by which time one more would not.
LONG_RUN_S = 3.0
# A little more than it leaves some time after its begin.
SENT_AFTER_S = 0.3
LEAST_MS = 3500


class OverlappingStopsTest(StopCase):

    async def asyncSetUp(self):
        """Start a node of callers and two with targets that have run."""
        await super().asyncSetUp()
        routes = {"timeoutS": 8.0, "targetLatencyS": 1.0, "maxAttempts": 2}
        config = make_config(("web", "other"), version=2, **routes)
        self.fleet.store.put("op/config", config)
        await self.fleet.add_node("caller", "other", grace_s=GRACE_S)
        for name, work_s in WORK_S.items():
            await self.fleet.add_node(name, "web", grace_s=GRACE_S)
            self._set_work(name, work_s)
        await self.fleet.wait_until_ready()
        await asyncio.gather(
            *(self._call(f"first-{number}") for number in range(20))
        )

    def _set_work(self, name: str, work_s: float) -> None:
        target = self.fleet.nodes[name].target
        target.choose_script = lambda _: Script(work_s=work_s)

    async def _call(self, attempt_id: str, limit_ms: int = LONG_MS) -> str:
        """Return status and code of the answer to an unsafe request."""
        answer = await self.fleet.call(
            "caller", "/web-pay/", attempt_id, limit_ms, b"POST"
        )
        if answer.status == 200:
            return "200"
        return f"{answer.status} {json.loads(answer.body)['error']}"

    def _stop(self, name: str) -> asyncio.Task:
        daemon = self.fleet.nodes[name].daemon

        async def drain_and_close():
            await daemon.drain()
            await daemon.close()

        return asyncio.create_task(drain_and_close())

    async def _call_for(self, seconds: float, limit_ms: int) -> dict:
        """Send requests at a steady rate; return their tasks by identifier."""
        tasks = {}
        for number in range(round(seconds / PAUSE_S)):
            attempt_id = f"{limit_ms}-{number}"
            coroutine = self._call(attempt_id, limit_ms)
            tasks[attempt_id] = asyncio.create_task(coroutine)
            await asyncio.sleep(PAUSE_S)
        return tasks

    # Guards against LOST: a request of a caller was passed on to a target that
    # turned silent, and the stop of the node beside it broke it off while the
    # caller's own node was stopping too.
    async def test_end_of_a_neighbour_breaks_off_no_request(self):
        self._set_work("web-1", SILENT_S)
        neighbour = self._stop("web-1")
        calls = await self._call_for(STOP_GAP_S, LONG_MS)
        await asyncio.gather(neighbour, self._stop("caller"))
        answers = {i: await task for i, task in calls.items()}
        broken = {i: a for i, a in answers.items() if a != "200"}
        self.assertEqual(broken, {})

    # Guards against LOST: the same where no other target takes calls at first.
    # The run ended with the stop, when no time was left to run it elsewhere.
    async def test_run_at_the_last_target_moves_to_one_that_returns(self):
        self._set_work("web-1", SILENT_S)
        await self.fleet.nodes["web-2"].daemon.close()
        neighbour = self._stop("web-1")
        await asyncio.sleep(SENT_AFTER_S)
        call = asyncio.create_task(
            self.fleet.call("caller", "/web/", "moved", LEAST_MS)
        )
        await asyncio.sleep(STOP_GAP_S)
        caller = self._stop("caller")
        await self.fleet.restart_daemon("web-2")
        await self.fleet.send_heartbeat("web-2")
        answer = await call
        await asyncio.gather(neighbour, caller)
        self.assertEqual(answer.status, 200)

    async def _ask_for_long_run(
        self, caller: str = "caller"
    ) -> tuple[asyncio.Task, str, str]:
        """Send a safe request to a node that lasts for most of a stop.

        Returns:
            Its task, the node at whose target it runs, and the other node.
        """
        for name in WORK_S:
            self._set_work(name, LONG_RUN_S)
        call = asyncio.create_task(
            self.fleet.call(caller, "/web/", "long", LONG_MS)
        )
        running = []
        while not running and not call.done():
            await asyncio.sleep(PAUSE_S)
            running = [n for n in WORK_S if self._count_long_runs(n)]
        (other,) = set(WORK_S) - set(running)
        return call, running[0], other

    def _count_long_runs(self, name: str) -> int:
        return self.fleet.nodes[name].target.count_runs("long")

    async def _leave_hedged_run(self, caller: str) -> str:
        """Let a caller leave once its silent run is hedged, until both end.

        Returns:
            The node at whose target the first run was.
        """
        for name in WORK_S:
            self._set_work(name, SILENT_S)
        nodes = [self.fleet.nodes[name] for name in WORK_S]
        call = asyncio.create_task(
            self.fleet.call(caller, "/web/", "long", LONG_MS)
        )
        async with asyncio.timeout(SILENT_S):
            while not any(n.target.count_runs("long") for n in nodes):
                await asyncio.sleep(PAUSE_S)
            (first,) = (n for n in WORK_S if self._count_long_runs(n))
            stop = self._stop(first)
            while not all(n.target.count_runs("long") for n in nodes):
                await asyncio.sleep(PAUSE_S)
            sides = [node.daemon.core.target_side for node in nodes]
            self.assertEqual([s.limiter.running for s in sides], [1, 1])
            self.assertFalse(call.done())
            call.cancel()
            while any(side.limiter.running for side in sides):
                # At the end of the stop they would end in any case.
                self.assertFalse(stop.done())
                await asyncio.sleep(PAUSE_S)
        await stop
        return first

    # Guards against GONE: one of the runs of a hedged request goes on after its
    # caller has left.
    async def test_both_runs_of_a_hedged_request_end_with_their_caller(self):
        await self._leave_hedged_run("caller")

    # Guards against GONE: the same where the first run is at the own target.
    async def test_hedged_run_at_the_own_target_ends_with_its_caller(self):
        self.assertEqual(await self._leave_hedged_run("web-1"), "web-1")

    async def _check_run_goes_on_when_refused_elsewhere(self, caller: str):
        call, name, other = await self._ask_for_long_run(caller)
        refusing = self.fleet.nodes[other].target
        refusing.choose_script = lambda _: Script(status=503, was_not_run=True)
        stop = self._stop(name)
        answer = await call
        await stop
        self.assertEqual(answer.status, 200)

    # Guards against LOST: a run was ended for another target, which refused it.
    async def test_run_goes_on_when_no_other_target_takes_it(self):
        await self._check_run_goes_on_when_refused_elsewhere("caller")

    # Guards against LOST: the same where the node of the other target has
    # begun to stop when the run arrives there.
    async def test_run_goes_on_when_all_nodes_of_its_service_stop(self):
        call, name, other = await self._ask_for_long_run()
        stops = [self._stop(name)]
        while not (self._count_long_runs(other) or call.done()):
            await asyncio.sleep(0)
        stops.append(self._stop(other))
        answer = await call
        await asyncio.gather(*stops)
        self.assertEqual(answer.status, 200)

    # Guards against LOST: the same for a caller beside the target.
    async def test_own_run_goes_on_when_no_other_target_takes_it(self):
        await self._check_run_goes_on_when_refused_elsewhere("web-1")

    # Guards against a target that gets no calls as soon as its node stops,
    # though they end before the node does.
    async def test_calls_that_end_before_the_stop_still_use_its_target(self):
        stop = self._stop("web-1")
        calls = await self._call_for(STOP_GAP_S, SHORT_MS)
        answers = {await task for task in calls.values()}
        await stop
        target = self.fleet.nodes["web-1"].target
        self.assertEqual(answers, {"200"})
        self.assertGreater(sum(map(target.count_runs, calls)), 0)

    # Guards against refusals of all requests when the targets of a service
    # stop together and no other is left.
    async def test_targets_that_stop_together_serve_what_is_quick(self):
        stops = self._stop("web-1"), self._stop("web-2")
        calls = await self._call_for(STOP_GAP_S, LONG_MS)
        answers = {await task for task in calls.values()}
        await asyncio.gather(*stops)
        self.assertEqual(answers, {"200"})


if __name__ == "__main__":
    unittest.main()
