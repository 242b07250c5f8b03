"""Connection on which nothing has come for a while, with the calls on it."""

import asyncio

from kumquatwalk import codes
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

__all__ = ["SilentLink"]


class SilentLink:
    """Keeps a silent connection open, as replies may still come on it.

    The peer may be gone, or its process may only not have been scheduled; its
    runs go on in the meantime. The connection is closed with the last of its
    calls.

    Args:
        link: Connection on which nothing has come.
        now: Current time, in seconds.
    """

    def __init__(self, link: LinkProtocol, now: float):
        self.link = link
        self._silent_from = now
        self._late: dict[int, tuple[Call, asyncio.Future[Reply]]] = {}
        self._resent: dict[int, asyncio.Future[Reply]] = {}

    @property
    def has_spoken(self) -> bool:
        """Whether something has come since: the peer is at work."""
        return self.link.last_received_at > self._silent_from

    @property
    def is_needed(self) -> bool:
        """Whether a reply may still come."""
        return bool(self._late or self._resent)

    def add(self, call_id: int, call: Call) -> None:
        """Expect the reply to a call.

        Args:
            call_id: Identifier of the call on the connection.
            call: The call.
        """
        future = asyncio.get_running_loop().create_future()
        self._late[call_id] = (call, future)
        future.add_done_callback(lambda done: self._end(call_id, done))

    def add_resent(self, call_id: int, reply: asyncio.Future[Reply]) -> None:
        """Expect the reply to a call that will be sent again elsewhere.

        The call does not end with this connection. The peer is told when its
        reply is not wanted here any more.

        Args:
            call_id: Identifier of the call on the connection.
            reply: Gets the reply if it comes here first.
        """
        self._resent[call_id] = reply
        reply.add_done_callback(lambda _: self._end_resent(call_id))

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
        """Pass on the reply to a call, if one is expected.

        Args:
            call_id: Identifier of the call on the connection.
            reply: Its reply.
        """
        if call_id in self._late:
            _, future = self._late[call_id]
        else:
            future = self._resent.get(call_id)
        if future is not None and not future.done():
            future.set_result(reply)

    def close(self) -> None:
        """Close the connection.

        The outcome of its calls is unknown, but for those sent again.
        """
        for call_id in tuple(self._late):
            self.resolve(call_id, Reply(Outcome.UNKNOWN, codes.LINK_FAILED))
        self.link.abort()

    def _end(self, call_id: int, future: asyncio.Future) -> None:
        if future.cancelled():
            self.link.send(Cancel(call_id))
        self._late.pop(call_id, None)

    def _end_resent(self, call_id: int) -> None:
        self._resent.pop(call_id, None)
        self.link.send(Cancel(call_id))
