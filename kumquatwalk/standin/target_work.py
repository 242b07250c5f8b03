"""Service times and nested calls of a simulated target."""

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
GAMMA_SHAPE = 8.0
DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class ChildCall:
    """Result of a nested call results through the node.

    Attributes:
        entry: Entry called.
        status: HTTP status; 0 if no answer was received.
        outcome: Value of ``Kumquat-Outcome``; ``unknown`` without one.
        answer: Decoded JSON body, None if it is not JSON, or the name of the
            transport error.
    """

    entry: str
    status: int
    outcome: str
    answer: object


class ServiceTime:
    """Gamma-distributed random service times; thread-safe.

    Args:
        mean_s: Mean service time, in seconds.
        seed: Random seed.
    """

    def __init__(self, mean_s: float, seed: int):
        self._mean_s = mean_s
        self._random = random.Random(seed)
        self._lock = threading.Lock()

    def draw(self) -> float:
        """Return the next service time, in seconds."""
        with self._lock:
            return self._random.gammavariate(
                GAMMA_SHAPE, self._mean_s / GAMMA_SHAPE
            )


class NodeCaller:
    """Makes nested calls of runs through the node's local listener.

    Args:
        host: Address of the listener.
        port: Port of the listener.
        connections: Size of the connection pool and, for concurrent calls, of
            the thread pool.
        is_parallel: Whether the calls of one run are concurrent.
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
        """Call each entry; sequential calls stop at the first failure.

        Args:
            entries: Entries to call.
            context: Value of ``Kumquat-Context`` that the run received.
            body: Body of each call.
            deadline: Monotonic deadline of the run, in seconds, or None.

        Returns:
            Results of the calls that were results.
        """
        if self._executor is not None:
            return tuple(
                self._executor.map(
                    lambda entry: self._call(entry, context, body, deadline),
                    entries,
                )
            )
        results = []
        for entry in entries:
            results.append(self._call(entry, context, body, deadline))
            if results[-1].outcome != DONE:
                break
        return tuple(results)

    def close(self) -> None:
        """Close the connection pool and the thread pool."""
        self._pool.close()
        if self._executor is not None:
            self._executor.shutdown(wait=False)

    def _call(
        self, entry: str, context: str, body: bytes, deadline: float | None
    ) -> ChildCall:
        timeout = None
        if deadline is not None:
            remaining_s = max(0.0, deadline - time.monotonic())
            timeout = remaining_s + CHILD_TIMEOUT_MARGIN_S
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
