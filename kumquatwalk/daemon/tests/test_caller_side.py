"""Tests of attempts and retries with scripted replies of other nodes."""

import asyncio
import math
import random
import unittest
from collections.abc import Set
from unittest import mock

from kumquatwalk import codes
from kumquatwalk.admission.memory import MemoryAdmission
from kumquatwalk.clock import read_now
from kumquatwalk.config.tests.samples import make_route
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.caller_side import CallerSide
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.daemon.ingress_admission import IngressAdmission
from kumquatwalk.daemon.metrics import DaemonMetrics
from kumquatwalk.daemon.retry_budgets import RetryBudgets
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.daemon.tests.samples import make_settings
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.mesh.late_calls import LateCalls
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import CrashTable
from kumquatwalk.quarantine import CrashTracker
from kumquatwalk.retry.call_tokens import CallTokens
from kumquatwalk.retry.tokens import TokenPool
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState

DONE = Reply(Outcome.DONE, "", 200, body=b"whole")
LOST = Reply(Outcome.UNKNOWN, codes.LINK_FAILED)
UNSENT = Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
QUARANTINED = Reply(Outcome.NOT_RUN, codes.QUARANTINED)
# Guard against a test that hangs, in seconds.
HANG_S = 20.0


class ScriptedPeers:
    """Peers that return scripted replies in order.

    Attributes:
        calls: Node identifier and call of each attempt.
        late: Reply that still comes to one call; None if none does.
        late_index: Index of that call.
        late_calls: Other calls whose replies still come; None if none do.
        on_call: Called with each attempt.
        reply_delay_s: Time that each reply takes, in seconds.
    """

    def __init__(
        self,
        script: list[Reply | None],
        late: asyncio.Future | None = None,
        targets: int = 4,
    ):
        self.late = late
        self.late_index = 0
        self.late_calls: LateCalls | None = None
        self.calls: list[tuple[str, Call]] = []
        self.on_call = lambda: None
        self.reply_delay_s = 0.0
        self.count = 5
        self._script = script
        ready = TargetStatus(TargetState.READY, limit=10)
        self._views = [
            TargetView(
                f"gate-{n}",
                "z1",
                "payments",
                ready,
                updated_at=read_now() + 60.0,
                is_reachable=True,
            )
            for n in range(targets)
        ]

    def list_views(self, service: str) -> list[TargetView]:
        """Return the targets of the one service."""
        del service
        return self._views

    def has_target_beside(self, service: str, node_ids: Set[str]) -> bool:
        """Return whether there is a target at another node."""
        del service
        return any(view.node_id not in node_ids for view in self._views)

    def list_weighted_views(self) -> list:
        """Return no views, so that ingress admission knows of no load."""
        return []

    def list_all_views(self) -> list[TargetView]:
        """Return all targets."""
        return self._views

    async def wait_until_linked(self, service: str, timeout_s: float) -> bool:
        """Wait in vain."""
        del service
        await asyncio.sleep(timeout_s)
        return False

    def find(self, node_id: str) -> "ScriptedLink":
        """Return the link to a node."""
        return ScriptedLink(self, node_id)

    def reply(self, node_id: str, call: Call) -> Reply:
        """Record a call and return the next reply."""
        self.calls.append((node_id, call))
        self.on_call()
        return self._script[len(self.calls) - 1]


class ScriptedLink:
    """Link to one of the scripted peers."""

    def __init__(self, peers: ScriptedPeers, node_id: str):
        self.peers = peers
        self.node_id = node_id

    async def call(self, call: Call) -> Reply:
        """Return the next reply; wait for ever if it is None."""
        reply = self.peers.reply(self.node_id, call)
        if reply is None:
            await asyncio.get_running_loop().create_future()
        if self.peers.reply_delay_s:
            await asyncio.sleep(self.peers.reply_delay_s)
        return reply

    def find_late_reply(self, call: Call) -> asyncio.Future | None:
        """Return the reply that still comes to a call, if any."""
        index = [sent is call for _, sent in self.peers.calls].index(True)
        if index == self.peers.late_index:
            return self.peers.late
        late_calls = self.peers.late_calls
        return None if late_calls is None else late_calls.find(call)


async def _call_and_hedge_second(link: ScriptedLink, call: Call) -> Reply:
    """Return the next reply; the second call is hedged and answered at once."""
    peers = link.peers
    reply = peers.reply(link.node_id, call)
    if len(peers.calls) == 2:
        late_calls = LateCalls(mock.Mock())
        late_calls.add(2, call)
        late_calls.resolve(2, DONE)
        peers.late_calls = late_calls
    return reply


