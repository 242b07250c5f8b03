"""Idempotent calls of this node at its own target."""

import asyncio
from collections.abc import Coroutine

from kumquatwalk import codes
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.tasks import start_task

__all__ = ["OwnCalls"]


class OwnCalls:
    """Calls of this node that it may hedge while they run at its own target."""

    def __init__(self):
        # By the identity of the call: the task that runs it, and the reply
        # for which its sender waits.
        self._waiting: dict[int, tuple[asyncio.Task, asyncio.Future]] = {}
        self._late: dict[int, asyncio.Task] = {}

    async def serve(
        self, call: Call, running: Coroutine[None, None, Reply]
    ) -> Reply:
        """Run a call; it is cancelled with the waiting task.

        Args:
            call: The call.
            running: Runs it.

        Returns:
            The reply; or that the outcome is unknown, once the call is hedged.
        """
        task = start_task(running, "own_call")
        reply = asyncio.get_running_loop().create_future()
        task.add_done_callback(lambda done: _pass_on(done, reply))
        self._waiting[id(call)] = task, reply
        try:
            return await reply
        except asyncio.CancelledError:
            # Also if it has just been hedged: nobody waits for its late reply.
            task.cancel()
            raise
        finally:
            del self._waiting[id(call)]

    def hedge(self, call: Call) -> bool:
        """Let a call run on while its sender has it run elsewhere too.

        Args:
            call: Call in progress.

        Returns:
            Whether it is one of this node.
        """
        task, reply = self._waiting.get(id(call), (None, None))
        if task is None:
            return False
        if not reply.done():
            self._late[id(call)] = task
            task.add_done_callback(lambda _: self._late.pop(id(call)))
            reply.set_result(Reply(Outcome.UNKNOWN, codes.NODE_STOPPING))
        return True

    def find_late_reply(self, call: Call) -> asyncio.Future[Reply] | None:
        """Return the reply that may still come to a call that was hedged.

        Cancelling it ends the run.

        Args:
            call: Call to which ``serve`` has returned an unknown outcome.
        """
        return self._late.get(id(call))


def _pass_on(task: asyncio.Task, reply: asyncio.Future) -> None:
    """Pass on the end of a task, unless nobody waits for it."""
    if reply.done():
        return
    if task.cancelled():
        reply.cancel()
    elif task.exception() is not None:
        reply.set_exception(task.exception())
    else:
        reply.set_result(task.result())
