"""The work of a stand-in target: one run and the calls that it makes."""

import concurrent.futures
import dataclasses
import json
import random
import threading
import time

import urllib3
from urllib3 import exceptions

__all__ = ["ChildCall", "NodeCaller", "ServiceTime"]

CHILD_TIMEOUT_MARGIN_S = 1.0
SHAPE = 8.0
DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class ChildCall:
    """What became of one call that a run made through its node.

    Attributes:
        entry: Entry called.
        status: HTTP status; 0 when no answer came.
        outcome: Outcome named by the node.
        answer: Decoded answer.
    """

    entry: str
    status: int
    outcome: str
    answer: object


class ServiceTime:
    """Random service times of a given mean.

    Args:
        mean_s: Mean, in seconds.
        seed: Seed.
    """

    def __init__(self, mean_s: float, seed: int):
        self._mean_s = mean_s
        self._random = random.Random(seed)
        self._lock = threading.Lock()

    def draw(self) -> float:
        """Return the next service time, in seconds."""
        with self._lock:
            return self._random.gammavariate(SHAPE, self._mean_s / SHAPE)


class NodeCaller:
    """Makes the calls of runs through the node's local listener.

    Args:
        host: Address of the listener.
        port: Port of the listener.
        connections: Connections kept open.
        is_parallel: Whether the calls of one run are made at the same time.
    """

    def __init__(
        self, host: str, port: int, connections: int, is_parallel: bool
    ):
        self._pool = urllib3.HTTPConnectionPool(
            host or "127.0.0.1", port, maxsize=connections, retries=False
        )
        self._executor = None
        if is_parallel:
            self._executor = concurrent.futures.ThreadPoolExecutor(connections)

    def call_all(
        self,
        entries: tuple[str, ...],
        context: str,
        body: bytes,
        deadline: float | None,
    ) -> tuple[ChildCall, ...]:
        """Call each entry; in serial order it stops at the first failure.

        Args:
            entries: Entries to call.
            context: Run id that the gate gave to the run.
            body: Body of each call.
            deadline: Monotonic time at which the run's time is up, or None.

        Returns:
            What became of the calls made.
        """
        if self._executor is not None:
            return tuple(
                self._executor.map(
                    lambda entry: self._call(entry, context, body, deadline),
                    entries,
                )
            )
        made = []
        for entry in entries:
            made.append(self._call(entry, context, body, deadline))
            if made[-1].outcome != DONE:
                break
        return tuple(made)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()
        if self._executor is not None:
            self._executor.shutdown(wait=False)

    def _call(
        self, entry: str, context: str, body: bytes, deadline: float | None
    ) -> ChildCall:
        timeout = None
        if deadline is not None:
            left = max(0.0, deadline - time.monotonic())
            timeout = left + CHILD_TIMEOUT_MARGIN_S
        try:
            response = self._pool.urlopen(
                "POST",
                f"/{entry}",
                body=body,
                headers={"Kumquat-Context": context},
                timeout=timeout,
            )
        except exceptions.HTTPError as error:
            return ChildCall(entry, 0, "unknown", type(error).__name__)
        outcome = response.headers.get("Kumquat-Outcome", "unknown")
        return ChildCall(entry, response.status, outcome, _decode(response))


def _decode(response: urllib3.BaseHTTPResponse) -> object:
    try:
        return json.loads(response.data)
    except ValueError:
        return None
