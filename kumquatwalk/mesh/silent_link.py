"""Connection on which nothing has come for a while, with the calls on it."""

import asyncio

from kumquatwalk import codes
from kumquatwalk.mesh.late_calls import LateCalls
from kumquatwalk.mesh.link_protocol import LinkProtocol
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
        late: Calls whose replies may still come on it.
        now: Current time, in seconds.
    """

    def __init__(self, link: LinkProtocol, late: LateCalls, now: float):
        self.link = link
        self.late = late
        self._silent_from = now
        self._resent: dict[int, asyncio.Future[Reply]] = {}
        self._is_left_behind = False

    @property
    def is_alive(self) -> bool:
        """Whether something has come since, be it read or not."""
        return (
            self.link.last_received_at > self._silent_from
            or self.link.has_unread_bytes
        )

    @property
    def is_needed(self) -> bool:
        """Whether a reply may still come."""
        return bool(self.late or self._resent)

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

    def leave_behind(self) -> None:
        """Send its calls nowhere else: the process they were sent to has ended.

        They end with this connection then.
        """
        self._is_left_behind = True

    def is_left_behind(self, reply: asyncio.Future[Reply]) -> bool:
        """Return whether a reply can only come here.

        Args:
            reply: Reply to a call.
        """
        return self._is_left_behind and reply in self._resent.values()

    def resolve(self, call_id: int, reply: Reply) -> None:
        """Pass on the reply to a call, if one is expected.

        Args:
            call_id: Identifier of the call on the connection.
            reply: Its reply.
        """
        if call_id in self.late:
            self.late.resolve(call_id, reply)
            return
        future = self._resent.get(call_id)
        if future is not None and not future.done():
            future.set_result(reply)

    def close(self) -> None:
        """Close the connection.

        The outcome of its calls is unknown, but for those sent again.
        """
        self.late.fail_all()
        if self._is_left_behind:
            for reply in self._resent.values():
                if not reply.done():
                    reply.set_result(Reply(Outcome.UNKNOWN, codes.LINK_FAILED))
        self.link.abort()

    def _end_resent(self, call_id: int) -> None:
        self._resent.pop(call_id, None)
        self.link.send(Cancel(call_id))
