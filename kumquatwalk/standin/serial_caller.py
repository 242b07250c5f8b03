"""Base of simulated callers that use one connection after the other."""

import random

from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.connection_use import ConnectionUse
from kumquatwalk.standin.daemon_fleet import HOST

__all__ = ["SerialCaller"]


class SerialCaller:
    """Caller whose connections follow each other, until it is stopped.

    Args:
        name: Name that begins the identifiers of its attempts.
        habit: Habit of the caller.
        rng: Source of all choices.
        attempts: Gets each attempt when it is sent.
    """

    def __init__(
        self,
        name: str,
        habit: Habit,
        rng: random.Random,
        attempts: list[Attempt],
    ):
        self._name = name
        self._habit = habit
        self._rng = rng
        self._attempts = attempts
        self._connections = 0
        self._count = 0
        self._is_stopped = False
        self._use: ConnectionUse | None = None

    def stop(self) -> None:
        """Send no further request; ``run`` returns after the last answer."""
        self._is_stopped = True
        if self._use is not None:
            self._use.stop()

    def _make_attempt_id(self) -> str:
        self._count += 1
        return f"{self._name}-{self._count}"

    def _send(
        self,
        attempt: Attempt,
        method: str,
        path: str,
        limit_s: float,
        body: bytes,
    ) -> tuple[Attempt, bytes]:
        """Note an attempt; return it with its request."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {attempt.attempt_id}\r\n"
            f"Deadline-Ms: {limit_s * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._attempts.append(attempt)
        return attempt, head.encode() + body