class CallerSideCase(unittest.IsolatedAsyncioTestCase):
    """Case with a caller side whose peers are scripted."""

    def setUp(self):
        self.peers = ScriptedPeers([])
        self.pool = TokenPool(0)
        self.targets = 4
        self.late_index = 0
        self.reply_delay_s = 0.0

    def _make_side(self) -> CallerSide:
        graph = CallGraph()
        return CallerSide(
            make_settings(),
            None,
            TargetView("here", "z1", "web"),
            self.peers,
            TrafficMeter(),
            graph,
            IngressAdmission(self.peers, graph, random.Random(1)),
            RetryBudgets(FleetBounds(), self.peers, graph),
            DaemonMetrics(MetricsRegistry()),
            CrashTracker(CrashTable(), lambda report: None),
            MemoryAdmission(ByteBudget(1 << 20)),
        )

    async def _call(
        self,
        script: list[Reply],
        idempotent: bool,
        tokens: int | None = 3,
        late: asyncio.Future | None = None,
        stops: bool = False,
        taking_s: float = 0.0,
        ends_in_s: float = math.inf,
        **route_fields,
    ) -> Reply:
        self.peers = ScriptedPeers(script, late, self.targets)
        self.peers.late_index = self.late_index
        self.peers.reply_delay_s = self.reply_delay_s
        self.pool = TokenPool(tokens or 0)
        side = self._make_side()
        fields = {
            "attempts_max": 4,
            "repeats_failures": False,
            "timeout_s": 60.0,
            **route_fields,
        }
        route = make_route(
            "payments",
            is_idempotent=idempotent,
            objective_s=60.0,
            **fields,
        )
        now = read_now()
        if stops:
            # The route takes longer than what is left of the stop.
            self.peers.on_call = lambda: side.set_end(now + 5.0, now, now)
        if ends_in_s < math.inf:
            side.set_end(now + ends_in_s, now, now)
        http = HttpRequest(b"POST", b"/pay", (), b"", True, now)
        http.progress.taking_s = taking_s
        caller = CallerRequest(b"id", "", None, ())
        chain = None
        if tokens is not None:
            chain = ChainContext(
                0, 0, now + 60.0, CallTokens(self.pool), not idempotent
            )
        return await side.serve(http, caller, route, chain)


