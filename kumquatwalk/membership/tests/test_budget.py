"""Tests of kumquatwalk.membership.budget and dissemination."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kumquatwalk.membership.budget import ByteBudget
from kumquatwalk.membership.dissemination import DisseminationQueue
from kumquatwalk.membership.dissemination import count_transmissions

RATE = 100.0
BURST = 1000.0
STEPS = strategies.lists(
    strategies.tuples(
        strategies.floats(-1.0, 5.0),
        strategies.integers(1, 1200),
        strategies.sampled_from((0.0, 250.0, 500.0)),
    ),
    max_size=60,
)


class ByteBudgetTest(unittest.TestCase):
    """The bound holds over every period."""

    @settings(derandomize=True, deadline=None)
    @given(STEPS)
    def test_every_period_is_bounded(self, steps):
        budget = ByteBudget(RATE, BURST, 0.0)
        now = 0.0
        latest = 0.0
        taken = []
        for elapsed, size, reserve in steps:
            now += elapsed
            latest = max(latest, now)
            if budget.take(size, reserve, now):
                taken.append((latest, size))
        for i, (start, _) in enumerate(taken):
            total = 0
            for end, size in taken[i:]:
                total += size
                self.assertLessEqual(total, BURST + RATE * (end - start) + 0.01)

    def test_reserve_is_left_to_others(self):
        budget = ByteBudget(RATE, BURST, 0.0)
        self.assertFalse(budget.take(800, 250.0, 0.0))
        self.assertTrue(budget.take(750, 250.0, 0.0))
        self.assertTrue(budget.take(250, 0.0, 0.0))


class DisseminationQueueTest(unittest.TestCase):
    """Order, bounds and replacement."""

    def test_newest_comes_first(self):
        queue = DisseminationQueue()
        queue.put("a", b"a" * 20, 3)
        queue.put("b", b"b" * 20, 3)
        self.assertEqual(b"b" * 20, queue.take(25))
        self.assertEqual(b"a" * 20, queue.take(25))

    def test_replacement_starts_anew(self):
        queue = DisseminationQueue()
        queue.put("a", b"old" * 10, 2)
        queue.take(100)
        queue.put("a", b"new" * 10, 2)
        self.assertEqual([b"new" * 10] * 2, [queue.take(100) for _ in "xx"])
        self.assertEqual(b"", queue.take(100))

    def test_received_copies_count(self):
        queue = DisseminationQueue()
        queue.put("a", b"a" * 20, 2)
        queue.count_received("a")
        queue.count_received("unknown")
        self.assertEqual(b"a" * 20, queue.take(100))
        self.assertEqual(0, len(queue))

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9), strategies.integers(15, 400)
            ),
            max_size=40,
        ),
        strategies.integers(0, 1200),
        strategies.integers(1, 12),
    )
    def test_size_and_transmissions_are_bounded(self, items, space, count):
        queue = DisseminationQueue()
        for key, size in items:
            queue.put(key, bytes((key,)) * size, count)
        sent = [queue.take(space) for _ in range(count * 10 + 1)]
        self.assertTrue(all(len(data) <= space for data in sent))
        newest = dict(items)
        for key, size in newest.items():
            total = sum(data.count(bytes((key,))) for data in sent)
            self.assertEqual(count * size if size <= space else 0, total)

    def test_transmissions_grow_with_the_logarithm(self):
        counts = [count_transmissions(2.0, n) for n in (10, 100, 1300)]
        self.assertEqual(sorted(counts), counts)
        self.assertLess(counts[2], 20)


if __name__ == "__main__":
    unittest.main()
