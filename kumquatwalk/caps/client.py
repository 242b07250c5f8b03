"""Borrower's side of caps: who waits for tokens, and whom to ask."""

import collections
import dataclasses
import itertools
import math
from collections.abc import Iterator
from collections.abc import Sequence

from kumquatwalk import codes
from kumquatwalk.caps.borrower import BorrowerPool
from kumquatwalk.caps.borrower import Token
from kumquatwalk.caps.entry import COUNT_MAX
from kumquatwalk.caps.entry import TokenEntry
from kumquatwalk.caps.grants import GRANT_LIFETIME_S
from kumquatwalk.caps.refusal import CapRefusal

__all__ = ["CapClient", "TokenRequest"]

# Time after which an allocator counts as not responding, in seconds: many round
# trips between zones.
REPLY_TIMEOUT_S = 0.05
# Longest wait of a request, in seconds: for three allocators of which none
# responds.
WAIT_MAX_S = 0.16
# Longest wait of a request for a token that has yet to come, in seconds.
TOKEN_WAIT_MAX_S = 0.05
# The same two before any allocator has responded to this process, in seconds.
# When the whole fleet starts, allocators are known after about a second.
START_WAIT_S = 1.0
# Bounds of the time for which an allocator that does not respond is not asked,
# in seconds. The upper one is well under the duration of a cut, and each
# attempt costs the requests that wait for it one ``REPLY_TIMEOUT_S``.
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 1.6
# The same while no allocator has responded, in seconds.
START_BACKOFF_S = 0.1
# Interval of the search for unspent tokens to return, in seconds.
SWEEP_INTERVAL_S = 0.05


