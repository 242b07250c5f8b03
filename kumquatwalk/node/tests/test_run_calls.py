"""Tests of the calls that a run makes."""

import time
import unittest

from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.link.call import Call
from kumquatwalk.link.reply import Reply
from kumquatwalk.node.intent import CallIntent
from kumquatwalk.node.refusal import fail_unknown
from kumquatwalk.node.refusal import refuse
from kumquatwalk.node.run import Run
from kumquatwalk.node.run_calls import RunCalls
from kumquatwalk.node.runs import RunTable
from kumquatwalk.outcome import Outcome

LIMITS = Limits(100, 1000.0, 3, 5000)
ENTRIES = {
    "pay": Entry("pay", "o", "money", Importance.HIGH, False, LIMITS),
    "look": Entry("look", "o", "money", Importance.NORMAL, True, LIMITS),
}


class ScriptedEntry:
    """Entry side that plays replies in order and keeps the calls."""

    def __init__(self, replies: list[Reply]):
        self.intents: list[CallIntent] = []
        self._replies = replies

    def make_call(self, intent: CallIntent) -> Reply:
        """Return the next reply."""
        self.intents.append(intent)
        intent.tokens.close()
        return self._replies[len(self.intents) - 1]


class RunCallsTest(unittest.TestCase):

    def setUp(self):
        self.run_record = None
        self.entry_side = None

    def _make(self, replies: list[Reply], protected: bool = True) -> RunCalls:
        call = Call(
            b"a" * 16,
            b"r" * 16,
            "buy",
            "POST",
            b"/buy",
            b"",
            b"",
            priority=7,
            depth=1,
            tokens=3,
            idempotent=not protected,
            protected=protected,
            remaining_us=0,
        )
        self.run_record = Run(call, time.monotonic() + 60.0)
        self.entry_side = ScriptedEntry(replies)
        runs = RunTable()
        runs.add(self.run_record)
        replica = CatalogueReplica(Catalogue(1, ENTRIES))
        return RunCalls(replica, runs, self.entry_side)

    def _request(self, path: bytes = b"/pay", body=b"1", key=b"", context=None):
        context = context or self.run_record.run_id.encode()
        headers = {b"Kumquat-Context": context}
        if key:
            headers[b"Idempotency-Key"] = key
        return HttpRequest("POST", path, headers, body)

    def test_class_tokens_and_request_come_from_the_run(self):
        calls = self._make([Reply(Outcome.DONE, "", 200)])
        calls.serve(self._request(b"/look"))
        intent = self.entry_side.intents[0]
        self.assertEqual(intent.priority, 7)
        self.assertEqual(intent.depth, 2)
        self.assertEqual(intent.request_id, b"r" * 16)
        self.assertEqual(self.run_record.tokens.left, 3)

    def test_call_after_the_end_of_its_run_is_refused(self):
        calls = self._make([])
        reply = calls.serve(self._request(context=b"0" * 32))
        self.assertEqual(reply.code, "context_unknown")

    def test_repeat_after_an_unknown_outcome_is_not_run_again(self):
        calls = self._make([fail_unknown("link_silent")])
        for _ in range(2):
            reply = calls.serve(self._request())
            self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.entry_side.intents), 1)

    def test_repeat_gets_the_first_answer(self):
        done = Reply(Outcome.DONE, "", 200, body=b"paid")
        calls = self._make([done])
        replies = [calls.serve(self._request(key=b"k")) for _ in range(2)]
        self.assertEqual(replies, [done, done])
        self.assertEqual(len(self.entry_side.intents), 1)

    def test_repeat_after_a_refusal_runs(self):
        done = Reply(Outcome.DONE, "", 200)
        calls = self._make([refuse("overloaded"), done])
        calls.serve(self._request())
        self.assertEqual(calls.serve(self._request()), done)

    def test_other_key_is_another_call(self):
        done = Reply(Outcome.DONE, "", 200)
        calls = self._make([done, done])
        calls.serve(self._request(key=b"k1"))
        calls.serve(self._request(key=b"k2"))
        self.assertEqual(len(self.entry_side.intents), 2)

    def test_root_that_may_run_twice_cannot_pay(self):
        calls = self._make([], protected=False)
        reply = calls.serve(self._request())
        self.assertEqual(reply.code, "unprotected")
        self.assertIs(reply.outcome, Outcome.NOT_RUN)
