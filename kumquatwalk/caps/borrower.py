"""Tokens that one node has borrowed, and its plan of what to borrow next."""

import dataclasses
import math
from collections.abc import Iterable

from kumquatwalk.caps.entry import COUNT_MAX
from kumquatwalk.caps.entry import TokenEntry
from kumquatwalk.caps.grants import GRANT_LIFETIME_S

__all__ = ["BorrowerPool", "Token"]

# Time of a team's recent demand for which tokens are borrowed ahead, in
# seconds: well under the lifetime of a grant, so that few tokens are lost. A
# team with less than one request in that time borrows on demand only.
AHEAD_S = 0.12
# Time constant of the estimate of a team's demand, in seconds.
DEMAND_TIME_S = 0.5
# Time before the end of a grant at which its tokens are returned, in seconds.
# Tokens that would end on the way are not worth the bytes.
RETURN_BEFORE_S = 0.1
# Bounds of the time for which an allocator without tokens is not asked again,
# in seconds. It doubles while the team stays over its cap, which bounds the
# messages; tokens that come meanwhile are kept up to the burst.
EMPTY_MIN_S = 0.025
EMPTY_MAX_S = 0.2
# Time after its last request after which a team is forgotten, in seconds.
FORGET_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Token that one request has taken.

    Attributes:
        team: Number of the team.
        zone: Zone of the allocator that has lent it.
        epoch: Period of lending.
        expires_at: End of its lifetime, in seconds.
    """

    team: int
    zone: str
    epoch: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Lot:
    """Tokens of one grant."""

    count: int
    expires_at: float
    zone: str
    epoch: int


class _TeamState:
    """Tokens and demand of one team."""

    __slots__ = ("lots", "rate_per_s", "counted_at", "empty_s", "empty_until")

    def __init__(self, now: float):
        self.lots: list[_Lot] = []
        self.rate_per_s = 0.0
        self.counted_at = now
        self.empty_s = 0.5 * EMPTY_MIN_S
        self.empty_until: dict[str, float] = {}


class BorrowerPool:
    """Holds unspent tokens of all teams at one node.

    Its memory follows the teams with requests at this node lately.

    Attributes:
        lost: Number of tokens whose lifetime has ended unspent.
        returned: Number of tokens returned.
    """

    def __init__(self):
        self._teams: dict[int, _TeamState] = {}
        self._with_lots: set[int] = set()
        self._forget_at = 0.0
        self._returns: dict[tuple[str, int], dict[int, int]] = {}
        self.lost = 0
        self.returned = 0

    def take(self, team: int, now: float) -> Token | None:
        """Take a token for one request and return it, if there is one.

        Args:
            team: Number of the team.
            now: Current time, in seconds.
        """
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = _TeamState(now)
        self._count_demand(state, now)
        return self._spend(team, state, now)

    def spend(self, team: int, now: float) -> Token | None:
        """Take a token for a request that has waited, if there is one.

        Args:
            team: Number of the team.
            now: Current time, in seconds.
        """
        state = self._teams.get(team)
        return None if state is None else self._spend(team, state, now)

    def give_back(self, token: Token) -> None:
        """Put back the token of a request that was refused elsewhere.

        Args:
            token: The token; its lifetime goes on.
        """
        state = self._teams.get(token.team)
        if state is not None:
            self._with_lots.add(token.team)
            state.lots.append(
                _Lot(1, token.expires_at, token.zone, token.epoch)
            )

    def plan_request(self, team: int, waiting: int) -> int:
        """Return how many tokens to request.

        Args:
            team: Number of the team.
            waiting: Requests that wait for a token.

        Returns:
            As many as wait, and for a team with much demand some more.
        """
        state = self._teams.get(team)
        ahead = 0 if state is None else int(state.rate_per_s * AHEAD_S)
        return min(COUNT_MAX, waiting + ahead)

    def wants_more(self, team: int, now: float) -> bool:
        """Return whether to borrow ahead, as few tokens are left.

        Args:
            team: Number of the team.
            now: Current time, in seconds.
        """
        state = self._teams.get(team)
        if state is None:
            return False
        ahead = int(state.rate_per_s * AHEAD_S)
        if ahead < 2:
            return False
        left = sum(lot.count for lot in state.lots if lot.expires_at > now)
        return 2 * left <= ahead

    def add_grant(
        self, zone: str, epoch: int, entry: TokenEntry, sent_at: float
    ) -> None:
        """Add granted tokens.

        Args:
            zone: Zone of the allocator.
            epoch: Epoch that its message names; returns name it again.
            entry: Team with the tokens granted.
            sent_at: Time at which the request was sent, in seconds.
        """
        state = self._teams.get(entry.team)
        if state is None:
            state = self._teams[entry.team] = _TeamState(sent_at)
        if entry.count:
            expires_at = sent_at + GRANT_LIFETIME_S
            state.empty_s = 0.5 * EMPTY_MIN_S
            self._with_lots.add(entry.team)
            state.lots.append(_Lot(entry.count, expires_at, zone, epoch))

    def mark_empty(
        self, zone: str, team: int, wait_s: float, now: float
    ) -> None:
        """Record that an allocator has no more tokens of a team.

        Args:
            zone: Zone of the allocator.
            team: Number of the team.
            wait_s: Time until it expects the next token, in seconds.
            now: Current time, in seconds.
        """
        state = self._teams.get(team)
        if state is not None:
            state.empty_s = min(EMPTY_MAX_S, 2.0 * state.empty_s)
            state.empty_until[zone] = now + max(state.empty_s, wait_s)

    def find_zone(
        self, team: int, zones: Iterable[str], now: float
    ) -> str | None:
        """Return the first zone that is not known to lack tokens of a team.

        Args:
            team: Number of the team.
            zones: Zones in order of preference.
            now: Current time, in seconds.
        """
        state = self._teams.get(team)
        empty = {} if state is None else state.empty_until
        return next((z for z in zones if empty.get(z, 0.0) <= now), None)

    def get_empty_until(self, team: int, zone: str) -> float:
        """Return until when an allocator is not asked for a team's tokens.

        Args:
            team: Number of the team.
            zone: Zone of the allocator.

        Returns:
            The time, in seconds; minus infinity if it may be asked.
        """
        state = self._teams.get(team)
        return (
            -math.inf
            if state is None
            else state.empty_until.get(zone, -math.inf)
        )

    def sweep(self, now: float) -> bool:
        """Set tokens aside for return that are not spent; forget idle teams.

        Args:
            now: Current time, in seconds.

        Returns:
            Whether any tokens are left whose time will come.
        """
        for team in tuple(self._with_lots):
            state = self._teams[team]
            self._drop_expired(state, now)
            kept = []
            for lot in state.lots:
                if lot.expires_at - now < RETURN_BEFORE_S:
                    place = lot.zone, lot.epoch
                    returns = self._returns.setdefault(place, {})
                    returns[team] = returns.get(team, 0) + lot.count
                    self.returned += lot.count
                else:
                    kept.append(lot)
            state.lots = kept
            if not kept:
                self._with_lots.discard(team)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_S
            self._forget_idle_teams(now)
        return bool(self._with_lots)

    def _forget_idle_teams(self, now: float) -> None:
        for team, state in tuple(self._teams.items()):
            if not state.lots and now - state.counted_at > FORGET_S:
                del self._teams[team]

    def take_returns(self) -> dict[tuple[str, int], dict[int, int]]:
        """Return and forget the tokens set aside for return.

        Returns:
            Numbers of tokens by team, by zone and epoch of the allocator.
        """
        returns, self._returns = self._returns, {}
        return returns

    def _spend(self, team: int, state: _TeamState, now: float) -> Token | None:
        self._drop_expired(state, now)
        if not state.lots:
            return None
        lot = state.lots[0]
        lot.count -= 1
        if not lot.count:
            del state.lots[0]
        return Token(team, lot.zone, lot.epoch, lot.expires_at)

    def _drop_expired(self, state: _TeamState, now: float) -> None:
        # A late grant may end before one that was added earlier.
        if any(lot.expires_at <= now for lot in state.lots):
            ended = [lot for lot in state.lots if lot.expires_at <= now]
            self.lost += sum(lot.count for lot in ended)
            state.lots = [lot for lot in state.lots if lot.expires_at > now]

    def _count_demand(self, state: _TeamState, now: float) -> None:
        elapsed = max(0.0, now - state.counted_at)
        state.counted_at = max(now, state.counted_at)
        state.rate_per_s *= math.exp(-elapsed / DEMAND_TIME_S)
        state.rate_per_s += 1.0 / DEMAND_TIME_S
