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

    @property
    def has_spoken(self) -> bool:
        """Whether something has come since: the peer is at work."""
        return self.link.last_received_at > self._silent_from

    @property
    def is_needed(self) -> bool:
        """Whether a reply may still come."""
        return bool(self._late)

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
        """Pass on the reply to a call, if one is expected.

        Args:
            call_id: Identifier of the call on the connection.
            reply: Its reply.
        """
        entry = self._late.get(call_id)
        if entry is not None and not entry[1].done():
            entry[1].set_result(reply)

    def close(self) -> None:
        """Close the connection; the outcome of its calls is unknown."""
        for call_id in tuple(self._late):
            self.resolve(call_id, Reply(Outcome.UNKNOWN, codes.LINK_FAILED))
        self.link.abort()

    def _end(self, call_id: int, future: asyncio.Future) -> None:
        if future.cancelled():
            self.link.send(Cancel(call_id))
        self._late.pop(call_id, None)
