"""Fair shares of teams in the queue of one target."""

import bisect
import dataclasses
import operator
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Protocol

__all__ = ["FairQueue", "QueuedCall"]

# Starts of calls in one rank between two checks which teams can be forgotten,
# at least; else as many as there are teams, so that the cost of a start is the
# same for any number of teams.
CHECK_INTERVAL_MIN = 32
# Second field of the order of a call of a team. Calls without a team have 0
# or 1 there, so that they precede those of teams of the same rank.
_TEAM_GROUP = 2


class Queueable(Protocol):
    """Call that can be queued; see ``AdmissionRequest``."""

    key: int
    rank: int
    is_preferred: bool
    team: str


@dataclasses.dataclass(slots=True, eq=False)
class QueuedCall:
    """Call in the queue.

    Attributes:
        order: Position in the queue: rank and preference and arrival of a call
            without a team; rank, start tag, preference and arrival of one of a
            team.
        call: The call.
        run_s: Expected run time, in seconds.
    """

    order: tuple
    call: Queueable
    run_s: float


@dataclasses.dataclass(slots=True)
class _TeamShare:
    """Queued calls of one team in one rank.

    Attributes:
        items: Queued calls, preferred ones first, then by arrival.
        start_tag: Start tag of the first of them, or of the next call.
    """

    items: list[QueuedCall]
    start_tag: float


@dataclasses.dataclass(slots=True)
class _RankShares:
    """Shares of the teams that have calls queued in one rank.

    Attributes:
        virtual_time: Start tag of the call of a team that was started last.
        queued: Number of queued calls of teams.
        teams: Shares by name of the team.
        starts_left: Starts until idle teams are dropped.
    """

    virtual_time: float = 0.0
    queued: int = 0
    starts_left: int = CHECK_INTERVAL_MIN
    teams: dict[str, _TeamShare] = dataclasses.field(default_factory=dict)

    def drop_idle_teams(self) -> None:
        """Drop teams that a new call would find as if they were unknown."""
        self.teams = {
            name: share
            for name, share in self.teams.items()
            if share.items or share.start_tag > self.virtual_time
        }
        self.starts_left = max(CHECK_INTERVAL_MIN, len(self.teams))


