"""Calls on one connection whose replies come after they have been given up."""

import asyncio

from kumquatwalk import codes
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["LateCalls"]


class LateCalls:
    """Calls whose runs go on while their sender may have them run elsewhere.

    Args:
        link: Connection on which their replies come.
    """

    def __init__(self, link: LinkProtocol):
        self._link = link
        self._late: dict[int, tuple[Call, asyncio.Future[Reply]]] = {}

    def __len__(self) -> int:
        return len(self._late)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._late

    def add(self, call_id: int, call: Call) -> None:
        """Expect the reply to a call.

        Args:
            call_id: Identifier of the call on the connection.
            call: The call.
        """
        future = asyncio.get_running_loop().create_future()
        self._late[call_id] = (call, future)
        future.add_done_callback(lambda done: self._end(call_id, done))

    def find(self, call: Call) -> asyncio.Future[Reply] | None:
        """Return the future reply to a call; None if none is expected.

        Cancelling it cancels the call at the peer.

        Args:
            call: A call that was sent on this connection.
        """
        for other, future in self._late.values():
            if other is call:
                return future
        return None

    def resolve(self, call_id: int, reply: Reply) -> None:
        """Pass on the reply to a call.

        Args:
            call_id: Identifier of a call whose reply is expected.
            reply: Its reply.
        """
        _, future = self._late[call_id]
        if not future.done():
            future.set_result(reply)

    def fail_all(self) -> None:
        """Resolve all calls: the connection ends, their outcome is unknown."""
        for call_id in tuple(self._late):
            self.resolve(call_id, Reply(Outcome.UNKNOWN, codes.LINK_FAILED))

    def _end(self, call_id: int, future: asyncio.Future) -> None:
        if future.cancelled():
            self._link.send(Cancel(call_id))
        self._late.pop(call_id, None)
