"""Tests of requests behind answers that a client does not take."""

import unittest
from unittest import mock

from kumquatwalk.http1 import answer_writer
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.tests.backlog_case import LARGE_BYTES
from kumquatwalk.http1.tests.backlog_case import STEP_S
from kumquatwalk.http1.tests.backlog_case import BacklogCase
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage


class UntakenAnswersTest(BacklogCase):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.expected_bytes = 100
        self.idle_s = self.server.limits.idle_timeout_s + 1.0

    async def check(self, seconds: float) -> None:
        """Let time pass, then check the timeouts."""
        self.now += seconds
        self.connection.check_timeouts(self.now)
        await self.settle()

    # Guards against LOST: a client that took nothing of an answer for the idle
    # timeout lost with it a request behind it that ran.
    async def test_run_is_not_ended_by_the_limit_of_what_is_untaken(self):
        await self.send("/a", "/b")
        self.transport.is_blocked = True
        await self.answer("/a", LARGE_BYTES)
        await self.check(self.idle_s)
        self.assertEqual(self.cancelled, [])
        self.assertFalse(self.transport.was_cut)
        await self.answer("/b", 100)
        await self.check(self.idle_s)
        self.assertTrue(self.transport.was_cut)
        ended = [(Stage.ANSWERED, End.TIMEOUT)] * 2
        self.assertEqual(self.unanswered, ended)

    # Guards against LOST: while memory for answers was short, a slow client
    # was ended together with the requests that ran behind its answer.
    async def test_run_is_not_ended_for_want_of_memory(self):
        self.server.answer_budget = ByteBudget(LARGE_BYTES)
        self.server.answer_budget.hold(LARGE_BYTES + 1)
        await self.send("/a", "/b")
        self.transport.is_blocked = True
        await self.answer("/a", LARGE_BYTES)
        await self.check(1.5)
        # pylint: disable-next=protected-access
        end_slow_clients = self.server._end_slow_clients
        end_slow_clients(self.now)
        await self.settle()
        self.assertEqual(self.cancelled, [])
        self.assertFalse(self.transport.was_cut)
        await self.answer("/b", 100)
        end_slow_clients(self.now)
        self.assertTrue(self.transport.was_cut)

    # Guards against LOST: requests sent together were all passed on, and those
    # behind a large answer ended with a client that did not take it.
    async def test_nothing_is_passed_on_behind_what_is_expected_large(self):
        self.expected_bytes = 2 * LARGE_BYTES
        await self.send("/a", "/b", "/c")
        self.assertEqual(self.seen, ["/a"])
        self.transport.is_blocked = True
        await self.answer("/a", self.expected_bytes)
        await self.check(self.idle_s)
        self.assertEqual(self.seen, ["/a"])
        ended = [(Stage.READ, End.TIMEOUT)] * 2
        self.assertEqual(
            self.unanswered, ended + [(Stage.ANSWERED, End.TIMEOUT)]
        )

    # Guards against LOST: the same behind a large answer that is made but
    # waits for the one before it.
    async def test_nothing_is_passed_on_behind_what_is_made_large(self):
        await self.send("/a", "/b")
        await self.answer("/b", 2 * LARGE_BYTES)
        await self.send("/c")
        self.assertEqual(self.seen, ["/a", "/b"])
        await self.answer("/a", 100)
        self.assertEqual(self.seen, ["/a", "/b", "/c"])
        await self.answer("/c", 100)
        sizes = [size for _, _, size in self.list_answers()]
        self.assertEqual(sizes, [100, 2 * LARGE_BYTES, 100])

    # Guards against LOST: requests of a client that had stopped to take
    # anything were passed on until the idle timeout ended them.
    async def test_nothing_is_passed_on_to_a_client_that_takes_nothing(self):
        untaken = mock.patch.object(
            answer_writer, "count_untaken_bytes", lambda _: 10
        )
        with untaken:
            await self.send("/a")
            await self.answer("/a", 100)
            await self.check(STEP_S)
            await self.check(2.0)
            await self.send("/b")
            self.assertEqual(self.seen, ["/a"])
        await self.check(1.0)
        self.assertEqual(self.seen, ["/a", "/b"])

    # Guards against lost throughput: answers in transit, small ones and those
    # of unknown size hold nothing back.
    async def test_requests_with_small_answers_are_passed_on_together(self):
        for self.expected_bytes in (60_000, float("inf")):
            paths = [f"/{number}/{self.expected_bytes}" for number in range(20)]
            with mock.patch.object(
                answer_writer, "count_untaken_bytes", lambda _: 10
            ):
                await self.send(*paths)
                self.assertEqual(self.seen[-20:], paths)
                for path in paths:
                    await self.answer(path, 60_000)
                await self.check(STEP_S)
            await self.check(STEP_S)

    # Guards against lost throughput: a client that has taken a large answer
    # quickly gets several together.
    async def test_quick_client_gets_large_answers_together(self):
        await self.send("/first")
        await self.answer("/first", 2 * LARGE_BYTES)
        await self.send("/a", "/b", "/c")
        self.assertEqual(self.seen, ["/first", "/a", "/b", "/c"])


if __name__ == "__main__":
    unittest.main()
