"""Tests of the entry side with a gate and links that follow a script."""

import random
import time
import unittest

from kumquatwalk import codes
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.exception import LinkError
from kumquatwalk.link.call import Call
from kumquatwalk.link.peer import Peer
from kumquatwalk.link.reply import Reply
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.node.entry import EntrySide
from kumquatwalk.node.intent import CallIntent
from kumquatwalk.node.meters import NodeMeters
from kumquatwalk.node.refusal import fail_unknown
from kumquatwalk.node.refusal import refuse
from kumquatwalk.outcome import Outcome
from kumquatwalk.retry.budget import RetryBudget
from kumquatwalk.retry.share import CallTokens
from kumquatwalk.retry.tokens import TokenPool
from kumquatwalk.routing.levels import EntryLevels
from kumquatwalk.routing.table import RouteTable

DONE = Reply(Outcome.DONE, "", 200, body=b"whole")
LOST = LinkError("link_silent", "silent", sent=True)
UNSENT = LinkError("link_failed", "refused", sent=False)


class ScriptedLinks:
    """Stand-in for the pool of links: plays results in order.

    Attributes:
        calls: Attempts received.
    """

    def __init__(self, script: list):
        self.calls: list[tuple[str, Call]] = []
        self._script = script

    def call(self, peer: Peer, call: Call, _deadline: float) -> Reply:
        """Return or raise the next result."""
        self.calls.append((peer.node_id, call))
        result = self._script[len(self.calls) - 1]
        if isinstance(result, Exception):
            raise result
        return result


def _make_member(node_id: str) -> Member:
    target = TargetInfo("payments", 10, 100, TargetState.READY)
    return Member(node_id, 1, 1, "z1", "127.0.0.1", 1, 1, target=target)


class EntrySideTest(unittest.TestCase):

    def _call(
        self, script: list, idempotent: bool, tokens: int = 3
    ) -> tuple[Reply, ScriptedLinks, TokenPool]:
        routes = RouteTable("z1", random.Random(1))
        routes.update(_make_member(f"gate-{n}") for n in range(4))
        links = ScriptedLinks(script)
        pool = TokenPool(tokens)
        side = EntrySide(
            "entry",
            None,
            routes,
            EntryLevels(),
            links,
            RetryBudget(),
            NodeMeters(MetricsRegistry()),
        )
        limits = Limits(100, 1000.0, tokens, 5000)
        entry = Entry(
            "pay", "o", "payments", Importance.HIGH, idempotent, limits
        )
        intent = CallIntent(
            entry=entry,
            method="POST",
            url=b"/pay",
            headers=b"",
            body=b"",
            request_id=b"r" * 16,
            priority=0,
            depth=0,
            deadline=time.monotonic() + 60.0,
            tokens=CallTokens(pool),
            protected=not idempotent,
        )
        return side.make_call(intent), links, pool

    def test_answer_is_passed_on(self):
        reply, links, _ = self._call([DONE], idempotent=False)
        self.assertEqual(reply, DONE)
        self.assertEqual(len(links.calls), 1)

    def test_refusal_after_a_lost_attempt_is_not_called_not_run(self):
        script = [LOST, refuse(codes.QUARANTINED)]
        reply, _, _ = self._call(script, idempotent=True)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(reply.code, codes.QUARANTINED)

    def test_refusal_after_a_refusal_is_not_run(self):
        script = [refuse(codes.TARGET_LEAVING), refuse(codes.QUARANTINED)]
        reply, _, _ = self._call(script, idempotent=True)
        self.assertIs(reply.outcome, Outcome.NOT_RUN)

    def test_lost_attempt_that_is_not_idempotent_stays_with_its_gate(self):
        reply, links, _ = self._call([LOST, DONE], idempotent=False)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(links.calls), 1)

    def test_unsent_attempt_goes_to_another_gate(self):
        reply, links, _ = self._call([UNSENT, DONE], idempotent=False)
        self.assertIs(reply.outcome, Outcome.DONE)
        nodes = {node_id for node_id, _ in links.calls}
        attempts = {call.attempt_id for _, call in links.calls}
        self.assertEqual((len(nodes), len(attempts)), (2, 2))

    def test_lost_reply_loses_its_tokens(self):
        script = [LOST] * 10
        _, links, pool = self._call(script, idempotent=True, tokens=3)
        self.assertLessEqual(len(links.calls), 1 + 3)
        self.assertEqual(pool.left, 0)

    def test_failure_of_the_target_is_passed_on_without_a_retry(self):
        failed = Reply(Outcome.FAILED, codes.TARGET_FAILED, 500, body=b"x")
        reply, links, _ = self._call([failed], idempotent=True)
        self.assertEqual(reply, failed)
        self.assertEqual(len(links.calls), 1)

    def test_unknown_of_the_gate_is_not_repeated_unless_idempotent(self):
        unknown = fail_unknown(codes.TARGET_CRASHED)
        reply, links, _ = self._call([unknown, DONE], idempotent=False)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(links.calls), 1)