class CallerSideTest(CallerSideCase):

    async def test_answer_is_passed_on(self):
        self.assertEqual(await self._call([DONE], idempotent=False), DONE)
        self.assertEqual(len(self.peers.calls), 1)

    # Guards against LOST: a stop gave back runs that no untried target could
    # take, and their callers got 502.
    async def test_call_without_an_untried_target_is_not_hedgeable(self):
        self.targets = 2
        failed = Reply(Outcome.UNKNOWN, codes.TARGET_FAILED)
        await self._call([failed] * 2, True, tokens=None)
        calls = [call.is_hedgeable for _, call in self.peers.calls]
        self.assertEqual(calls, [True, False])

    # Guards against LOST: a run at a peer that was not scheduled for a while
    # was given up with 502, though its answer came.
    async def test_late_reply_is_awaited_when_no_retry_is_allowed(self):
        late = asyncio.get_running_loop().create_future()
        serving = asyncio.create_task(
            self._call([LOST], True, late=late, attempts_max=1)
        )
        while not self.peers.calls:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(serving.done())
        late.set_result(DONE)
        self.assertEqual(await serving, DONE)

    # Guards against 504 for a request whose answer has come: it was not used
    # while another attempt was in flight.
    async def test_late_reply_ends_an_attempt_that_is_in_flight(self):
        late = asyncio.get_running_loop().create_future()
        serving = asyncio.create_task(self._call([LOST, None], True, late=late))
        while len(self.peers.calls) < 2:
            await asyncio.sleep(0)
        late.set_result(DONE)
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await serving, DONE)

    async def test_retry_that_is_answered_cancels_the_late_reply(self):
        late = asyncio.get_running_loop().create_future()
        reply = await self._call([LOST, DONE], True, late=late)
        self.assertEqual(reply, DONE)
        self.assertTrue(late.cancelled())

    async def test_late_reply_that_cannot_come_leaves_the_outcome_unknown(self):
        late = asyncio.get_running_loop().create_future()
        late.set_result(LOST)
        reply = await self._call([LOST], True, late=late, attempts_max=1)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)

    # Guards against LOST: a run that a stop hedged was refused elsewhere and
    # then lost with its node; though time was left, its caller got 502.
    async def test_run_that_is_lost_after_a_refusal_is_made_again(self):
        self.targets = 2
        refused = Reply(Outcome.NOT_RUN, codes.QUEUE_FULL)
        for script in ([LOST, refused, DONE], [LOST, refused, refused]):
            late = asyncio.get_running_loop().create_future()
            self.peers = ScriptedPeers([])
            serving = asyncio.create_task(
                self._call(script, True, tokens=None, late=late)
            )
            while len(self.peers.calls) < 2:
                await asyncio.sleep(0)
            late.set_result(LOST)
            async with asyncio.timeout(HANG_S):
                reply = await serving
            nodes = [node_id for node_id, _ in self.peers.calls]
            self.assertEqual(len(nodes), 3)
            self.assertEqual(nodes[1], nodes[2])
            expected = script[2] if script[2] is DONE else LOST
            self.assertEqual(reply.outcome, expected.outcome)

    # Guards against 502 for a request that has not run: its attempts were
    # refused, one of them late.
    async def test_late_refusal_is_passed_on_if_no_attempt_may_have_run(self):
        refused = Reply(Outcome.NOT_RUN, codes.QUEUE_FULL)
        for script, attempts_max in (([LOST], 1), ([LOST, QUARANTINED], 2)):
            late = asyncio.get_running_loop().create_future()
            late.set_result(refused)
            reply = await self._call(
                script, True, late=late, attempts_max=attempts_max
            )
            self.assertEqual(len(self.peers.calls), len(script))
            self.assertIs(reply.outcome, Outcome.NOT_RUN)
            self.assertEqual(reply.code, codes.QUEUE_FULL)

    # Guards against "not run" for a request that another attempt may have run.
    async def test_late_refusal_of_one_attempt_says_nothing_of_others(self):
        failed = Reply(Outcome.DONE, "", 500, body=b"x")
        for script, self.late_index in (
            ([LOST, LOST], 0),
            ([LOST, LOST], 1),
            ([failed, LOST], 1),
        ):
            late = asyncio.get_running_loop().create_future()
            late.set_result(Reply(Outcome.NOT_RUN, codes.QUEUE_FULL))
            reply = await self._call(
                script,
                True,
                late=late,
                attempts_max=2,
                repeats_failures=True,
            )
            self.assertEqual(len(self.peers.calls), 2)
            self.assertIs(reply.outcome, Outcome.UNKNOWN)

    async def test_refusal_after_a_lost_attempt_is_not_called_not_run(self):
        reply = await self._call([LOST, QUARANTINED, QUARANTINED], True)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)

    # Guards against LOST: late in a stop a request that could have been sent
    # again was given up as soon as the link to its target failed.
    async def test_lost_attempt_is_made_again_in_a_stop(self):
        reply = await self._call([LOST, DONE], True, tokens=None, stops=True)
        self.assertEqual((reply, len(self.peers.calls)), (DONE, 2))

    async def test_refused_attempt_is_not_made_again_in_a_stop(self):
        refused = Reply(Outcome.NOT_RUN, codes.TARGET_LEAVING)
        reply = await self._call([refused, DONE], True, stops=True)
        self.assertIs(reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(len(self.peers.calls), 1)

    async def test_refusal_after_a_refusal_is_not_run(self):
        refused = Reply(Outcome.NOT_RUN, codes.TARGET_LEAVING)
        script = [refused, QUARANTINED, QUARANTINED]
        reply = await self._call(script, idempotent=True)
        self.assertIs(reply.outcome, Outcome.NOT_RUN)

    async def test_lost_non_idempotent_attempt_is_not_retried(self):
        reply = await self._call([LOST, DONE], idempotent=False)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.peers.calls), 1)

    async def test_unsent_attempt_goes_to_another_node(self):
        reply = await self._call([UNSENT, DONE], idempotent=False)
        self.assertIs(reply.outcome, Outcome.DONE)
        nodes = {node_id for node_id, _ in self.peers.calls}
        keys = {call.key for _, call in self.peers.calls}
        self.assertEqual((len(nodes), len(keys)), (2, 2))

    async def test_lost_reply_loses_its_tokens(self):
        await self._call([LOST] * 10, idempotent=True, tokens=3)
        self.assertLessEqual(len(self.peers.calls), 1 + 3)
        sent = sum(call.tokens for _, call in self.peers.calls)
        repeats = len(self.peers.calls) - 1
        self.assertEqual(self.pool.left, 3 - sent - repeats)

    async def test_attempt_without_tokens_is_the_last(self):
        reply = await self._call([LOST, DONE], idempotent=True, tokens=0)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.peers.calls), 1)

    async def test_failure_of_the_target_is_passed_on_or_retried(self):
        failed = Reply(Outcome.DONE, "", 500, body=b"x")
        reply = await self._call([failed, DONE], idempotent=True)
        self.assertEqual((reply, len(self.peers.calls)), (failed, 1))
        reply = await self._call(
            [failed, DONE], True, tokens=None, repeats_failures=True
        )
        self.assertEqual((reply, len(self.peers.calls)), (DONE, 2))

    async def test_unknown_outcome_is_not_retried_unless_idempotent(self):
        unknown = Reply(Outcome.UNKNOWN, codes.TARGET_CRASHED)
        reply = await self._call([unknown, DONE], idempotent=False)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.peers.calls), 1)

    # Guards against LOST: a stop ended runs whose calls had no attempt left.
    async def test_only_calls_with_an_attempt_left_are_hedgeable(self):
        for idempotent, attempts_max, movable in (
            (True, 2, [True, False]),
            (True, 1, [False]),
            (False, 2, [False]),
        ):
            await self._call(
                [LOST] * 3,
                idempotent,
                tokens=None,
                attempts_max=attempts_max,
            )
            calls = [call.is_hedgeable for _, call in self.peers.calls]
            self.assertEqual(calls, movable)
        await self._call([LOST], True, tokens=0)
        self.assertFalse(self.peers.calls[0][1].is_hedgeable)

    async def test_crash_mark_is_sent_with_the_next_attempt(self):
        crashed = Reply(
            Outcome.UNKNOWN, codes.TARGET_CRASHED, crash_mark=b"mark"
        )
        await self._call([crashed, DONE], idempotent=True)
        self.assertEqual(self.peers.calls[1][1].crash_marks, b"mark")

    # Guards against LOST: an answer was made in time, but not taken before the
    # end of a stop.
    async def test_request_that_is_answered_but_not_taken_in_time_is_refused(
        self,
    ):
        reply = await self._call([DONE], False, taking_s=20.0, ends_in_s=90.0)
        self.assertEqual(reply, DONE)
        reply = await self._call([DONE], False, taking_s=50.0, ends_in_s=90.0)
        self.assertIs(reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.peers.calls, [])


