"""Open-loop load generator whose callers retry failed requests."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from benchmarks.http_caller import HttpCaller
from benchmarks.surge_shape import RequestKind
from benchmarks.surge_shape import SurgeShape

__all__ = ["CallerPolicy", "LoadPhase", "RequestRecord", "SurgeLoad"]

# Time limit of a request, retries included, in seconds.
DEADLINE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPhase:
    """Phase of the load with a constant arrival rate.

    Attributes:
        rate_per_s: Mean number of new requests per second.
        duration_s: Length of the phase, in seconds.
    """

    rate_per_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerPolicy:
    """Retry policy of the callers.

    Attributes:
        attempts: Maximum number of attempts, the first one included.
        pause_s: Mean pause before a retry, in seconds; each pause is drawn
            from 0.5 to 1.5 times this.
    """

    attempts: int
    pause_s: float


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Request of a caller with the outcomes of its attempts.

    Attributes:
        tag: Identifier of the request, which the targets record.
        kind: Kind of the request.
        started_at: Monotonic time at which the request was due, in seconds.
        ended_at: Monotonic time at which the last attempt ended, in seconds.
        outcomes: Outcome of each attempt.
        is_done: Whether the request was completed before its deadline.
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
        shape: Fleet with the kinds of requests to send.
        addresses: Addresses of the nodes or forwarders.
        policy: Retry policy of the callers.
        has_tickets: Whether the nodes issue tickets for at-most-once requests.
        seed: Seed of arrivals, pauses and choices of kind and node.

    Attributes:
        records: All requests, in order of their arrival.
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
        """Generate the load of all phases and wait for the last request.

        Args:
            phases: Phases in order.
            on_phase: Called with the index of each phase at its start, on a
                thread of the event loop's executor.
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
                task = asyncio.create_task(self._send_request(due))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        for caller in self._callers:
            caller.close()

    async def _send_request(self, due: float) -> None:
        weights = [kind.share for kind in self._shape.kinds]
        kind = self._random.choices(self._shape.kinds, weights)[0]
        tag = f"r{len(self.records)}"
        record = RequestRecord(tag, kind, due)
        self.records.append(record)
        deadline = due + DEADLINE_S
        caller = self._random.choice(self._callers)
        headers = await self._make_headers(kind, caller, deadline)
        for _ in range(self._policy.attempts):
            if not kind.is_at_most_once:
                caller = self._random.choice(self._callers)
            entry = kind.list_entries()[0]
            response = await caller.call(entry, tag, headers, deadline)
            record.outcomes.append(response.outcome)
            if response.outcome == "done":
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
        if not kind.is_at_most_once or not self._has_tickets:
            return ""
        ticket = await caller.get_ticket(deadline)
        return f"Kumquat-Ticket: {ticket}\r\n"
