"""Allocator: lends the tokens of one zone's share of every cap."""

from collections.abc import Sequence

from kumquatwalk.caps.bucket import TeamBucket
from kumquatwalk.caps.entry import COUNT_MAX
from kumquatwalk.caps.entry import TokenEntry
from kumquatwalk.caps.team_index import TeamIndex

__all__ = ["Allocator"]

_MS_PER_S = 1000.0


class Allocator:
    """Lends an equal part of the caps of all teams to borrowers.

    Buckets begin empty each time that lending begins, so whatever an earlier
    allocator has lent, both together keep within the rate.

    Args:
        zones: Number of zones, each of which lends an equal part.

    Attributes:
        epoch: Number of the present period of lending; returns of tokens that
            were lent in another one are ignored.
        lent: Number of tokens lent so far.
    """

    def __init__(self, zones: int):
        self._zones = zones
        self._index = TeamIndex(())
        self._buckets: dict[int, TeamBucket] = {}
        self._share = 0.0
        self.epoch = 0
        self.lent = 0

    def set_teams(self, index: TeamIndex, now: float) -> None:
        """Replace the teams; limits that have changed apply at once.

        Args:
            index: Numbers of the teams.
            now: Current time, in seconds.
        """
        self._index = index
        for number in tuple(self._buckets):
            if number in index.by_number:
                self._buckets[number].set_limits(*self._limit(number), now)
            else:
                del self._buckets[number]
        # A team that is new here gains no tokens for the time before.
        for number in index.by_number:
            if number not in self._buckets:
                bucket = TeamBucket(*self._limit(number), now)
                self._buckets[number] = bucket

    def begin(self, epoch: int, now: float) -> None:
        """Begin to lend, with empty buckets.

        Args:
            epoch: Number of this period of lending.
            now: Current time, in seconds.
        """
        self.epoch = epoch
        self._buckets.clear()
        self.set_teams(self._index, now)

    def set_share(self, share: float, now: float) -> None:
        """Change the part of the zone's share that this node may lend.

        Args:
            share: Part from 0 to 1.
            now: Current time, in seconds.
        """
        if share == self._share:
            return
        self._share = share
        for number, bucket in self._buckets.items():
            bucket.set_limits(*self._limit(number), now)

    def lend(
        self, entries: Sequence[TokenEntry], epoch: int, now: float
    ) -> tuple[TokenEntry, ...]:
        """Take back the tokens of a request and lend what it wants.

        Args:
            entries: Teams with the tokens wanted and returned.
            epoch: Period in which the returned tokens were lent.
            now: Current time, in seconds.

        Returns:
            For each team of which tokens are wanted, the tokens lent and the
            time until the next. A team that is not known here is left out.
        """
        grants = []
        for entry in entries:
            bucket = self._buckets.get(entry.team)
            if bucket is None:
                continue
            if entry.extra and epoch == self.epoch:
                bucket.give_back(entry.extra, now)
            if not entry.count:
                continue
            taken = bucket.take(entry.count, now)
            self.lent += taken
            wait_ms = int(bucket.estimate_wait(now) * _MS_PER_S)
            grants.append(
                TokenEntry(entry.team, taken, min(wait_ms + 1, COUNT_MAX))
            )
        return tuple(grants)

    def _limit(self, number: int) -> tuple[float, float]:
        team = self._index.by_number[number]
        part = self._share / self._zones
        return (team.rate_max_per_s or 0.0) * part, team.burst * part
