"""Tests of the nested calls of a run."""

import unittest

from kumquatwalk import codes
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.native.fleet_config import decode_fleet_config
from kumquatwalk.native.nested_calls import NestedCalls
from kumquatwalk.outcome import Outcome
from kumquatwalk.targets.run import Run
from kumquatwalk.targets.run import RunTable

LIMITS = Limits(100, 1000.0, 3, 5000)
ENTRIES = {
    "pay": Entry("pay", "o", "money", Importance.HIGH, False, LIMITS),
    "look": Entry("look", "o", "money", Importance.NORMAL, True, LIMITS),
}


class ScriptedCallerSide:
    """Caller side that returns given replies in order and records the calls."""

    def __init__(self, replies: list[Reply]):
        self.chains: list[ChainContext] = []
        self.attempt_ids: list[bytes] = []
        self._replies = replies

    async def serve(self, http, caller, route, chain) -> Reply:
        """Record a call and return the next reply."""
        del http, route
        self.chains.append(chain)
        self.attempt_ids.append(caller.attempt_id)
        chain.tokens.close()
        return self._replies[len(self.chains) - 1]


class RunCallsTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.run_record = None
        self.caller_side = None

    def _make_nested_calls(
        self, replies: list[Reply], protected: bool = True
    ) -> NestedCalls:
        call = Call(
            key=1,
            attempt_id=b"request",
            route="buy",
            service="shop",
            caller_service="",
            is_idempotent=not protected,
            is_returning=False,
            rank=3,
            deadline=read_now() + 60.0,
            start_by=read_now() + 60.0,
            method=b"POST",
            url=b"/buy",
            headers=(),
            body=b"",
            depth=1,
            tokens=3,
            is_protected=protected,
        )
        self.run_record = Run(call)
        self.caller_side = ScriptedCallerSide(replies)
        runs = RunTable()
        runs.add(self.run_record)
        configs = ConfigHolder(
            lambda d: decode_fleet_config(d, CallerLimits()), lambda _: None
        )
        configs.update(encode_catalogue(Catalogue(1, ENTRIES)), "test")
        return NestedCalls(configs, runs, self.caller_side)

    def _make_request(
        self, path: bytes = b"/pay", body=b"1", key=b"", context=None
    ):
        context = context or self.run_record.run_id.encode()
        headers = ((b"Kumquat-Context", context),)
        if key:
            headers += ((b"Idempotency-Key", key),)
        return HttpRequest(b"POST", path, headers, body, True, read_now())

    async def test_class_tokens_and_request_come_from_the_run(self):
        calls = self._make_nested_calls([Reply(Outcome.DONE, "", 200)])
        await calls.serve(self._make_request(b"/look"))
        chain = self.caller_side.chains[0]
        self.assertEqual((chain.rank, chain.depth), (3, 2))
        self.assertEqual(chain.deadline, self.run_record.call.deadline)
        self.assertEqual(self.caller_side.attempt_ids, [b"request"])
        self.assertEqual(self.run_record.tokens.left, 3)

    async def test_call_after_the_end_of_its_run_is_refused(self):
        calls = self._make_nested_calls([])
        reply = await calls.serve(self._make_request(context=b"0" * 32))
        self.assertEqual(reply.code, codes.CONTEXT_UNKNOWN)

    async def test_repeat_after_an_unknown_outcome_is_not_run_again(self):
        calls = self._make_nested_calls(
            [Reply(Outcome.UNKNOWN, codes.LINK_FAILED)]
        )
        for _ in range(2):
            reply = await calls.serve(self._make_request())
            self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.caller_side.chains), 1)

    async def test_repeat_gets_the_first_answer(self):
        done = Reply(Outcome.DONE, "", 200, body=b"paid")
        calls = self._make_nested_calls([done])
        replies = [
            await calls.serve(self._make_request(key=b"k")) for _ in "12"
        ]
        self.assertEqual(replies, [done, done])
        self.assertEqual(len(self.caller_side.chains), 1)

    async def test_repeat_after_a_refusal_runs(self):
        done = Reply(Outcome.DONE, "", 200)
        refused = Reply(Outcome.NOT_RUN, codes.OVERLOADED)
        calls = self._make_nested_calls([refused, done])
        await calls.serve(self._make_request())
        self.assertEqual(await calls.serve(self._make_request()), done)

    async def test_calls_with_different_keys_are_different(self):
        done = Reply(Outcome.DONE, "", 200)
        calls = self._make_nested_calls([done, done])
        await calls.serve(self._make_request(key=b"k1"))
        await calls.serve(self._make_request(key=b"k2"))
        self.assertEqual(len(self.caller_side.chains), 2)

    async def test_root_that_may_run_twice_cannot_call_pay(self):
        calls = self._make_nested_calls([], protected=False)
        reply = await calls.serve(self._make_request())
        self.assertEqual(reply.code, codes.UNPROTECTED)
        self.assertIs(reply.outcome, Outcome.NOT_RUN)

    async def test_catalogue_that_violates_a_rule_is_rejected(self):
        calls = self._make_nested_calls([Reply(Outcome.DONE, "", 200)])
        configs = calls._configs  # pylint: disable=protected-access
        broken = dict(ENTRIES)
        broken["look"] = Entry(
            "look", "o", "money", Importance.NORMAL, True, LIMITS, ("none",)
        )
        configs.update(encode_catalogue(Catalogue(9, broken)), "test")
        self.assertEqual(configs.version, 1)


if __name__ == "__main__":
    unittest.main()
