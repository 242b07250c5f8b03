"""Agents that exchange messages in memory, on the test's own time."""

import heapq
import itertools
import random
from collections.abc import Callable

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.agent import Agent
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.timing import Timing

DELAY_S = 0.002
ZONES = 6
MAX_STEP_S = 3600.0


def name(number: int) -> str:
    """Return the node id of a numbered node."""
    return f"node-{number}"


def host(number: int) -> str:
    """Return the IP number of a numbered node."""
    return f"10.{number % ZONES}.{number // 250}.{number % 250}"


class Fleet:
    """Agents that exchange messages in memory, on the test's own time."""

    def __init__(self, size: int, seed: int, loss: float = 0.0):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.agents: dict[int, Agent] = {}
        self.received: dict[int, list[bytes]] = {}
        self.newer: dict[int, list[int]] = {}
        self.sent_bytes: dict[int, int] = {}
        self.frozen: set[int] = set()
        self.is_cut: Callable[[int, int], bool] = lambda a, b: False
        self._order = itertools.count()
        self._events: list[tuple] = []
        self._numbers: dict[Address, int] = {}
        for number in range(size):
            self.start(number)

    def start(self, number: int, incarnation: int = 1) -> None:
        """Start a node, or start it anew with a higher incarnation."""
        own = Member(
            name(number),
            incarnation,
            0,
            f"zone-{number % ZONES}",
            host(number),
            1,
            7,
        )
        self.received.setdefault(number, [])
        self.newer.setdefault(number, [])
        callbacks = MembershipCallbacks(
            on_broadcast=lambda _, data: self.received[number].append(data),
            on_newer_revision=lambda _, r: self.newer[number].append(r),
        )
        rng = random.Random(self.rng.random())
        agent = Agent(own, Timing(), callbacks, rng, self.now)
        seeds = frozenset(Address(host(n), 7) for n in range(3))
        agent.set_seeds(seeds, self.now)
        self.agents[number] = agent
        self._numbers[Address(host(number), 7)] = number
        self._plan_tick(number)

    def kill(self, number: int) -> None:
        """End a node without a word."""
        del self.agents[number]

    def freeze(self, number: int) -> None:
        """Stop a node, which keeps its state and its datagrams."""
        self.frozen.add(number)

    def thaw(self, number: int) -> None:
        """Let a frozen node go on."""
        self.frozen.discard(number)
        self.agents[number].tick(self.now)
        self._plan_tick(number)

    def act(self, number: int, action: Callable[[Agent, float], None]) -> None:
        """Run an action on a node and send what it produced."""
        action(self.agents[number], self.now)
        self._plan_tick(number)

    def run(
        self, limit_s: float, until: Callable[[], bool] | None = None
    ) -> float:
        """Run for a time, or until a condition holds.

        Returns:
            The time that passed, in seconds; infinite if the condition did not
            come to hold.
        """
        started = self.now
        check_at = started
        while self._events and self._events[0][0] <= started + limit_s:
            self.now, _, action, *arguments = heapq.heappop(self._events)
            action(*arguments)
            if until is not None and self.now >= check_at:
                check_at = self.now + 0.05
                if until():
                    return self.now - started
        self.now = started + limit_s
        if until is not None and not until():
            return float("inf")
        return limit_s

    def states(self, observer: int) -> dict[str, MemberState]:
        """Return the states of all members as one node sees them."""
        members = self.agents[observer].table.members
        return {node_id: member.state for node_id, member in members.items()}

    def all_see(self, state: MemberState, numbers: set[int]) -> bool:
        """Return whether all running nodes see some nodes in a state."""
        names = [name(number) for number in numbers]
        return all(
            (member := agent.table.get(n)) is not None and member.state == state
            for agent in self.agents.values()
            for n in names
        )

    def _plan_tick(self, number: int) -> None:
        agent = self.agents[number]
        self._send(number, agent)
        due_at = max(min(agent.due_at, self.now + MAX_STEP_S), self.now + 1e-4)
        event = (due_at, next(self._order), self._tick, number, agent)
        heapq.heappush(self._events, event)

    def _tick(self, number: int, agent: Agent) -> None:
        if self.agents.get(number) is not agent or number in self.frozen:
            return
        if self.now < agent.due_at:
            return
        agent.tick(self.now)
        self._plan_tick(number)

    def _send(self, number: int, agent: Agent) -> None:
        for datagram in agent.drain():
            size = self.sent_bytes.get(number, 0) + len(datagram.data)
            self.sent_bytes[number] = size
            receiver = self._numbers.get(datagram.address)
            if receiver is None or self.rng.random() < self.loss:
                continue
            if self.is_cut(number, receiver):
                continue
            delay_s = DELAY_S * (0.5 + self.rng.random())
            event = (
                self.now + delay_s,
                next(self._order),
                self._deliver,
                datagram.data,
                number,
                receiver,
            )
            heapq.heappush(self._events, event)

    def _deliver(self, data: bytes, sender: int, receiver: int) -> None:
        agent = self.agents.get(receiver)
        if agent is None:
            return
        if receiver in self.frozen:
            event = (
                self.now + 1.0,
                next(self._order),
                self._deliver,
                data,
                sender,
                receiver,
            )
            heapq.heappush(self._events, event)
            return
        agent.receive(data, Address(host(sender), 7), self.now)
        self._plan_tick(receiver)
