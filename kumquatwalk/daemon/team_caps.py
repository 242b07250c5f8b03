"""Caps of teams at one node: borrows tokens, and lends those of its zone."""

import asyncio
import math
import random
from collections.abc import Callable
from collections.abc import Mapping

from kumquatwalk.caps.allocator import Allocator
from kumquatwalk.caps.borrower import Token
from kumquatwalk.caps.client import REPLY_TIMEOUT_S
from kumquatwalk.caps.client import CapClient
from kumquatwalk.caps.client import TokenRequest
from kumquatwalk.caps.refusal import CapRefusal
from kumquatwalk.caps.team_index import TeamIndex
from kumquatwalk.clock import read_now
from kumquatwalk.config.team import Team
from kumquatwalk.config.team import TeamTable
from kumquatwalk.daemon.cap_metrics import CapMetrics
from kumquatwalk.daemon.cap_record_keeper import CapRecordKeeper
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.mesh.message import CapGrant
from kumquatwalk.mesh.message import CapHolder
from kumquatwalk.mesh.message import CapRequest
from kumquatwalk.mesh.message import Reply
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.outcome import Outcome
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.roster.duty import list_holders
from kumquatwalk.tasks import start_task

__all__ = ["TeamCaps"]

# Nodes of a zone that may take its record: one may be refused by the store, and
# one may be frozen.
CANDIDATES = 3
# Zone that stands for the fleet where the settings name no zones.
FLEET_ZONE = "fleet"
# Minimum time after which a refused request may come again, in seconds: earlier
# ones would only compete for the same token.
RETRY_AFTER_MIN_S = 0.1
# Range of the random factor applied to that time.
RETRY_AFTER_JITTER = (1.0, 1.5)
# Requests that are remembered until their answers come. Those of an allocator
# that does not respond are forgotten as later ones replace them.
ASKED_MAX = 1000
# Number of nodes above which messages to allocators are paced. In a smaller
# fleet, requests do not wait to be sent together.
PACED_NODES_MIN = 200
_EPOCHS = 1 << 32


