"""Tests of what is passed on during a stop, over a scripted transport."""

import unittest

from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.tests.backlog_case import LARGE_BYTES
from kumquatwalk.http1.tests.backlog_case import STEP_S
from kumquatwalk.http1.tests.backlog_case import BacklogCase
from kumquatwalk.http1.throughput import WINDOW_S
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage


class StopBacklogTest(BacklogCase):

    # Guards against LOST: requests sent together at a stop were all passed on,
    # and the process ended before a slow client had taken their large answers.
    async def test_nothing_is_passed_on_behind_a_large_answer_at_a_stop(self):
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b", "/c")
        self.transport.is_blocked = True
        await self.answer("/a", LARGE_BYTES)
        await self.pass_time(0.6, 25_000)
        self.transport.unblock()
        await self.settle()
        self.assertEqual(self.seen, ["/a"])
        answers = [answer[:2] for answer in self.list_answers()]
        self.assertEqual(answers, [(200, False), (503, True)])

    # Guards against lost throughput: requests with small answers must be
    # handled together during a stop, as before it.
    async def test_requests_with_small_answers_are_passed_on_together(self):
        self.expected_bytes = 1000
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b", "/c")
        self.assertEqual(self.seen, ["/a", "/b", "/c"])

    # Guards against LOST: the first large answer of a connection was passed on
    # whatever time was left, and the process ended before its client had it.
    async def test_first_answer_too_large_for_the_time_left_is_refused(self):
        self.expected_bytes = 100 * LARGE_BYTES
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a")
        self.assertEqual(self.seen, [])
        self.assertEqual(self.list_answers()[0][:2], (503, True))

    # Guards against a request that waits until the end: the answer before it
    # was an error, which tells nothing of its client.
    async def test_first_large_answer_behind_an_error_is_refused(self):
        self.expected_bytes = 12 * LARGE_BYTES
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b")
        self.assertEqual(self.seen, ["/a"])
        self.now += 2.0
        self.waiting["/a"].set_result(HttpResponse(404))
        await self.settle()
        self.assertEqual(self.seen, ["/a"])
        answers = [answer[:2] for answer in self.list_answers()]
        self.assertEqual(answers, [(404, False), (503, True)])

    # Guards against refusals of small requests on a route that has had a large
    # answer: the first answer shows what the connection asks for.
    async def test_what_waits_is_passed_on_behind_a_small_answer(self):
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b")
        await self.send("/c", "/d")
        self.assertEqual(self.seen, ["/a"])
        await self.answer("/a", 100)
        self.assertEqual(self.seen, ["/a", "/b", "/c", "/d"])
        for path in ("/d", "/c", "/b"):
            await self.answer(path, 100)
        statuses = [answer[:2] for answer in self.list_answers()]
        self.assertEqual(statuses, [(200, False)] * 3 + [(200, True)])

    # Guards against LOST: what stood behind a large answer that was made late
    # was passed on, and its client could not take all in what time was left.
    async def test_larger_answers_behind_a_large_one_are_awaited(self):
        self.expected_bytes = 10 * LARGE_BYTES
        self.server.begin_stop(self.now + 5.0, self.now + 4.7)
        await self.send("/a", "/b", "/c")
        self.transport.is_blocked = True
        await self.answer("/a", LARGE_BYTES)
        # The client's buffer takes the first bytes at once.
        await self.pass_time(STEP_S, 3_000_000)
        self.transport.unblock()
        await self.settle()
        self.assertEqual(self.seen, ["/a", "/b"])
        self.now += 2.5
        self.connection.check_timeouts(self.now)
        self.transport.is_blocked = True
        await self.answer("/b", self.expected_bytes)
        await self.pass_time(1.0, 600_000)
        self.transport.unblock()
        await self.settle()
        self.assertEqual(self.seen, ["/a", "/b"])
        answers = [answer[:2] for answer in self.list_answers()]
        self.assertEqual(answers, [(200, False), (200, False), (503, True)])

    # Guards against LOST: the same with a client that was measured, as if the
    # answer before were made at once.
    async def test_late_answer_leaves_time_for_what_is_behind_it(self):
        await self.read_slowly(200_000)
        self.server.begin_stop(self.now + 5.0, self.now + 4.7)
        await self.send("/a", "/b")
        self.assertEqual(self.seen, ["/first", "/a"])
        self.now += 4.5
        await self.answer("/a", LARGE_BYTES)
        self.connection.check_timeouts(self.now)
        await self.settle()
        self.assertEqual(self.seen, ["/first", "/a"])
        answers = [answer[:2] for answer in self.list_answers()]
        self.assertEqual(answers[1:], [(200, False), (503, True)])

    # Guards against requests refused for no reason: a client that once took
    # nothing for a moment was taken for slow as long as its connection lasted.
    async def test_client_that_took_a_break_is_not_refused(self):
        self.transport.is_blocked = True
        await self.send("/first")
        await self.answer("/first", LARGE_BYTES)
        await self.pass_time(WINDOW_S + STEP_S, 0)
        self.transport.unblock()
        self.connection.check_timeouts(self.now)
        await self.settle()
        for number in range(20):
            path = f"/{number}"
            await self.send(path)
            self.transport.is_blocked = True
            await self.answer(path, LARGE_BYTES)
            self.now += 0.001
            self.transport.unblock()
            await self.settle()
        self.server.begin_stop(self.now + 5.0, self.now + 4.7)
        await self.send("/last")
        self.assertEqual(self.seen[-1], "/last")

    # Guards against requests refused for no reason: a client that turns out to
    # read quickly gets what waited behind its large answer.
    async def test_what_waits_is_passed_on_when_the_client_reads_quickly(self):
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b")
        self.transport.is_blocked = True
        await self.answer("/a", LARGE_BYTES)
        self.assertEqual(self.seen, ["/a"])
        self.now += STEP_S
        self.transport.unblock()
        self.connection.check_timeouts(self.now)
        await self.settle()
        self.assertEqual(self.seen, ["/a", "/b"])
        await self.answer("/b", LARGE_BYTES)
        self.assertEqual(self.list_answers()[1], (200, True, LARGE_BYTES))

    # Guards against refusals: the handler took a request that was held back
    # for one that came late.
    async def test_handler_is_told_when_a_deferred_request_came(self):
        requests = []
        self.server.handler = lambda request: self.note(requests, request)
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b")
        came_at = self.now
        self.now += 1.0
        await self.answer("/a", 100)
        times = [request.progress.deferred_at for request in requests]
        self.assertEqual(times, [None, came_at])

    # Guards against LOST: a request without others before it was passed on
    # though its client had been seen to read too slowly.
    async def test_slow_client_is_refused_what_it_cannot_take(self):
        await self.read_slowly(20_000)
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a")
        self.assertEqual(self.seen, ["/first"])
        self.assertEqual(self.list_answers()[1][:2], (503, True))

    # Guards against LOST: the time that a client needs for an answer was not
    # counted with the time of its run.
    async def test_handler_is_told_how_long_the_client_reads(self):
        requests = []
        self.server.handler = lambda request: self.note(requests, request)
        await self.read_slowly(100_000)
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a")
        self.assertEqual(len(requests), 2)
        self.assertIsNone(requests[1].progress.deferred_at)
        self.assertEqual(requests[0].progress.taking_s, 0.0)
        taking_s = requests[1].progress.taking_s
        self.assertGreaterEqual(taking_s, LARGE_BYTES / 100_000)
        self.assertLess(taking_s, 5.0)

    async def note(self, requests, request) -> HttpResponse:
        """Store a request, then serve it."""
        requests.append(request)
        return await self.serve(request)

    # Guards against requests left unanswered for no reason: a client that is
    # quick takes several large answers.
    async def test_quick_client_gets_large_answers_together(self):
        await self.send("/first")
        await self.answer("/first", 2 * LARGE_BYTES)
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b", "/c")
        self.assertEqual(self.seen, ["/first", "/a", "/b", "/c"])

    # Guards against LOST: what waits behind an answer was kept when the
    # connection ended, and reported by nobody.
    async def test_what_waits_is_reported_when_it_is_left(self):
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b", "/c")
        self.transport.is_blocked = True
        await self.answer("/a", LARGE_BYTES)
        await self.pass_time(0.6, 25_000)
        left = (Stage.READ, End.CLOSING_ANSWER)
        self.assertEqual(self.unanswered, [left])
        self.transport.unblock()
        await self.settle()
        self.assertEqual(self.server.owed_requests, 0)

    # Guards against LOST: the refusal of a request that was held back, for want
    # of memory, was not sent.
    async def test_refusal_for_memory_is_sent(self):
        self.server.begin_stop(self.now + 5.0)
        await self.send("/a", "/b")
        self.assertEqual(self.seen, ["/a"])
        self.server.has_memory_for = lambda _: False
        self.transport.is_blocked = True
        await self.answer("/a", LARGE_BYTES)
        self.now += STEP_S
        self.transport.unblock()
        await self.settle()
        for _ in range(20):
            self.now += STEP_S
            self.connection.check_timeouts(self.now)
            await self.settle()
        self.assertEqual([a[0] for a in self.list_answers()], [200, 503])


if __name__ == "__main__":
    unittest.main()