# Messages a second that a node of a large fleet sends at most, and how many it
# may send at once beyond. With 300 nodes it keeps messages about caps under
# 2 KB a second per node; what is wanted meanwhile goes with the next message.
PACED_MESSAGES_PER_S = 11.0
PACED_MESSAGES_BURST = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Message to the allocator of a zone.

    Attributes:
        request_id: Identifier that the grant repeats.
        zone: Zone of the allocator.
        epoch: Period of lending to which returned tokens belong.
        entries: Teams with tokens wanted and returned.
    """

    request_id: int
    zone: str
    epoch: int
    entries: tuple[TokenEntry, ...]


@dataclasses.dataclass(slots=True)
class _Waiter:
    key: int
    deadline: float
    token_by: float


@dataclasses.dataclass(slots=True)
class _InFlight:
    request: TokenRequest
    sent_at: float
    is_late: bool = False


@dataclasses.dataclass(slots=True)
class _ZoneState:
    backoff_s: float = 0.0
    backoff_until: float = -math.inf
    responded: bool = False


class CapClient:
    """Takes tokens for requests and plans the messages that fetch them.

    It does no input or output: its owner sends what ``poll`` returns, passes on
    grants and failures, and polls again at ``find_next_due``. Requests of all
    teams that wait are carried by one message to each allocator.

    Args:
        zones: Zones with allocators, in order of preference.

    Attributes:
        pool: Unspent tokens.
        results: Waiters that are done, with the token or the refusal; the
            owner removes them.
        is_paced: Whether the number of messages is limited.
        silent: Requests that have got no answer in time; the owner removes
            them.
        granted: Number of tokens granted, by zone of the allocator.
    """

    def __init__(self, zones: Sequence[str]):
        self._zones = tuple(zones)
        self._states = {zone: _ZoneState() for zone in zones}
        self._waiters: dict[int, collections.deque[_Waiter]] = {}
        self._ahead: set[int] = set()
        self._asked: collections.Counter[int] = collections.Counter()
        self._in_flight: dict[int, _InFlight] = {}
        self._keys = itertools.count(1)
        self._request_ids = itertools.count(1)
        self._sweep_at = math.inf
        self._has_responded = False
        self.pool = BorrowerPool()
        self.results: list[tuple[int, Token | CapRefusal]] = []
        self.silent: list[TokenRequest] = []
        self.is_paced = False
        self._messages_left = PACED_MESSAGES_BURST
        self._paced_at = 0.0
        self.granted = dict.fromkeys(self._zones, 0)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and no token is held."""
        return not self._waiters and math.isinf(self._sweep_at)

    def try_take(self, team: int, now: float) -> Token | None:
        """Take a token that is held already, if there is one.

        ``poll`` is to be called next where ``has_work`` is then true.

        Args:
            team: Number of the team.
            now: Current time, in seconds.
        """
        token = self.pool.take(team, now)
        if token is None:
            return None
        if self.pool.wants_more(team, now) and not self._asked[team]:
            self._ahead.add(team)
        return token

    def give_back(self, token: Token, now: float) -> None:
        """Put back the token of a request that did not use it.

        Args:
            token: The token.
            now: Current time, in seconds.
        """
        if token.expires_at > now:
            self.pool.give_back(token)
            self._sweep_at = min(self._sweep_at, now + SWEEP_INTERVAL_S)

    @property
    def has_work(self) -> bool:
        """Whether ``poll`` has something new to do."""
        return bool(self._waiters or self._ahead)

    def wait(self, team: int, deadline: float, now: float) -> int:
        """Let a request wait for a token.

        Args:
            team: Number of the team.
            deadline: Deadline of the request, in seconds.
            now: Current time, in seconds.

        Returns:
            Key under which ``results`` names it.
        """
        wait_s, token_wait_s = WAIT_MAX_S, TOKEN_WAIT_MAX_S
        if not self._has_responded:
            wait_s = token_wait_s = START_WAIT_S
        key = next(self._keys)
        waiter = _Waiter(
            key, min(deadline, now + wait_s), min(deadline, now + token_wait_s)
        )
        self._waiters.setdefault(team, collections.deque()).append(waiter)
        return key

    def cancel(self, team: int, key: int) -> None:
        """Forget a request that waits, as its caller has left.

        Args:
            team: Number of the team.
            key: Its key.
        """
        waiters = self._waiters.get(team, ())
        kept = collections.deque(w for w in waiters if w.key != key)
        self._set_waiters(team, kept)

    def handle_grant(
        self,
        request_id: int,
        epoch: int,
        entries: Sequence[TokenEntry],
        now: float,
    ) -> None:
        """Add the tokens of a grant.

        Args:
            request_id: Request that it answers; an unknown one is ignored.
            epoch: Period of lending.
            entries: Teams with tokens and the time until the next.
            now: Current time, in seconds.
        """
        flight = self._in_flight.pop(request_id, None)
        if flight is None:
            return
        zone = flight.request.zone
        self._end_flight(flight)
        self.end_backoff(zone)
        self._states[zone].responded = self._has_responded = True
        granted = {entry.team: entry for entry in entries}
        for wanted in flight.request.entries:
            if not wanted.count:
                continue
            entry = granted.get(wanted.team, TokenEntry(wanted.team, 0, 100))
            self.pool.add_grant(zone, epoch, entry, flight.sent_at)
            if entry.count < wanted.count:
                wait_s = entry.extra / 1000.0
                self.pool.mark_empty(zone, entry.team, wait_s, now)
            if entry.count:
                self.granted[zone] += entry.count
                self._sweep_at = min(self._sweep_at, now + SWEEP_INTERVAL_S)

    def handle_failure(self, request_id: int, now: float) -> None:
        """Record that an allocator could not be asked or does not lend.

        Args:
            request_id: Request that failed; an unknown one is ignored.
            now: Current time, in seconds.
        """
        flight = self._in_flight.pop(request_id, None)
        if flight is not None:
            self._end_flight(flight)
            self._back_off(flight.request.zone, now)

    def end_backoff(self, zone: str) -> None:
        """Ask the allocator of a zone again at once, as another one lends.

        Args:
            zone: Zone of the allocator.
        """
        state = self._states[zone]
        state.backoff_s, state.backoff_until = 0.0, -math.inf

    def poll(self, now: float) -> list[TokenRequest]:
        """Serve, refuse or keep what waits, and return messages to send.

        Args:
            now: Current time, in seconds.
        """
        self._end_late_flights(now)
        wanted: dict[str, dict[int, int]] = {}
        can_send = not self.is_paced or self._refill_messages(now) >= 1.0
        for team in tuple(self._waiters):
            self._serve_waiters(team, now)
            usable = self._list_usable(now)
            self._refuse_overdue(team, usable, now)
            if can_send:
                self._plan_team(team, usable, wanted, now)
        if can_send:
            self._plan_ahead(wanted, now)
        if now >= self._sweep_at:
            has_lots = self.pool.sweep(now)
            self._sweep_at = now + SWEEP_INTERVAL_S if has_lots else math.inf
        return list(self._make_requests(wanted, now))

    def find_next_due(self) -> float:
        """Return the time at which to poll next, in seconds."""
        due = self._sweep_at
        for flight in self._in_flight.values():
            timeout_s = GRANT_LIFETIME_S if flight.is_late else REPLY_TIMEOUT_S
            due = min(due, flight.sent_at + timeout_s)
        send_at = self._find_send_time()
        if self._ahead:
            due = min(due, send_at)
        for team, waiters in self._waiters.items():
            due = min(due, *(w.deadline for w in waiters))
            if not self._asked[team]:
                token_at = self._find_next_token(team, self._zones)
                due = min(due, max(token_at, send_at))
        return due

    def _find_send_time(self) -> float:
        """Return the time from which a message may be sent, in seconds."""
        missing = 1.0 - self._messages_left
        if not self.is_paced or missing <= 0.0:
            return -math.inf
        # The margin is above the rounding of a time since the boot.
        return self._paced_at + missing / PACED_MESSAGES_PER_S + 1e-4

    def _find_next_token(self, team: int, zones: Sequence[str]) -> float:
        """Return when one of some zones can be asked; infinite without one."""
        return min(
            (
                max(
                    self._states[zone].backoff_until,
                    self.pool.get_empty_until(team, zone),
                )
                for zone in zones
            ),
            default=math.inf,
        )

    def _list_usable(self, now: float) -> list[str]:
        return [
            zone
            for zone in self._zones
            if self._states[zone].backoff_until <= now
        ]

    def _serve_waiters(self, team: int, now: float) -> None:
        waiters = self._waiters[team]
        while waiters:
            token = self.pool.spend(team, now)
            if token is None:
                break
            self.results.append((waiters.popleft().key, token))
        self._set_waiters(team, waiters)

    def _plan_team(
        self,
        team: int,
        usable: list[str],
        wanted: dict[str, dict[int, int]],
        now: float,
    ) -> None:
        """Ask for the tokens that are missing for those who wait."""
        missing = len(self._waiters.get(team, ())) - self._asked[team]
        zone = self.pool.find_zone(team, usable, now)
        if missing > 0 and zone is not None:
            count = self.pool.plan_request(team, missing)
            wanted.setdefault(zone, {})[team] = count

    def _plan_ahead(
        self, wanted: dict[str, dict[int, int]], now: float
    ) -> None:
        """Ask for tokens of teams with much demand before theirs run out."""
        usable = self._list_usable(now)
        for team in self._ahead:
            zone = self.pool.find_zone(team, usable, now)
            if zone is not None and not self._asked[team]:
                count = self.pool.plan_request(team, 0)
                wanted.setdefault(zone, {}).setdefault(team, count)
        self._ahead.clear()

    def _refill_messages(self, now: float) -> float:
        """Return how many messages may be sent at once now."""
        elapsed = max(0.0, now - self._paced_at)
        self._paced_at = max(now, self._paced_at)
        self._messages_left = min(
            PACED_MESSAGES_BURST,
            self._messages_left + elapsed * PACED_MESSAGES_PER_S,
        )
        return self._messages_left

    def _refuse_overdue(self, team: int, usable: list[str], now: float) -> None:
        """Refuse the requests whose wait is over or is known to be futile."""
        token_at = self._find_next_token(team, usable)
        is_asking = self._asked[team] > 0
        kept = collections.deque()
        for waiter in self._waiters.get(team, ()):
            if is_asking or not self._has_responded:
                is_kept = now < waiter.deadline
            else:
                is_kept = token_at < waiter.token_by and now < waiter.deadline
            if is_kept:
                kept.append(waiter)
            else:
                refusal = self._refuse(team, usable, now)
                self.results.append((waiter.key, refusal))
        self._set_waiters(team, kept)

    def _refuse(
        self, team: int, usable: Sequence[str], now: float
    ) -> CapRefusal:
        """Return the refusal of a request for which no token came in time."""
        states = self._states
        empty = [
            self.pool.get_empty_until(team, zone)
            for zone in usable
            if states[zone].responded
        ]
        if empty:
            return CapRefusal(codes.TEAM_CAP, max(0.0, min(empty) - now))
        until = min(state.backoff_until for state in states.values())
        return CapRefusal(
            codes.CAP_UNAVAILABLE, max(BACKOFF_MIN_S, until - now)
        )

    def _make_requests(
        self, wanted: dict[str, dict[int, int]], now: float
    ) -> Iterator[TokenRequest]:
        returns = self.pool.take_returns()
        for zone, epoch in returns:
            returned = returns[zone, epoch]
            teams = dict.fromkeys(returned, 0) | wanted.pop(zone, {})
            yield self._make_request(zone, epoch, teams, returned, now)
        for zone, teams in wanted.items():
            yield self._make_request(zone, 0, teams, {}, now)

    def _make_request(
        self,
        zone: str,
        epoch: int,
        teams: dict[int, int],
        returned: dict[int, int],
        now: float,
    ) -> TokenRequest:
        entries = tuple(
            TokenEntry(team, count, min(COUNT_MAX, returned.get(team, 0)))
            for team, count in teams.items()
        )
        request_id = next(self._request_ids) & 0xFFFFFFFF
        request = TokenRequest(request_id, zone, epoch, entries)
        self._messages_left -= 1.0
        if any(entry.count for entry in entries):
            self._in_flight[request_id] = _InFlight(request, now)
            for entry in entries:
                self._asked[entry.team] += entry.count
        return request

    def _end_late_flights(self, now: float) -> None:
        for request_id, flight in tuple(self._in_flight.items()):
            age_s = now - flight.sent_at
            if not flight.is_late and age_s >= REPLY_TIMEOUT_S:
                self._end_flight(flight)
                flight.is_late = True
                self.silent.append(flight.request)
                self._back_off(flight.request.zone, now)
            if age_s >= GRANT_LIFETIME_S:
                del self._in_flight[request_id]

    def _end_flight(self, flight: _InFlight) -> None:
        """Stop counting on the tokens of a request."""
        if flight.is_late:
            return
        for entry in flight.request.entries:
            self._asked[entry.team] -= entry.count
            if not self._asked[entry.team]:
                del self._asked[entry.team]

    def _back_off(self, zone: str, now: float) -> None:
        state = self._states[zone]
        state.responded = False
        if now < state.backoff_until:
            return
        if not self._has_responded:
            state.backoff_until = now + START_BACKOFF_S
            return
        state.backoff_s = min(
            BACKOFF_MAX_S, max(BACKOFF_MIN_S, 2.0 * state.backoff_s)
        )
        state.backoff_until = now + state.backoff_s

    def _set_waiters(
        self, team: int, waiters: collections.deque[_Waiter]
    ) -> None:
        if waiters:
            self._waiters[team] = waiters
        else:
            self._waiters.pop(team, None)