class TeamCaps:
    """Keeps requests of teams within their caps over the fleet.

    Does nothing while no team has a cap: no task, message or call to the store.

    Args:
        settings: Settings of the daemon.
        incarnation: Incarnation of this process.
        store: Client of the store.
        peers: Links to other nodes.
        is_roster_known: Returns whether the other nodes are known.
        registry: Registry of the metrics, which are added with the first cap.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: int,
        store: StoreClient,
        peers: Peers,
        is_roster_known: Callable[[], bool],
        registry: MetricsRegistry,
    ):
        self._node_id = settings.node_id
        self._peers = peers
        self._registry = registry
        self._is_roster_known = is_roster_known
        self._rng = random.Random()
        zones = settings.zones or (FLEET_ZONE,)
        zone = settings.availability_zone if settings.zones else FLEET_ZONE
        self._zone = zone
        others = [z for z in zones if z != zone]
        self._rng.shuffle(others)
        # A node of a zone that the settings do not name only borrows.
        self._zones = (zone, *others) if zone in zones else tuple(others)
        self._index = TeamIndex(())
        self._allocator = Allocator(len(zones))
        self._epoch = self._rng.randrange(1, _EPOCHS)
        self._client = CapClient(self._zones)
        self._keeper = CapRecordKeeper(
            store,
            self._node_id,
            incarnation,
            zone,
            self._zones,
            self._is_candidate,
            self._set_holders,
            self._begin_lending,
        )
        self._holders: dict[str, str] = {}
        self._failures = dict.fromkeys(self._zones, 0)
        self._asked: dict[int, tuple[TokenRequest, str]] = {}
        self._waiting: dict[int, asyncio.Future[Token | CapRefusal | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._pending_pump: asyncio.Handle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._metrics: CapMetrics | None = None
        self._is_stopping = False
        self._is_closed = False

    @property
    def is_active(self) -> bool:
        """Whether any team has a cap."""
        return bool(self._index.by_number)

    @property
    def share(self) -> float:
        """Part of its zone's caps that this node may lend now."""
        return self._keeper.right.measure_share(read_now())

    @property
    def is_running(self) -> bool:
        """Whether a task, a timer or a metric of the caps exists."""
        return (
            self._keeper.is_running
            or self._timer is not None
            or self._metrics is not None
            or bool(self._tasks)
        )

    def set_teams(self, teams: TeamTable | None) -> None:
        """Put the caps of a configuration into force.

        Args:
            teams: Teams of the configuration; None if it has none.
        """
        index = TeamIndex(() if teams is None else teams.teams.values())
        was_active = self.is_active
        if not (was_active or index.by_number) or self._is_closed:
            return
        self._index = index
        self._allocator.set_teams(index, read_now())
        if not was_active:
            self._make_metrics()
            if not self._is_stopping:
                self._keeper.start()
        elif not self.is_active:
            self._release_record()
            for future in self._waiting.values():
                if not future.done():
                    future.set_result(None)

    def begin_stop(self) -> None:
        """Hand over the record of the zone; go on borrowing."""
        if not self._is_stopping:
            self._is_stopping = True
            if self.is_active:
                self._release_record()

    def close(self) -> None:
        """Stop all tasks."""
        self._is_closed = True
        self._keeper.close()
        for handle in (self._timer, self._pending_pump):
            if handle is not None:
                handle.cancel()
        for task in tuple(self._tasks):
            task.cancel()

    def handle_restore(self) -> None:
        """Write the record again, as the store was restored from a copy."""
        self._keeper.handle_restore()

    async def take_token(
        self, caller: CallerRequest, route: str, deadline: float
    ) -> Token | Reply | None:
        """Take a token for a request.

        Args:
            caller: Decoded headers of the request, with a team that has a cap.
            route: Name of the route, for the log.
            deadline: Deadline of the request, in seconds.

        Returns:
            The token; None if none is needed any more; the reply that refuses
            the request if there is none.
        """
        result = await self.acquire(caller.team, read_now(), deadline)
        if not isinstance(result, CapRefusal):
            return result
        delay_s = max(RETRY_AFTER_MIN_S, result.retry_after_s)
        delay_s *= self._rng.uniform(*RETRY_AFTER_JITTER)
        log_event(
            "request_refused",
            attempt=caller.attempt_id.decode("latin-1"),
            route=route,
            team=caller.team.name,
            code=result.code,
            retry_after_s=delay_s,
        )
        return Reply(Outcome.NOT_RUN, result.code, retry_after_s=delay_s)

    async def acquire(
        self, team: Team, now: float, deadline: float = math.inf
    ) -> Token | CapRefusal | None:
        """Take a token, waiting for one if need be.

        Args:
            team: Team with a cap.
            now: Current time, in seconds.
            deadline: Deadline of the request, in seconds.

        Returns:
            The token or the refusal; None if the configuration in force has no
            cap for the team.
        """
        number = self._index.by_name.get(team.name)
        if number is None:
            return None
        result = self._client.try_take(number, now)
        if result is None:
            result = await self._wait(number, now, deadline)
        elif self._client.has_work:
            self._schedule_pump()
        is_refused = isinstance(result, CapRefusal)
        self._metrics.record_request(result.code if is_refused else "granted")
        return result

    def give_back(self, token: Token) -> None:
        """Put back the token of a request that is refused for another reason.

        Args:
            token: The token, as from ``take_token``.
        """
        self._client.give_back(token, read_now())
        self._schedule_pump()

    def lend_tokens(self, request: CapRequest) -> CapGrant | CapHolder | None:
        """Return the answer to another node's request.

        Args:
            request: Tokens wanted and returned.

        Returns:
            The answer; None if the request only returns tokens.
        """
        share = self._update_share()
        is_answered = any(entry.count for entry in request.entries)
        if not share:
            holder = self._keeper.holder
            if self.is_active:
                self._keeper.wake()
            if holder == self._node_id:
                holder = ""
            return (
                CapHolder(request.request_id, holder) if is_answered else None
            )
        grants = self._allocator.lend(
            request.entries, request.epoch, read_now()
        )
        self._update_metrics()
        if not is_answered:
            return None
        return CapGrant(request.request_id, self._allocator.epoch, grants)

    def handle_answer(self, answer: CapGrant | CapHolder) -> None:
        """Handle another node's answer to a request of this one.

        Args:
            answer: Tokens, or the node that lends.
        """
        asked = self._asked.pop(answer.request_id, None)
        if asked is None:
            return
        request, node_id = asked
        if isinstance(answer, CapGrant):
            self._note_success(request.zone, node_id)
            self._client.handle_grant(
                answer.request_id, answer.epoch, answer.entries, read_now()
            )
        elif answer.holder not in ("", node_id, self._node_id):
            is_new = self._holders.get(request.zone) != answer.holder
            self._holders[request.zone] = answer.holder
            if is_new:
                self._send_to(request, answer.holder)
                return
            self._fail(request, node_id)
        else:
            self._fail(request, node_id)
        self._schedule_pump()

    async def _wait(
        self, number: int, now: float, deadline: float
    ) -> Token | CapRefusal | None:
        future = asyncio.get_running_loop().create_future()
        key = self._client.wait(number, deadline, now)
        self._waiting[key] = future
        self._schedule_pump()
        is_cancelled = True
        try:
            result = await future
            is_cancelled = False
            return result
        finally:
            del self._waiting[key]
            if future.cancelled():
                self._client.cancel(number, key)
            elif is_cancelled and isinstance(future.result(), Token):
                self.give_back(future.result())

    def _schedule_pump(self) -> None:
        """Send what is needed, once for all requests of an iteration."""
        if self._pending_pump is None and not self._is_closed:
            loop = asyncio.get_running_loop()
            self._pending_pump = loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._pending_pump = None
        self._client.is_paced = self._peers.count > PACED_NODES_MIN
        while True:
            requests = self._client.poll(read_now())
            self._deliver_results()
            self._note_silence()
            is_answered = False
            for request in requests:
                is_answered |= self._send(request)
            if not is_answered:
                break
        self._update_metrics()
        self._set_timer()

    def _deliver_results(self) -> None:
        results = self._client.results
        for key, result in results:
            future = self._waiting.get(key)
            if future is not None and not future.done():
                future.set_result(result)
            elif isinstance(result, Token):
                self._client.give_back(result, read_now())
        results.clear()

    def _note_silence(self) -> None:
        for request in self._client.silent:
            # A late answer still counts.
            _, node_id = self._asked.get(request.request_id, (request, ""))
            self._note_failure(request.zone, node_id)
        self._client.silent.clear()

    def _set_timer(self) -> None:
        due = self._client.find_next_due()
        if due == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = due
        if due < math.inf and not self._is_closed:
            loop = asyncio.get_running_loop()
            delay_s = max(0.0, due - read_now())
            self._timer = loop.call_later(delay_s, self._fire)

    def _fire(self) -> None:
        self._timer, self._timer_at = None, math.inf
        self._schedule_pump()

    def _send(self, request: TokenRequest) -> bool:
        """Send a request and return whether it is answered already."""
        if request.zone == self._zone and self._update_share():
            grants = self._allocator.lend(
                request.entries, request.epoch, read_now()
            )
            self._client.handle_grant(
                request.request_id, self._allocator.epoch, grants, read_now()
            )
            return True
        node_id = self._find_allocator(request.zone)
        if not node_id:
            self._client.handle_failure(request.request_id, read_now())
            return True
        self._send_to(request, node_id)
        return False

    def _send_to(self, request: TokenRequest, node_id: str) -> None:
        if any(entry.count for entry in request.entries):
            self._asked[request.request_id] = request, node_id
            if len(self._asked) > ASKED_MAX:
                del self._asked[next(iter(self._asked))]
        link = self._peers.use(node_id)
        if link is not None and link.is_usable:
            if not link.request_tokens(_make_message(request)):
                self._drop_asked(request, node_id)
            return
        task = start_task(self._connect(request, node_id), "cap_connect")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, request: TokenRequest, node_id: str) -> None:
        link = await self._peers.connect(node_id, REPLY_TIMEOUT_S)
        if link is None or not link.request_tokens(_make_message(request)):
            self._drop_asked(request, node_id)

    def _drop_asked(self, request: TokenRequest, node_id: str) -> None:
        """Ask elsewhere, as a request could not be sent."""
        if self._asked.pop(request.request_id, None) is not None:
            self._fail(request, node_id)
            self._schedule_pump()

    def _find_allocator(self, zone: str) -> str:
        """Return the node to ask for the tokens of a zone; empty if none.

        After a failure, the nodes that may have taken the record are asked in
        turn; those that do not lend name the one that does.
        """
        failures = self._failures[zone]
        holder = self._holders.get(zone, "")
        if holder and holder != self._node_id and failures % 2 == 0:
            return holder
        candidates = [
            node_id
            for node_id in self._list_candidates(zone)
            if node_id != self._node_id
        ]
        if not candidates:
            return "" if holder == self._node_id else holder
        return candidates[failures // 2 % len(candidates)]

    def _list_candidates(self, zone: str) -> list[str]:
        if zone == FLEET_ZONE:
            return list_holders(self._peers.list_ids(), CANDIDATES)
        return list_holders(self._peers.list_ids_of_zone(zone), CANDIDATES)

    def _is_candidate(self) -> bool:
        if not self._is_roster_known() or self._zone not in self._zones:
            return False
        return self._node_id in self._list_candidates(self._zone)

    def _fail(self, request: TokenRequest, node_id: str) -> None:
        self._client.handle_failure(request.request_id, read_now())
        self._note_failure(request.zone, node_id)

    def _note_failure(self, zone: str, node_id: str) -> None:
        self._failures[zone] += 1
        if self._failures[zone] == 1:
            log_event(
                "cap_allocator_lost", Level.WARNING, zone=zone, node=node_id
            )
        self._keeper.wake()

    def _note_success(self, zone: str, node_id: str) -> None:
        if self._failures[zone] or self._holders.get(zone) != node_id:
            log_event("cap_allocator_found", zone=zone, node=node_id)
        self._failures[zone] = 0
        self._holders[zone] = node_id

    def _set_holders(self, holders: Mapping[str, str]) -> None:
        """Take over what the records in the store say."""
        for zone, holder in holders.items():
            is_known = zone in self._failures and holder
            if is_known and self._holders.get(zone) != holder:
                self._holders[zone] = holder
                self._failures[zone] = 0
                self._client.end_backoff(zone)
        self._schedule_pump()

    def _begin_lending(self) -> None:
        self._epoch = (self._epoch + 1) % _EPOCHS
        now = read_now()
        self._allocator.set_share(self._keeper.right.measure_share(now), now)
        self._allocator.begin(self._epoch, now)
        self._schedule_pump()

    def _update_share(self) -> float:
        """Return the part of the zone's share that this node may lend now."""
        now = read_now()
        share = self._keeper.right.measure_share(now)
        self._allocator.set_share(share, now)
        return share

    def _release_record(self) -> None:
        # At once: a cap that the next configuration adds starts the keeper.
        released = self._keeper.stop_lending()
        if released is None:
            return
        task = start_task(self._keeper.hand_over(released), "cap_release")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_metrics(self) -> None:
        if self._metrics is None:
            self._metrics = CapMetrics(
                self._registry,
                self._zones,
                lambda: self.share,
            )

    def _update_metrics(self) -> None:
        if self._metrics is not None:
            pool = self._client.pool
            self._metrics.update_tokens(
                self._client.granted,
                pool.lost,
                pool.returned,
                self._allocator.lent,
            )


def _make_message(request: TokenRequest) -> CapRequest:
    return CapRequest(request.request_id, request.epoch, request.entries)
