"""Tests of the bound on retries over a whole call tree."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from kumquatwalk import codes
from kumquatwalk.outcome import Outcome
from kumquatwalk.retry import decision
from kumquatwalk.retry.share import CallTokens
from kumquatwalk.retry.tokens import TokenPool


class CallTree:
    """Runs a random tree of calls whose attempts fail at random.

    Attributes:
        calls: Calls made by runs.
        attempts: Attempts that reached a target.
    """

    def __init__(self, seed, failure_share):
        self.random = random.Random(seed)
        self.failure_share = failure_share
        self.calls = 0
        self.attempts = 0

    def run(self, pool, depth):
        """Run one target; its calls share the pool as if made in parallel."""
        self.attempts += 1
        if depth == 0:
            return
        children = self.random.randint(0, 3)
        shares = [CallTokens(pool) for _ in range(children)]
        for tokens in shares:
            self.call(tokens, depth - 1)
        for tokens in shares:
            tokens.close()

    def call(self, tokens, depth):
        """Make one call, with all attempts that the decision allows."""
        self.calls += 1
        attempts = 0
        while True:
            attempts += 1
            result = self.attempt(tokens, depth)
            limits = decision.RetryLimits(
                is_idempotent=True,
                tokens=tokens.available,
                remaining_s=1.0,
                attempts=attempts,
                is_budget_open=True,
                has_other_target=True,
            )
            if result is None:
                return
            if not decision.decide_retry(result, limits).is_retry:
                return
            if not tokens.spend():
                return

    def attempt(self, tokens, depth):
        """Make one attempt; a lost reply may hide a whole run below."""
        pool = TokenPool(tokens.send())
        self.run(pool, depth)
        if self.random.random() >= self.failure_share:
            tokens.note_reply(pool.left)
            return None
        if self.random.random() < 0.5:
            tokens.note_reply(pool.left)
            code = codes.TARGET_LEAVING
            return decision.AttemptResult(Outcome.NOT_RUN, code)
        tokens.note_lost()
        return decision.AttemptResult(Outcome.UNKNOWN, codes.LINK_SILENT)


class RetryBoundTest(unittest.TestCase):
    """Attempts never exceed the calls made plus the tokens."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        seed=st.integers(0, 2**32),
        tokens=st.integers(0, 6),
        depth=st.integers(0, 4),
        failure_share=st.floats(0.0, 1.0),
    )
    def test_attempts_are_bounded(self, seed, tokens, depth, failure_share):
        tree = CallTree(seed, failure_share)
        pool = TokenPool(tokens)
        root = CallTokens(pool)
        tree.call(root, depth)
        root.close()
        self.assertLessEqual(tree.attempts, tree.calls + tokens)
        self.assertLessEqual(pool.left + tree.attempts, tree.calls + tokens)

    def test_reply_cannot_make_tokens(self):
        pool = TokenPool(2)
        tokens = CallTokens(pool)
        tokens.send()
        tokens.note_reply(50)
        tokens.close()
        self.assertEqual(pool.left, 2)

    def test_nothing_is_spent_from_an_empty_pool(self):
        tokens = CallTokens(TokenPool(1))
        self.assertTrue(tokens.spend())
        self.assertFalse(tokens.spend())
        self.assertEqual(tokens.send(), 0)


class DecideRetryTest(unittest.TestCase):
    """Single rules of the decision."""

    def decide(self, outcome, code, **changes):
        """Decide with all bounds open but for the changes given."""
        values = {
            "is_idempotent": True,
            "tokens": 3,
            "remaining_s": 1.0,
            "attempts": 1,
            "is_budget_open": True,
            "has_other_target": True,
        }
        limits = decision.RetryLimits(**(values | changes))
        result = decision.AttemptResult(outcome, code)
        return decision.decide_retry(result, limits)

    def test_failed_is_handed_on(self):
        got = self.decide(Outcome.FAILED, codes.TARGET_FAILED)
        self.assertFalse(got.is_retry)

    def test_unknown_is_retried_only_if_idempotent(self):
        unknown = (Outcome.UNKNOWN, codes.LINK_SILENT)
        self.assertTrue(self.decide(*unknown).is_retry)
        got = self.decide(*unknown, is_idempotent=False)
        self.assertEqual(got.code, codes.LINK_SILENT)

    def test_overload_is_retried_once(self):
        shed = (Outcome.NOT_RUN, codes.OVERLOADED)
        self.assertTrue(self.decide(*shed).is_retry)
        self.assertFalse(self.decide(*shed, attempts=2).is_retry)

    def test_bounds(self):
        gone = (Outcome.NOT_RUN, codes.TARGET_LEAVING)
        for change, code in (
            ({"tokens": 0}, codes.TOKENS_SPENT),
            ({"remaining_s": 0.0}, codes.DEADLINE_EXCEEDED),
            ({"is_budget_open": False}, codes.RETRY_BUDGET),
            ({"has_other_target": False}, codes.TARGET_LEAVING),
        ):
            self.assertEqual(self.decide(*gone, **change).code, code)
