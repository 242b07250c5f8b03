"""Tests that a claimed key runs at most once over several entry nodes."""

import collections
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from kumquatwalk.catalogue import Importance
from kumquatwalk.idempotency import Answered
from kumquatwalk.idempotency import AnswerEvicted
from kumquatwalk.idempotency import ClaimBudget
from kumquatwalk.idempotency import Claimed
from kumquatwalk.idempotency import ClaimStore
from kumquatwalk.idempotency import ClaimUnavailable
from kumquatwalk.idempotency import InProgress
from kumquatwalk.idempotency import NodeIdentity
from kumquatwalk.idempotency import OwnedBy
from kumquatwalk.idempotency import RecordExpired
from kumquatwalk.idempotency import RequestTable
from kumquatwalk.idempotency import RunNow
from kumquatwalk.idempotency.claim_store import is_claim_late
from kumquatwalk.idempotency.tests.fake_platform import CrashError
from kumquatwalk.idempotency.tests.fake_platform import FakePlatform
from kumquatwalk.idempotency.tests.fake_platform import Fault
from kumquatwalk.idempotency.tests.fake_platform import run_without_loop
from kumquatwalk.outcome import Outcome

NODES = 3
KEYS = 3
TIMEOUT_S = 10.0
MAX_DEPTH = 2
BODY = b"body"


class Node:
    """Entry node without a network."""

    def __init__(self, platform, number, incarnation):
        self.identity = NodeIdentity(f"n{number}", incarnation)
        self.table = RequestTable(len, max_requests=2, max_answer_bytes=40)
        self.claim_store = ClaimStore(
            platform,
            self.identity,
            ClaimBudget(1000.0, 1000.0),
            clock=lambda: platform.now,
            read_unix_ms=lambda: int(platform.now * 1000),
        )


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Repeats keys at all nodes while nodes and the platform fail."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform(self.draw_fault, self.interleave)
        self.nodes = [Node(self.platform, n, 1) for n in range(NODES)]
        self.runs = collections.Counter()
        self.answers = {}
        self.data = None
        self.depth = 0

    def draw_fault(self):
        """Draw the fault of one operation; ``NONE`` outside a fault rule."""
        if self.data is None:
            return Fault.NONE
        return self.data.draw(st.sampled_from(Fault))

    def interleave(self):
        """Run another request or apply delayed writes between two steps."""
        if self.data is None or self.depth >= MAX_DEPTH:
            return
        match self.data.draw(st.sampled_from(["", "", "call", "apply"])):
            case "call":
                self.call(self.data.draw(st.integers(0, KEYS * NODES - 1)))
            case "apply":
                self.apply_delayed_writes()

    @stateful.rule(index=st.integers(0, KEYS * NODES - 1), data=st.data())
    def call_under_faults(self, index, data):
        """Send a request while any operation may fail."""
        self.data = data
        self.call(index)
        self.data = None

    @stateful.rule(index=st.integers(0, KEYS * NODES - 1))
    def call_without_faults(self, index):
        """Send a request without faults; a key never claimed must run."""
        key = f"claims/{index % KEYS}"
        self.platform.now += 2.0
        is_free = key not in self.platform.keys
        has_run = self.runs[key] > 0
        outcome = self.call(index)
        if is_free and not has_run:
            assert outcome is Outcome.DONE

    @stateful.rule()
    def apply_delayed_writes(self):
        """Apply delayed writes to the store."""
        for key, value in self.platform.delayed:
            self.platform.create(key, value)
        self.platform.delayed.clear()

    @stateful.rule(number=st.integers(0, NODES - 1))
    def restart(self, number):
        """Restart a node under its next incarnation."""
        incarnation = self.nodes[number].identity.incarnation + 1
        self.nodes[number] = Node(self.platform, number, incarnation)

    @stateful.rule(seconds=st.sampled_from([0.1, 20.0, 700.0, 4000.0]))
    def advance(self, seconds):
        """Advance the clock, in total less than the retention of a claim."""
        if self.platform.now + seconds < 1000.0 + 12 * 3600:
            self.platform.now += seconds

    def call(self, index):
        """Send a key to a node and return the outcome that the caller sees."""
        number = index // KEYS
        node = self.nodes[number]
        key = f"claims/{index % KEYS}"
        runs = self.runs[key]
        self.depth += 1
        try:
            outcome = self.serve(node, key)
        except CrashError:
            self.restart(number)
            return Outcome.UNKNOWN
        finally:
            self.depth -= 1
        if outcome is Outcome.NOT_RUN and self.depth == 0:
            assert self.runs[key] == runs
        return outcome

    def serve(self, node, key):
        """Serve a request as an entry node does."""
        result = node.table.begin(key, BODY, None, self.platform.now)
        return self.handle_result(node, key, result)

    def handle_result(self, node, key, result):
        """Handle a result of the table and return the outcome."""
        match result:
            case RunNow(claim_id):
                return self.claim(node, key, claim_id)
            case Answered(answer):
                assert answer == self.answers[key]
                return Outcome.DONE
            case InProgress() | AnswerEvicted() | RecordExpired():
                return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def claim(self, node, key, claim_id):
        """Claim the key and run the request if it was claimed."""
        result = run_without_loop(
            node.claim_store.claim(
                key,
                BODY,
                claim_id,
                Importance.HIGH,
                self.platform.now + TIMEOUT_S,
            )
        )
        match result:
            case Claimed():
                return self.run_target(node, key)
            case ClaimUnavailable():
                now = self.platform.now
                node.table.finish(key, b"refused", Outcome.NOT_RUN, now)
                return Outcome.NOT_RUN
            case OwnedBy(claim):
                node.table.release(key, b"passed on")
                return self.forward(key, claim)
        raise AssertionError(result)

    def forward(self, key, claim):
        """Forward a request to its owner if that incarnation is running."""
        owner = self.nodes[int(claim.node_id[1:])]
        if owner.identity.incarnation != claim.incarnation:
            return Outcome.UNKNOWN
        result = owner.table.resume(key, BODY, self.platform.now)
        return self.handle_result(owner, key, result)

    def run_target(self, node, key):
        """Run at the target, or be rejected by its admission control."""
        if self.data is not None and self.data.draw(st.booleans()):
            now = self.platform.now
            node.table.finish(key, b"shed", Outcome.NOT_RUN, now)
            return Outcome.NOT_RUN
        self.runs[key] += 1
        assert self.runs[key] == 1
        answer = b"answer of " + key.encode()
        self.answers[key] = answer
        self.interleave()
        if self.data is not None and self.data.draw(st.booleans()):
            raise CrashError()
        node.table.finish(key, answer, Outcome.DONE, self.platform.now)
        return Outcome.DONE


ClaimMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=25
)


class ClaimStateTest(ClaimMachine.TestCase):
    pass


class ClaimKeeperTest(unittest.TestCase):

    def setUp(self):
        self.faults = []
        self.platform = FakePlatform(self.next_fault, lambda: None)
        self.first = Node(self.platform, 1, 1)
        self.second = Node(self.platform, 2, 1)

    def next_fault(self):
        """Return the next planned fault."""
        return self.faults.pop(0) if self.faults else Fault.NONE

    def claim(self, node, body=BODY):
        """Claim the same key at a node."""
        return run_without_loop(
            node.claim_store.claim(
                "claims/k",
                body,
                node.identity.node_id,
                Importance.HIGH,
                self.platform.now + 60,
            )
        )

    def test_lost_answer_is_settled_by_reading_back(self):
        self.faults = [Fault.ANSWER_LOST]
        self.assertEqual(self.claim(self.first), Claimed())
        self.assertIsInstance(self.claim(self.second), OwnedBy)

    def test_outage_is_refused_as_not_run(self):
        self.faults = [Fault.OUTAGE]
        result = self.claim(self.first)
        self.assertEqual(result, ClaimUnavailable("platform_unavailable"))

    def test_claim_after_a_freeze_does_not_start_the_run(self):
        self.faults = [Fault.SLOW]
        result = self.claim(self.first)
        self.assertEqual(result, ClaimUnavailable("claim_late"))
        self.assertEqual(self.claim(self.first), Claimed())

    def test_key_with_another_body_is_refused(self):
        self.claim(self.first)
        result = self.claim(self.second, body=b"other")
        self.assertEqual(result, ClaimUnavailable("key_reused"))

    def test_deadline_passed_is_late(self):
        self.assertTrue(is_claim_late(10.0, 11.0, 11.0))
        self.assertFalse(is_claim_late(10.0, 11.0, 10.9))


if __name__ == "__main__":
    unittest.main()
