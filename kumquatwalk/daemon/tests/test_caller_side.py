"""Tests of attempts and retries with scripted replies of other nodes."""

import math
import random
import unittest

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


class ScriptedPeers:
    """Peers that return scripted replies in order.

    Attributes:
        calls: Node identifier and call of each attempt.
    """

    def __init__(self, script: list[Reply]):
        self.calls: list[tuple[str, Call]] = []
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
            for n in range(4)
        ]

    def list_views(self, service: str) -> list[TargetView]:
        """Return the targets of the one service."""
        del service
        return self._views

    def list_weighted_views(self) -> list:
        """Return no views, so that ingress admission knows of no load."""
        return []

    def list_all_views(self) -> list[TargetView]:
        """Return all targets."""
        return self._views

    def find(self, node_id: str) -> "ScriptedLink":
        """Return the link to a node."""
        return ScriptedLink(self, node_id)

    def reply(self, node_id: str, call: Call) -> Reply:
        """Record a call and return the next reply."""
        self.calls.append((node_id, call))
        return self._script[len(self.calls) - 1]


class ScriptedLink:
    """Link to one of the scripted peers."""

    def __init__(self, peers: ScriptedPeers, node_id: str):
        self._peers = peers
        self._node_id = node_id

    async def call(self, call: Call) -> Reply:
        """Return the next reply."""
        return self._peers.reply(self._node_id, call)


class CallerSideTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.peers = ScriptedPeers([])
        self.pool = TokenPool(0)

    async def _call(
        self,
        script: list[Reply],
        idempotent: bool,
        tokens: int | None = 3,
        taking_s: float = 0.0,
        ends_in_s: float = math.inf,
        **route_fields,
    ) -> Reply:
        self.peers = ScriptedPeers(script)
        self.pool = TokenPool(tokens or 0)
        graph = CallGraph()
        side = CallerSide(
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
        fields = {"attempts_max": 4, "repeats_failures": False, **route_fields}
        route = make_route(
            "payments",
            is_idempotent=idempotent,
            timeout_s=60.0,
            objective_s=60.0,
            **fields,
        )
        now = read_now()
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

    async def test_answer_is_passed_on(self):
        self.assertEqual(await self._call([DONE], idempotent=False), DONE)
        self.assertEqual(len(self.peers.calls), 1)

    async def test_refusal_after_a_lost_attempt_is_not_called_not_run(self):
        reply = await self._call([LOST, QUARANTINED, QUARANTINED], True)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)

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


if __name__ == "__main__":
    unittest.main()
