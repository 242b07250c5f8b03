"""Closed-loop callers in a process of their own.

Reads the groups of callers as JSON from standard input and writes one JSON line
for each group, so that its threads and its processor time are not those of the
program that shows the results.
"""

import asyncio
import collections
import dataclasses
import json
import random
import sys
import time

from benchmarks.http_caller import HttpCaller
from kumquatwalk.metrics.latency_histogram import LatencyHistogram

__all__ = ["CallerGroup", "GroupResult", "run_groups"]

# Time that a caller waits for an answer, in seconds.
ANSWER_TIMEOUT_S = 10.0
# Range of a caller's pause after a refusal, in seconds.
PAUSE_S = (0.01, 0.05)
# Width of a bin of the completed calls over time, in seconds.
BIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGroup:
    """Callers that call one entry at one node, each with a call at a time.

    Attributes:
        address: Caller listener of the node, ``host:port``.
        entry: Entry to call.
        callers: Number of callers.
        has_keys: Whether each call carries a new idempotency key.
    """

    address: str
    entry: str
    callers: int
    has_keys: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GroupResult:
    """What the callers of one group saw.

    Attributes:
        entry: Entry called.
        callers_begun: Number of callers that had begun when the clock started.
        outcomes: Number of calls by outcome; ``none`` for those that began and
            got no answer.
        quantiles_ms: Time of the calls that were done, in milliseconds, by
            quantile.
        done_per_bin: Number of calls that were done in each ``BIN_S``, to the
            last one that ended.
    """

    entry: str
    callers_begun: int
    outcomes: dict[str, int]
    quantiles_ms: dict[str, float]
    done_per_bin: list[int]


class _Group:

    def __init__(self, group: CallerGroup, seconds: float, seed: str):
        self.group = group
        self.begun = 0
        self.outcomes: collections.Counter = collections.Counter()
        self.histogram = LatencyHistogram()
        self.bins: collections.Counter = collections.Counter()
        self._seconds = seconds
        self._seed = seed

    async def call_until(
        self, number: int, clock: "asyncio.Future[float]"
    ) -> None:
        """Call again and again from the start of the clock to its end.

        Calls once at least, so that a caller that is late is not left out.
        """
        rng = random.Random(f"{self._seed}-{number}")
        caller = HttpCaller(self.group.address)
        self.begun += 1
        began_at = await asyncio.shield(clock)
        sent_at = began_at
        while True:
            body = str(rng.getrandbits(64))
            key = f"Idempotency-Key: {body}\r\n" if self.group.has_keys else ""
            response = await caller.call(
                self.group.entry, body, key, sent_at + ANSWER_TIMEOUT_S
            )
            ended_at = time.monotonic()
            self.outcomes[response.outcome] += 1
            if response.outcome == "done":
                self.histogram.record(ended_at - sent_at)
                self.bins[int((ended_at - began_at) / BIN_S)] += 1
            else:
                await asyncio.sleep(rng.uniform(*PAUSE_S))
            sent_at = time.monotonic()
            if sent_at >= began_at + self._seconds:
                break
        caller.close()

    def summarize(self, begun: int) -> GroupResult:
        """Return the result, with the callers begun at the clock's start."""
        quantiles = self.histogram.read().quantiles
        return GroupResult(
            self.group.entry,
            begun,
            dict(self.outcomes),
            {f"{q.fraction:g}": 1000.0 * q.latency_s for q in quantiles},
            [self.bins[n] for n in range(max(self.bins, default=-1) + 1)],
        )


async def run_groups(
    groups: list[CallerGroup], seconds: float, seed: int
) -> list[GroupResult]:
    """Run all callers; the clock starts once all of them have begun.

    Args:
        groups: Groups of callers.
        seconds: Time for which each caller goes on calling.
        seed: Seed of bodies and pauses.
    """
    running = [
        _Group(group, seconds, f"{seed}-{index}")
        for index, group in enumerate(groups)
    ]
    clock = asyncio.get_running_loop().create_future()
    tasks = [
        asyncio.create_task(group.call_until(number, clock))
        for group in running
        for number in range(group.group.callers)
    ]
    while sum(group.begun for group in running) < len(tasks):
        await asyncio.sleep(0)
    begun = [group.begun for group in running]
    clock.set_result(time.monotonic())
    await asyncio.gather(*tasks)
    return [group.summarize(b) for group, b in zip(running, begun)]


def main() -> None:
    """Run the groups described on standard input."""
    document = json.load(sys.stdin)
    groups = [CallerGroup(**group) for group in document["groups"]]
    results = asyncio.run(
        run_groups(groups, document["seconds"], document["seed"])
    )
    for result in results:
        print(json.dumps(dataclasses.asdict(result)))


if __name__ == "__main__":
    main()
