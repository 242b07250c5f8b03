"""Tests of requests for which the end of a graceful stop comes too soon."""

import asyncio
import contextlib
import json
import math
import time
import unittest
from unittest import mock

from kumquatwalk.clock import read_now
from kumquatwalk.daemon import caller_side
from kumquatwalk.daemon import process
from kumquatwalk.daemon.core import DaemonCore
from kumquatwalk.daemon.heartbeats import HeartbeatHandler
from kumquatwalk.daemon.platform_interface import PlatformInterface
from kumquatwalk.daemon.process import Daemon
from kumquatwalk.daemon.route_handler import RouteHandler
from kumquatwalk.daemon.target_prober import TargetProber
from kumquatwalk.daemon.tests.stop_case import StopCase
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.client_connection import open_connection
from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.standin import scripted_target
from kumquatwalk.standin.daemon_fleet import HOST
from kumquatwalk.standin.scripted_target import Script

# Time between two requests, in seconds.
PAUSE_S = 0.1
# Outcome of a request whose connection ended without an answer.
CUT = "cut"


class StopEndTest(StopCase):

    async def _add_node(self, name: str, service: str, work_s: float, **bounds):
        node = await self.fleet.add_node(name, service, **bounds)
        node.target.choose_script = lambda _: Script(work_s=work_s)
        return node

    async def _call(
        self, name: str, path: str, attempt_id: str, deadline_ms: int = 8000
    ) -> str:
        """Return status and code of the answer to a request."""
        try:
            answer = await self.fleet.call(
                name, path, attempt_id, deadline_ms, b"POST"
            )
        except ExchangeError as error:
            return CUT if error.sent else "not sent"
        if answer.status == 200:
            return "200"
        return f"{answer.status} {json.loads(answer.body)['error']}"

    async def _call_until(self, name: str, path: str, stop: asyncio.Task):
        """Send requests at a steady rate until a stop has ended.

        Returns:
            For each request, its time of sending after the start of the stop in
            seconds, its outcome, and whether a target has run it.
        """
        began_at = read_now()
        calls = []
        while not stop.done():
            attempt_id = f"id-{len(calls)}"
            task = asyncio.create_task(self._call(name, path, attempt_id))
            calls.append((read_now() - began_at, attempt_id, task))
            # A busy machine sends as many, some of them late.
            next_at = began_at + len(calls) * PAUSE_S
            await asyncio.sleep(max(0.0, next_at - read_now()))
        targets = [n.target for n in self.fleet.nodes.values()]
        return [
            (sent_s, await task, sum(t.count_runs(attempt) for t in targets))
            for sent_s, attempt, task in calls
        ]

    async def _stop(self, name: str) -> None:
        daemon = self.fleet.nodes[name].daemon
        await daemon.drain()
        await daemon.close()

    async def test_request_that_cannot_end_before_the_kill_is_refused(self):
        # Guards against LOST: requests taken late in a stop were run and cut.
        await self._add_node("web-1", "web", 1.2, grace_s=4.2)
        await self.fleet.wait_until_ready()
        self.assertEqual(await self._call("web-1", "/web-pay/", "first"), "200")
        stop = asyncio.create_task(self._stop("web-1"))
        results = await self._call_until("web-1", "/web-pay/", stop)
        ended = [r for r in results if r[2]]
        refused = [r for r in results if r[1] == "503 node_stopping"]
        self.assertEqual([r for r in ended if r[1] != "200"], [])
        self.assertGreater(len(ended), 10)
        self.assertGreater(len(refused), 10)

    async def test_call_that_cannot_end_before_the_kill_is_refused(self):
        # Guards against LOST: calls of other nodes were run and cut.
        await self._add_node("web-1", "web", 2.0, grace_s=4.0)
        await self._add_node("other-1", "other", 0.0)
        await self.fleet.wait_until_ready()
        first = await self._call("other-1", "/web-pay/", "first")
        self.assertEqual(first, "200")
        stop = asyncio.create_task(self._stop("web-1"))
        results = await self._call_until("other-1", "/web-pay/", stop)
        ended = [r for r in results if r[2]]
        self.assertEqual([r for r in ended if r[1] != "200"], [])
        self.assertGreater(len(ended), 2)
        self.assertIn("503 target_leaving", [r[1] for r in results])

    async def test_only_target_serves_short_calls_until_its_end(self):
        # Guards against LOST: a fixed time before the end, calls were refused
        # that would have ended.
        await self._add_node("web-1", "web", 0.1, grace_s=4.0)
        await self._add_node("other-1", "other", 0.0)
        await self.fleet.wait_until_ready()
        first = await self._call("other-1", "/web-pay/", "first")
        self.assertEqual(first, "200")
        # A long call keeps the node from ending before.
        long = asyncio.create_task(
            self._call("other-1", "/web/", "long", deadline_ms=5000)
        )
        node = self.fleet.nodes["web-1"]
        node.target.choose_script = lambda request: Script(
            work_s=3.0 if request.url == b"/web/" else 0.1
        )
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(self._stop("web-1"))
        results = await self._call_until("other-1", "/web-pay/", stop)
        early = {r[1] for r in results if r[0] < 2.5}
        self.assertEqual(early, {"200"})
        self.assertEqual(await long, "200")

    async def test_request_that_outlasts_the_stop_gets_a_true_answer(self):
        # Guards against LOST: requests in progress at the end were cut off.
        await self._add_node("web-1", "web", 6.0, grace_s=2.0)
        await self.fleet.wait_until_ready()
        running = asyncio.create_task(
            self._call("web-1", "/web-pay/", "running")
        )
        limited = asyncio.create_task(
            self._call("web-1", "/web-pay/", "limited", deadline_ms=700)
        )
        await asyncio.sleep(0.2)
        await self._stop("web-1")
        self.assertEqual(await running, "502 node_stopping")
        self.assertEqual(await limited, "504 deadline_exceeded")

    async def test_request_that_was_never_passed_on_is_refused_at_the_end(self):
        # Guards against LOST: requests queued at the end were cut off.
        node = await self._add_node("web-1", "web", 6.0, grace_s=2.0)
        await self.fleet.wait_until_ready()
        await self.fleet.send_heartbeat("web-1", slots=1)
        calls = {
            f"id-{n}": asyncio.create_task(
                self._call("web-1", "/web-pay/", f"id-{n}")
            )
            for n in range(6)
        }
        await asyncio.sleep(0.3)
        queued = node.daemon.core.target_side.limiter.queued
        self.assertGreater(queued, 0)
        await self._stop("web-1")
        for attempt_id, task in calls.items():
            answer = await task
            if node.target.count_runs(attempt_id):
                self.assertEqual(answer, "502 node_stopping")
            else:
                self.assertRegex(answer, "^503 ")

    # Guards against LOST: a request sent over three seconds after SIGTERM was
    # cut off because its target turned slow after it had been taken.
    async def test_target_that_turns_slow_late_in_a_stop_loses_nothing(self):
        node = await self._add_node("web-1", "web", 0.5)
        await self.fleet.wait_until_ready()
        # The longest time of the route is known.
        for _ in range(6):
            await asyncio.gather(
                *(self._call("web-1", "/web-pay/", "x") for _ in range(10))
            )
        stop = asyncio.create_task(self._stop("web-1"))
        calls = asyncio.create_task(
            self._call_until("web-1", "/web-pay/", stop)
        )
        await asyncio.sleep(3.0)
        node.target.choose_script = lambda _: Script(work_s=4.0)
        late = [call for call in await calls if call[0] > 3.0]
        self.assertEqual([c for c in late if c[2] and c[1] != "200"], [])
        self.assertIn("503 node_stopping", [c[1] for c in late])

    # Guards against LOST: the reply of a neighbour came while the process was
    # not scheduled, and the end of the stop was answered before it was read.
    async def test_reply_that_came_before_the_end_is_passed_on(self):
        await self._add_node("web-1", "web", 0.5)
        node = await self._add_node("other-1", "other", 0.0, grace_s=3.0)
        await self.fleet.wait_until_ready()
        stop_admission = node.daemon.core.caller_side.stop_admission
        send = LinkProtocol.send_reply

        def send_and_pause(link, message):
            send(link, message)
            if stop_admission.has_begun:
                time.sleep(max(0.0, stop_admission.ends_at - read_now()) + 0.1)

        with mock.patch.object(LinkProtocol, "send_reply", send_and_pause):
            call = asyncio.create_task(
                self._call("other-1", "/web-pay/", "late", 5000)
            )
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(self._stop("other-1"))
            answer = await call
            await stop
        self.assertEqual(answer, "200")

    # Guards against LOST: the target's answer to a neighbour's call came while
    # the process was not scheduled, and its stop broke the call off.
    async def test_answer_that_came_before_the_last_moment_is_passed_on(self):
        node = await self._add_node("web-1", "web", 2.6, grace_s=3.0)
        await self._add_node("other-1", "other", 0.0)
        await self.fleet.wait_until_ready()
        settles_at = math.inf

        def pause_after_run():
            runs = node.target.runs
            if runs and runs[-1].ended_at is None and settles_at < math.inf:
                time.sleep(max(0.0, settles_at - read_now()) + 0.05)
            return read_now()

        call = asyncio.create_task(
            self._call("other-1", "/web-pay/", "late", 5000)
        )
        await asyncio.sleep(0.1)
        settles_at = read_now() + 3.0 - process.SETTLE_MARGIN_S
        with mock.patch.object(scripted_target, "read_now", pause_after_run):
            await self._stop("web-1")
            self.assertEqual(await call, "200")

    async def test_end_of_the_drain_is_logged(self):
        # Guards against LOST: no log line told what a stop refused or ended.
        await self._add_node("web-1", "web", 6.0, grace_s=2.0)
        await self.fleet.wait_until_ready()
        running = asyncio.create_task(
            self._call("web-1", "/web-pay/", "running")
        )
        await asyncio.sleep(0.2)
        with mock.patch.object(process, "log_event") as log:
            stop = asyncio.create_task(self._stop("web-1"))
            # Less time is left than the objective of the route.
            await asyncio.sleep(0.8)
            late = await self._call("web-1", "/web-pay/", "late")
            await stop
        self.assertEqual(late, "503 node_stopping")
        self.assertEqual(await running, "502 node_stopping")
        fields = {c.args[0]: c.kwargs for c in log.mock_calls}["daemon_drained"]
        del fields["seconds"]
        self.assertEqual(fields, {"owed": 0, "refused": 1, "capped": 1})

    # Guards against LOST that logs cannot place: nothing told whether the reply
    # of a neighbour was not made or did not get here.
    async def test_link_of_an_awaited_reply_is_logged(self):
        await self._add_node("web-1", "web", 6.0)
        await self._add_node("other-1", "other", 0.0, grace_s=2.0)
        await self.fleet.wait_until_ready()
        running = asyncio.create_task(
            self._call("other-1", "/web-pay/", "running")
        )
        await asyncio.sleep(0.2)
        with mock.patch.object(caller_side, "log_event") as log:
            await self._stop("other-1")
        self.assertEqual(await running, "502 node_stopping")
        (call,) = [c for c in log.mock_calls if c.args[0] == "reply_awaited"]
        fields = dict(call.kwargs)
        self.assertLess(fields.pop("silent_s"), math.inf)
        wanted = {"attempt": "running", "asked": "web-1", "usable": True}
        self.assertEqual(fields, wanted)

    async def test_nothing_is_passed_on_while_the_daemon_closes(self):
        # Guards against LOST: a request was passed on after the drain, while
        # other components closed, and cut off.
        node = await self._add_node("web-1", "web", 0.5)
        await node.daemon.close()
        node.daemon = make_daemon_with(node.settings, SlowComponent())
        await node.daemon.start()
        await self.fleet.wait_until_ready()
        drain = asyncio.create_task(node.daemon.drain())
        await asyncio.sleep(2.4)
        address = node.settings.caller_listener
        connection = await open_connection(address, 5.0, 1 << 20)
        await drain
        close = asyncio.create_task(node.daemon.close())
        await asyncio.sleep(0.05)
        headers = (
            (b"Host", HOST.encode()),
            (b"Attempt-Id", b"late"),
            (b"Deadline-Ms", b"5000"),
        )
        data = encode_request(b"POST", b"/web-pay/", headers, b"")
        with contextlib.suppress(ExchangeError):
            await connection.exchange(data, False)
        self.assertEqual(node.target.count_runs("late"), 0)
        await close


class SlowComponent:
    """Component that takes long to close."""

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Wait, as for a connection."""
        await asyncio.sleep(0.4)


def make_daemon_with(settings, component) -> Daemon:
    """Return a daemon with one more component."""
    core = DaemonCore(settings, PlatformInterface())
    handler = RouteHandler(core.configs, core.caller_side)
    heartbeats = HeartbeatHandler(core.target_side)
    return Daemon(
        core,
        HttpServer(settings.caller_listener, handler.handle),
        HttpServer(settings.heartbeat_listener, heartbeats.handle),
        (TargetProber(settings, core.target_side, core.configs), component),
    )


if __name__ == "__main__":
    unittest.main()
