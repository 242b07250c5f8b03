"""Open-loop load of callers that repeat what fails."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from benchmarks.http_caller import HttpCaller
from benchmarks.surge_shape import RequestKind
from benchmarks.surge_shape import SurgeShape

__all__ = ["CallerPolicy", "LoadPhase", "RequestRecord", "SurgeLoad"]

DEADLINE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPhase:
    """Time with a steady rate of new requests.

    Attributes:
        rate_per_s: New requests in a second.
        duration_s: Length.
    """

    rate_per_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerPolicy:
    """How callers repeat a request that failed.

    Attributes:
        attempts: Attempts in all.
        pause_s: Mean pause before the next attempt.
    """

    attempts: int
    pause_s: float


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request of an outside caller.

    Attributes:
        tag: Name of the request, which the targets record.
        kind: Its kind.
        started_at: Monotonic time of the first attempt.
        ended_at: Monotonic time of the end.
        outcomes: Outcome of each attempt.
        is_done: Whether the whole answer came in time.
    """

    tag: str
    kind: RequestKind
    started_at: float
    ended_at: float = 0.0
    outcomes: list[str] = dataclasses.field(default_factory=list)
    is_done: bool = False


class SurgeLoad:
    """Callers of one fleet.

    Args:
        shape: What callers ask for.
        addresses: Addresses of the nodes.
        policy: How callers repeat.
        has_tickets: Whether the nodes give tickets.
        seed: Seed of arrivals and choices.
    """

    def __init__(
        self,
        shape: SurgeShape,
        addresses: list[str],
        policy: CallerPolicy,
        has_tickets: bool,
        seed: int,
    ):
        self._shape = shape
        self._callers = [HttpCaller(address) for address in addresses]
        self._policy = policy
        self._has_tickets = has_tickets
        self._random = random.Random(seed)
        self.records: list[RequestRecord] = []

    async def run(
        self, phases: list[LoadPhase], on_phase: Callable[[int], None]
    ) -> None:
        """Offer all phases and wait until all requests have ended.

        Args:
            phases: The phases in order.
            on_phase: Called on a thread with the number of each phase begun.
        """
        tasks: set[asyncio.Task] = set()
        loop = asyncio.get_running_loop()
        due = time.monotonic()
        for number, phase in enumerate(phases):
            loop.run_in_executor(None, on_phase, number)
            end = due + phase.duration_s
            while due < end:
                due += self._random.expovariate(phase.rate_per_s)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                task = asyncio.create_task(self._make_request(due))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        for caller in self._callers:
            caller.close()

    async def _make_request(self, due: float) -> None:
        weights = [kind.share for kind in self._shape.kinds]
        kind = self._random.choices(self._shape.kinds, weights)[0]
        tag = f"r{len(self.records)}"
        record = RequestRecord(tag, kind, due)
        self.records.append(record)
        deadline = due + DEADLINE_S
        caller = self._random.choice(self._callers)
        headers = await self._make_headers(kind, caller, deadline)
        for _ in range(self._policy.attempts):
            if not kind.is_once:
                caller = self._random.choice(self._callers)
            entry = kind.list_entries()[0]
            answer = await caller.call(entry, tag, headers, deadline)
            record.outcomes.append(answer.outcome)
            if answer.outcome == "done":
                record.is_done = time.monotonic() <= deadline
                break
            pause_s = self._policy.pause_s * self._random.uniform(0.5, 1.5)
            if time.monotonic() + pause_s >= deadline:
                break
            await asyncio.sleep(pause_s)
        record.ended_at = time.monotonic()

    async def _make_headers(
        self, kind: RequestKind, caller: HttpCaller, deadline: float
    ) -> str:
        if not kind.is_once or not self._has_tickets:
            return ""
        ticket = await caller.get_ticket(deadline)
        return f"Kumquat-Ticket: {ticket}\r\n"