class LateRepliesToAttemptsTest(CallerSideCase):

    # Guards against LOST: the answer to the second attempt came in the turn in
    # which it was hedged, and was dropped while the first was in flight too.
    async def test_reply_that_comes_as_its_attempt_is_hedged_is_used(self):
        late = asyncio.get_running_loop().create_future()
        with mock.patch.object(ScriptedLink, "call", _call_and_hedge_second):
            serving = asyncio.create_task(
                self._call([LOST, LOST], True, late=late, attempts_max=2)
            )
            await asyncio.wait([serving], timeout=HANG_S / 10)
        self.assertTrue(serving.done())
        self.assertEqual(await serving, DONE)

    # Guards against arrivals beyond need: a request was sent again though its
    # answer had come.
    async def test_late_reply_that_has_come_makes_a_retry_needless(self):
        late = asyncio.get_running_loop().create_future()
        late.set_result(DONE)
        serving = self._call([LOST, None], True, late=late)
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await serving, DONE)
        self.assertEqual(len(self.peers.calls), 1)

    # Guards against a run that is broken off, and its answer lost, for another
    # target's error.
    async def test_error_elsewhere_does_not_end_a_hedged_run(self):
        late = asyncio.get_running_loop().create_future()
        failed = Reply(Outcome.DONE, "", 500, body=b"x")
        serving = asyncio.create_task(
            self._call([LOST, failed], True, late=late)
        )
        while len(self.peers.calls) < 2:
            await asyncio.sleep(0)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertFalse(late.cancelled())
        late.set_result(DONE)
        self.assertEqual(await serving, DONE)

    # Guards against 504 in place of the answer that a target has given.
    async def test_error_is_passed_on_when_no_better_answer_comes(self):
        late = asyncio.get_running_loop().create_future()
        failed = Reply(Outcome.DONE, "", 500, body=b"x")
        serving = self._call([LOST, failed], True, late=late, timeout_s=0.2)
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await serving, failed)


if __name__ == "__main__":
    unittest.main()