class FairQueue:
    """Queue ordered by rank, in which teams of one rank share fairly.

    Calls without a team are ordered by rank, then preferred calls, then
    arrival, and precede calls of teams of the same rank.

    Calls of teams are ordered by rank and then by start-time fair queueing
    (Goyal, Vin and Cheng, 1996), with several calls in service at a time (Jin,
    Chase and Kaur, 2004). The start tag of a call is the finish tag of the
    call before it of the same team, or the virtual time if that is later. Its
    finish tag is the expected run time later, so that teams share slot-seconds
    and not calls. Preferred calls go first among those of their team only:
    teams that exceed their share have the most retries, and would otherwise
    overtake all others with them.

    The state of a rank is dropped when no call of a team is queued in it. Until
    then it has the teams with queued calls, and those that have been started
    ahead of the virtual time. A team of which nothing was queued for so long
    that each other has had as much is forgotten.
    """

    def __init__(self):
        self._items: list[QueuedCall] = []
        self._ranks: dict[int, _RankShares] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedCall]:
        return iter(self._items)

    @property
    def teams_known(self) -> int:
        """Number of teams of which there is state, each rank counted."""
        return sum(len(shares.teams) for shares in self._ranks.values())

    def make_item(self, call: Queueable, run_s: float) -> QueuedCall:
        """Return a call with the order that it would have in the queue.

        Args:
            call: The call.
            run_s: Its expected run time, in seconds.
        """
        self._sequence += 1
        if call.team:
            tag = self._compute_start_tag(call)
            preference = 0 if call.is_preferred else 1
            order = (call.rank, _TEAM_GROUP, tag, preference, self._sequence)
        else:
            order = (call.rank, 0 if call.is_preferred else 1, self._sequence)
        return QueuedCall(order, call, run_s)

    def find_index(self, item: QueuedCall) -> int:
        """Return the number of queued calls that precede a new one.

        Args:
            item: Call that is not queued.
        """
        return bisect.bisect(self._items, item.order, key=_get_order)

    def estimate_index(self, call: Queueable) -> int:
        """Return the number of calls that would precede a refused one.

        A call without a team is taken to come last.

        Args:
            call: Call that is not queued.
        """
        if not call.team:
            return len(self._items)
        tag = self._compute_start_tag(call)
        preference = 0 if call.is_preferred else 1
        order = (call.rank, _TEAM_GROUP, tag, preference, self._sequence)
        return bisect.bisect(self._items, order, key=_get_order)

    def sum_run_times(self, count: int) -> float:
        """Return the sum of expected run times of the first calls, in seconds.

        Args:
            count: Number of calls.
        """
        return sum(item.run_s for item in self._items[:count])

    def insert(self, index: int, item: QueuedCall) -> None:
        """Queue a call.

        Args:
            index: Its index, from ``find_index``.
            item: The call, from ``make_item``.
        """
        self._items.insert(index, item)
        if item.call.team:
            self._add_to_team(item)

    def get_first(self) -> QueuedCall:
        """Return the first call of a queue that is not empty."""
        return self._items[0]

    def start_first(self) -> None:
        """Remove the first call because it starts, and charge its team."""
        item = self._items.pop(0)
        if not item.call.team:
            return
        shares = self._ranks[item.call.rank]
        share = shares.teams[item.call.team]
        share.items.remove(item)
        shares.virtual_time = share.start_tag
        share.start_tag += item.run_s
        shares.queued -= 1
        shares.starts_left -= 1
        if not shares.queued:
            del self._ranks[item.call.rank]
        elif not shares.starts_left:
            shares.drop_idle_teams()

    def remove_first(self) -> None:
        """Remove the first call, which does not start."""
        item = self._items[0]
        if item.call.team:
            self.remove([item])
        else:
            del self._items[0]

    def remove_last(self) -> QueuedCall:
        """Remove and return the last call of a queue that is not empty.

        Of the calls of teams in the lowest rank it has the latest start tag, so
        it belongs to the team that exceeds its share the most.
        """
        item = self._items[-1]
        if item.call.team:
            self.remove([item])
        else:
            del self._items[-1]
        return item

    def remove(self, removed: Sequence[QueuedCall]) -> None:
        """Remove calls that do not start; their teams are not charged.

        Args:
            removed: Queued calls.
        """
        if not removed:
            return
        keys = {item.call.key for item in removed}
        self._items = [i for i in self._items if i.call.key not in keys]
        changed = {}
        for item in removed:
            if item.call.team:
                shares = self._ranks[item.call.rank]
                share = shares.teams[item.call.team]
                share.items.remove(item)
                shares.queued -= 1
                changed[item.call.rank, item.call.team] = share
        for share in changed.values():
            self._update_tags(share)
        for rank in {rank for rank, _ in changed}:
            if not self._ranks[rank].queued:
                del self._ranks[rank]
        if changed:
            self._items.sort(key=_get_order)

    def clear(self) -> list[QueuedCall]:
        """Remove and return all calls, in order."""
        items, self._items = self._items, []
        self._ranks.clear()
        return items

    def _compute_start_tag(self, call: Queueable) -> float:
        shares = self._ranks.get(call.rank)
        if shares is None:
            return 0.0
        share = shares.teams.get(call.team)
        if share is None:
            return shares.virtual_time
        if not share.items:
            return max(shares.virtual_time, share.start_tag)
        if not call.is_preferred:
            last = share.items[-1]
            return last.order[2] + last.run_s
        # In the order of ``_update_tags``, so that rounding is the same.
        tag = share.start_tag
        for item in share.items:
            if item.call.is_preferred:
                tag += item.run_s
        return tag

    def _add_to_team(self, item: QueuedCall) -> None:
        call = item.call
        shares = self._ranks.setdefault(call.rank, _RankShares())
        shares.queued += 1
        share = shares.teams.get(call.team)
        if share is None:
            share = shares.teams[call.team] = _TeamShare([], item.order[2])
        if not share.items:
            share.start_tag = item.order[2]
        if not call.is_preferred or not share.items:
            share.items.append(item)
            return
        index = sum(i.call.is_preferred for i in share.items)
        share.items.insert(index, item)
        if index + 1 < len(share.items):
            self._update_tags(share)
            self._items.sort(key=_get_order)

    def _update_tags(self, share: _TeamShare) -> None:
        """Compute the start tags of a team's calls from that of the first."""
        tag = share.start_tag
        for item in share.items:
            item.order = (*item.order[:2], tag, *item.order[3:])
            tag += item.run_s


_get_order = operator.attrgetter("order")
