"""Tests of the bound on retries over a call tree."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from kumquatwalk.retry.call_tokens import CallTokens
from kumquatwalk.retry.tokens import TokenPool


class CallTree:
    """Simulates a random call tree whose attempts fail at random.

    Attributes:
        calls: Number of calls made by runs.
        attempts: Number of attempts that reached a target.
    """

    def __init__(self, seed, failure_share):
        self.random = random.Random(seed)
        self.failure_share = failure_share
        self.calls = 0
        self.attempts = 0

    def run(self, pool, depth):
        """Simulate a run whose calls hold their tokens at the same time."""
        self.attempts += 1
        if depth == 0:
            return
        call_count = self.random.randint(0, 3)
        children_tokens = [CallTokens(pool) for _ in range(call_count)]
        for tokens in children_tokens:
            self.call(tokens, depth - 1)
        for tokens in children_tokens:
            tokens.close()

    def call(self, tokens, depth):
        """Simulate a call with all attempts that its tokens permit."""
        self.calls += 1
        while self.fails(tokens, depth):
            if not tokens.spend():
                return

    def fails(self, tokens, depth):
        """Simulate an attempt and return whether it failed.

        A lost reply may hide a run that has spent tokens.
        """
        pool = TokenPool(tokens.send())
        self.run(pool, depth)
        if self.random.random() >= self.failure_share:
            tokens.record_reply(pool.left)
            return False
        if self.random.random() < 0.5:
            tokens.record_reply(pool.left)
        else:
            tokens.record_lost_reply()
        return True


class RetryBoundTest(unittest.TestCase):
    """The attempts never exceed the calls plus the initial tokens."""

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

    def test_reply_cannot_add_tokens(self):
        pool = TokenPool(2)
        tokens = CallTokens(pool)
        tokens.send()
        tokens.record_reply(50)
        tokens.close()
        self.assertEqual(pool.left, 2)

    def test_spending_fails_without_tokens(self):
        tokens = CallTokens(TokenPool(1))
        self.assertTrue(tokens.spend())
        self.assertFalse(tokens.spend())
        self.assertEqual(tokens.send(), 0)
