"""Calls that must not run twice, and their replies for peers that ask again."""

import collections
import dataclasses
import heapq
import math

from kumquatwalk import codes
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.targets.run import measure_reply

__all__ = ["RetainedCalls"]

# Time for which a call is known beyond its deadline, in seconds: a peer asks
# again only until the deadline, as its own clock tells it.
MARGIN_S = 5.0
# Maximum time from a call's beginning for which an ended call is known, in
# seconds.
RETENTION_MAX_S = 120.0
# Maximum number of ended calls that are known.
ENDED_CALLS_MAX = 20_000
# Fraction of the budget that kept replies may take.
REPLIES_FRACTION = 0.25


@dataclasses.dataclass(slots=True)
class _Entry:
    """What is known of one call; ``reply`` is None while it runs."""

    deadline: float
    forget_at: float
    reply: Reply | None = None
    size: int = 0
    is_taken: bool = False


class RetainedCalls:
    """Table of calls from peers that are not idempotent, by their keys.

    That a call began is known until its deadline and a margin have passed. The
    target's answer to it is kept until the peer has taken it. The kept answers
    count in the budget and are bounded together: the oldest are dropped first.
    A copy of a call whose answer is no longer kept gets the reply that the
    outcome is unknown. A call that was sent before and is not known here was
    lost on its way: it is refused as not run, and so is its first copy if that
    still arrives. Where calls may have been forgotten too early to tell, the
    outcome is unknown. None of these is run.

    Args:
        budget: Bytes of bodies that the process may hold.
        ended_calls_max: Maximum number of ended calls that are known, and of
            those that were lost on their way.

    Attributes:
        bytes_kept: Bytes of the replies kept at present.
    """

    def __init__(
        self, budget: ByteBudget, ended_calls_max: int = ENDED_CALLS_MAX
    ):
        self._budget = budget
        self._ended_calls_max = ended_calls_max
        self._entries: dict[int, _Entry] = {}
        self._ended: list[tuple[float, int]] = []
        self._lost: list[tuple[float, int]] = []
        # Time until which a call that is not known may have been forgotten.
        self._gap_until = -math.inf
        self._kept: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.bytes_kept = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def bytes_max(self) -> int:
        """Maximum of the bytes of all kept replies."""
        return int(self._budget.limit * REPLIES_FRACTION)

    def begin(
        self, key: int, deadline: float, is_resent: bool, now: float
    ) -> Reply | None:
        """Record a call that has arrived, unless it is known.

        Args:
            key: Key of the call, the same for all its copies.
            deadline: Time after which its result is of no use, in seconds.
            is_resent: Whether the peer has sent it before.
            now: Current time, in seconds.

        Returns:
            None if the call is to be run; ``end`` must follow. Otherwise the
            reply to this copy, which must not be run.
        """
        self.forget_old(now)
        entry = self._entries.get(key)
        if entry is not None:
            return entry.reply or _UNKNOWN
        last = max(now, min(deadline, now + RETENTION_MAX_S - MARGIN_S))
        self._entries[key] = _Entry(deadline, last + MARGIN_S)
        if not is_resent:
            return None
        # The first copy may still arrive, on the connection before.
        if self._was_lost(deadline, now):
            entry = self._entries[key]
            entry.reply = _LOST
            heapq.heappush(self._lost, (entry.forget_at, key))
            return _LOST
        self.end(key, _UNKNOWN, now)
        return _UNKNOWN

    def end(self, key: int, reply: Reply, now: float) -> None:
        """Record how a call ended, and keep its reply if there is room.

        Args:
            key: Key of a call for which ``begin`` returned None.
            reply: Reply to the call.
            now: Current time, in seconds.
        """
        entry = self._entries[key]
        heapq.heappush(self._ended, (entry.forget_at, key))
        entry.reply = reply
        size = measure_reply(reply)
        if entry.is_taken or size > self.bytes_max:
            entry.reply = _strip(reply)
        elif size or reply.status:
            entry.size = size
            self._kept[key] = None
            self.bytes_kept += size
            self._budget.hold(size)
            while self.bytes_kept > self.bytes_max:
                self._drop_reply(next(iter(self._kept)))
        self.forget_old(now)

    def release_reply(self, key: int) -> None:
        """Drop the reply to a call whose caller will not ask for it again.

        Args:
            key: Key of the call; one that is not known is ignored.
        """
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.is_taken = True
        if key in self._kept:
            self._drop_reply(key)

    def is_awaited(self, key: int, now: float) -> bool:
        """Return whether a peer may still ask for the reply to a call.

        Args:
            key: Key of the call; no peer asks for one that is not known.
            now: Current time, in seconds.
        """
        entry = self._entries.get(key)
        return (
            entry is not None and not entry.is_taken and now <= entry.deadline
        )

    def count_awaited(self, now: float) -> int:
        """Return how many kept replies a peer may still ask for.

        Args:
            now: Current time, in seconds.
        """
        return sum(self.is_awaited(key, now) for key in self._kept)

    def forget_old(self, now: float) -> None:
        """Forget ended calls whose time has passed or that are too many.

        Args:
            now: Current time, in seconds.
        """
        while self._ended and (
            self._ended[0][0] < now or len(self._ended) > self._ended_calls_max
        ):
            _, key = heapq.heappop(self._ended)
            if key in self._kept:
                self._drop_reply(key)
            entry = self._entries.pop(key)
            self._gap_until = max(
                self._gap_until, entry.forget_at, entry.deadline + MARGIN_S
            )
        while self._lost and self._lost[0][0] < now:
            _, key = heapq.heappop(self._lost)
            del self._entries[key]

    def _was_lost(self, deadline: float, now: float) -> bool:
        """Return whether a call that is not known has surely not begun.

        Calls are known until their deadlines; a peer that was not scheduled may
        send one again later. This one, too, must be known until then, so that
        its first copy is not run.
        """
        if len(self._lost) >= self._ended_calls_max:
            return False
        last = now + RETENTION_MAX_S - MARGIN_S
        return self._gap_until < now <= deadline <= last

    def _drop_reply(self, key: int) -> None:
        entry = self._entries[key]
        del self._kept[key]
        self.bytes_kept -= entry.size
        self._budget.release(entry.size)
        entry.reply, entry.size = _strip(entry.reply), 0


def _strip(reply: Reply) -> Reply:
    """Return what can still be said of a call without the target's answer."""
    return _UNKNOWN if measure_reply(reply) else reply


_LOST = Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
_UNKNOWN = Reply(Outcome.UNKNOWN, codes.OUTCOME_UNKNOWN)
