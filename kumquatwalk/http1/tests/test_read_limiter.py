"""Tests that answers wait for memory and that some answer can always end."""

import asyncio
import fcntl
import struct
import termios
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.client_connection import open_connection
from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.read_limiter import READ_BYTES_MAX
from kumquatwalk.http1.read_limiter import ReadLimiter
from kumquatwalk.standin.scripted_target import Script
from kumquatwalk.standin.scripted_target import ScriptedTarget

REQUEST = encode_request(b"GET", b"/x", ((b"Host", b"h"),), b"")
ANSWER_BYTES = 3_000_000
LIMIT = 4_000_000


class WaitingAnswersTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.target = ScriptedTarget(
            "t", lambda _: Script(body=b"r" * ANSWER_BYTES)
        )
        await self.target.start()
        self.addAsyncCleanup(self.target.close)
        self.budget = ByteBudget(LIMIT)
        self.limiter = ReadLimiter(self.budget)

    async def _exchange(self) -> int:
        connection = await open_connection(
            self.target.address, 5.0, 1 << 26, limiter=self.limiter
        )
        try:
            return len((await connection.exchange(REQUEST)).body)
        finally:
            connection.abort()

    async def _wait_for(self, is_done) -> None:
        async with asyncio.timeout(20):
            while not is_done():
                await asyncio.sleep(0.005)

    # Guards against LOST: an answer counts as lost because others are read.
    async def test_answers_that_are_too_many_wait_for_each_other(self):
        async with asyncio.timeout(60):
            sizes = await asyncio.gather(*(self._exchange() for _ in range(8)))
        self.assertEqual(sizes, [ANSWER_BYTES] * 8)
        self.assertEqual(self.budget.used, 0)

    async def test_answer_waits_while_the_memory_is_held_elsewhere(self):
        self.budget.hold(self.limiter.overrun_max)
        task = asyncio.create_task(self._exchange())
        await self._wait_for(lambda: self.budget.used > self.budget.limit)
        await self._wait_for(lambda: self.target.runs)
        for _ in range(20):
            self.limiter.resume_waiting()
            await asyncio.sleep(0)
        self.assertFalse(task.done())
        self.assertLessEqual(
            self.budget.used, self.limiter.overrun_max + READ_BYTES_MAX
        )
        self.budget.release(self.limiter.overrun_max)
        async with asyncio.timeout(20):
            self.assertEqual(await task, ANSWER_BYTES)
        self.assertEqual(self.budget.used, 0)

    # Guards against LOST: the kernel holds megabytes of each answer that waits,
    # and they count as memory of the process.
    async def test_little_of_an_answer_that_waits_is_held_unread(self):
        self.target.choose_script = lambda _: Script(body=b"r" * 20_000_000)
        self.budget.limit = 8_000_000
        connection = await open_connection(
            self.target.address, 5.0, 1 << 26, limiter=self.limiter
        )
        task = asyncio.create_task(connection.exchange(REQUEST))
        await self._wait_for(lambda: self.budget.used > 4_000_000)
        self.budget.hold(self.limiter.overrun_max)
        transport = connection._transport  # pylint: disable=protected-access
        file = transport.get_extra_info("socket").fileno()
        unread_max = 0
        for _ in range(100):
            await asyncio.sleep(0.005)
            unread = fcntl.ioctl(file, termios.FIONREAD, bytes(4))
            unread_max = max(unread_max, *struct.unpack("i", unread))
        task.cancel()
        await asyncio.wait([task])
        self.assertLessEqual(unread_max, 2 * READ_BYTES_MAX)

    async def test_request_that_ends_while_it_waits_leaves_nothing(self):
        self.budget.hold(self.limiter.overrun_max)
        task = asyncio.create_task(self._exchange())
        await self._wait_for(
            lambda: self.budget.used > self.limiter.overrun_max
        )
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(self.budget.used, self.limiter.overrun_max)
        self.budget.release(self.limiter.overrun_max)
        async with asyncio.timeout(20):
            self.assertEqual(await self._exchange(), ANSWER_BYTES)

    async def test_answer_larger_than_the_memory_ends_the_exchange(self):
        self.budget.limit = ANSWER_BYTES // 2
        with self.assertRaisesRegex(Exception, "exceeds the memory"):
            await self._exchange()
        self.assertEqual(self.budget.used, 0)


class ReadLimiterMachine(RuleBasedStateMachine):
    """Answers that are read in parts, beside bytes held by others."""

    LIMIT = 4 * READ_BYTES_MAX

    def __init__(self):
        super().__init__()
        self.budget = ByteBudget(self.LIMIT)
        self.limiter = ReadLimiter(self.budget)
        # The timer of the event loop is replaced by the rule "poll".
        self.limiter._start_timer = lambda: None  # pylint: disable=W0212
        self.reading: list = []
        self.waiting: list = []
        self.held_elsewhere = 0

    @rule()
    def begin(self):
        if len(self.reading) + len(self.waiting) < 6:
            self.reading.append(self.limiter.make_share())

    @rule(
        index=st.integers(0, 5),
        size=st.sampled_from([1, READ_BYTES_MAX // 2, READ_BYTES_MAX]),
    )
    def receive(self, index, size):
        """Receive a part of an answer and pause it without room."""
        if index >= len(self.reading):
            return
        share = self.reading[index]
        share.try_reserve(size)
        if self.limiter.is_too_large(share):
            self._end(share)
        elif not self.limiter.has_room(share):
            self.reading.remove(share)
            self.waiting.append(share)
            self.limiter.wait(share, lambda: self._resume(share))

    @rule(index=st.integers(0, 5))
    def finish(self, index):
        if index < len(self.reading):
            self._end(self.reading[index])

    @rule(index=st.integers(0, 5))
    def cancel(self, index):
        if index < len(self.waiting):
            self._end(self.waiting[index])

    @rule(size=st.integers(0, LIMIT))
    def hold_elsewhere(self, size):
        if self.budget.try_reserve(size):
            self.held_elsewhere += size

    @rule()
    def release_elsewhere(self):
        self.budget.release(self.held_elsewhere)
        self.held_elsewhere = 0

    @rule()
    def poll(self):
        """Look for room; with answers alone, one of them must go on."""
        self.limiter.resume_waiting()
        if not self.held_elsewhere and self.waiting:
            assert self.reading, "no answer can end"

    @invariant()
    def bytes_are_bounded_and_counted_once(self):
        """Check the bytes after each step."""
        shares = self.reading + self.waiting
        held = sum(s.held for s in shares) + self.held_elsewhere
        assert self.budget.used == held
        # Each connection may receive one part before it is paused.
        bound = self.LIMIT + self.limiter.overrun_max
        assert held <= bound + 7 * READ_BYTES_MAX

    def teardown(self):
        self.release_elsewhere()
        for _ in range(100):
            self.poll()
            if self.reading:
                self._end(self.reading[0])
        assert not self.waiting and not self.budget.used

    def _resume(self, share) -> None:
        self.waiting.remove(share)
        self.reading.append(share)

    def _end(self, share) -> None:
        share.release(share.held)
        self.limiter.leave(share)
        for shares in (self.reading, self.waiting):
            if share in shares:
                shares.remove(share)


class ReadLimiterMachineTest(unittest.TestCase):

    def test_some_answer_can_always_end_and_bytes_are_bounded(self):
        run_state_machine_as_test(
            ReadLimiterMachine,
            settings=settings(
                derandomize=True,
                max_examples=200,
                stateful_step_count=40,
                deadline=None,
            ),
        )


if __name__ == "__main__":
    unittest.main()
