"""Calls in progress that must not run twice, whoever waits for them."""

import asyncio
import dataclasses
import functools
from collections.abc import Awaitable
from collections.abc import Callable

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.retained_calls import RetainedCalls
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.mesh.link_server import LINK_LOST
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["CallInProgress", "UniqueCalls"]


@dataclasses.dataclass(slots=True)
class CallInProgress:
    """Non-idempotent call that may go on when those who wait for it leave.

    Attributes:
        call: The call.
        is_retained: Whether a copy of it may come from a peer.
        is_counted: Whether its body is counted here, and not by its caller.
        is_admitted: Whether it has been admitted to the target.
        waiters: Number of tasks that wait for its reply.
        task: Task that runs it.
    """

    call: Call
    is_retained: bool
    is_counted: bool
    is_admitted: bool = False
    waiters: int = 0
    task: asyncio.Task | None = None


class UniqueCalls:
    """Runs each non-idempotent call once and answers copies of it.

    A call continues when its link breaks. When its caller cancels it, it
    continues if it has been admitted, and is cancelled otherwise. Its body
    counts in the budget until it ends.

    Args:
        run: Runs a call and returns its reply.
        budget: Bytes of bodies that the process may hold.
    """

    def __init__(
        self,
        run: Callable[[Call, CallInProgress], Awaitable[Reply]],
        budget: ByteBudget,
    ):
        self._run = run
        self._budget = budget
        self._in_progress: dict[int, CallInProgress] = {}
        self._retained = RetainedCalls(budget)

    async def serve_own(self, call: Call) -> Reply:
        """Run a call of this node, of which no copy can come.

        Args:
            call: The call; its caller counts its body while it waits.
        """
        running = CallInProgress(call, is_retained=False, is_counted=False)
        return await self._join(self._start(running))

    async def serve_peer(self, call: Call, is_resent: bool) -> Reply:
        """Run a call of a peer, or answer a copy of one.

        Args:
            call: The call.
            is_resent: Whether the peer sent the call before, on a connection
                that has failed since.

        Returns:
            The reply to the run; NOT_RUN without memory for the call's body, or
            if the earlier copy was lost on its way; UNKNOWN if the reply to an
            earlier copy is not kept.
        """
        running = self._in_progress.get(call.key)
        if running is not None:
            return await self._join(running)
        size = len(call.body)
        # Whether a copy has run is known whatever the memory.
        is_counted = not is_resent and size > 0
        if is_counted and not self._budget.try_reserve(size):
            return Reply(Outcome.NOT_RUN, codes.MEMORY_EXHAUSTED)
        reply = self._retained.begin(
            call.key, call.deadline, is_resent, read_now()
        )
        if reply is None:
            running = CallInProgress(call, is_retained=True, is_counted=True)
            return await self._join(self._start(running))
        if is_counted:
            self._budget.release(size)
        return reply

    def release_reply(self, key: int) -> None:
        """Drop the reply kept for a peer's call.

        Args:
            key: Key of a call that its peer will not send again.
        """
        self._retained.release_reply(key)

    def count_owed(self, now: float) -> int:
        """Return how many replies are owed to peers that may ask again.

        These are calls that go on without their link, and replies that are kept
        until their peers have taken them; none after the call's deadline.

        Args:
            now: Current time, in seconds.
        """
        count = self._retained.count_awaited(now)
        for key, running in self._in_progress.items():
            if not running.waiters:
                count += self._retained.is_awaited(key, now)
        return count

    def _start(self, running: CallInProgress) -> CallInProgress:
        self._in_progress[running.call.key] = running
        running.task = asyncio.get_running_loop().create_task(
            self._run(running.call, running)
        )
        running.task.add_done_callback(functools.partial(self._end, running))
        return running

    def _end(self, running: CallInProgress, task: asyncio.Task) -> None:
        call = running.call
        del self._in_progress[call.key]
        if running.is_counted:
            self._budget.release(len(call.body))
        if not task.cancelled() and task.exception() is None:
            reply = task.result()
        elif running.is_admitted:
            reply = Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)
        else:
            reply = Reply(Outcome.NOT_RUN, codes.CALL_CANCELLED)
        if running.is_retained:
            self._retained.end(call.key, reply, read_now())

    async def _join(self, running: CallInProgress) -> Reply:
        running.waiters += 1
        try:
            return await asyncio.shield(running.task)
        except asyncio.CancelledError as error:
            if running.task.cancelled():
                return Reply(Outcome.NOT_RUN, codes.CALL_CANCELLED)
            if error.args != (LINK_LOST,) and not running.is_admitted:
                running.task.cancel()
            if not running.is_counted and not running.task.done():
                # Its caller does not count the body any more.
                running.is_counted = True
                self._budget.hold(len(running.call.body))
            raise
        finally:
            running.waiters -= 1
