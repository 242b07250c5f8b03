"""Pauses the reading of answers while the memory for bodies is used up."""

import asyncio
from collections.abc import Callable

from kumquatwalk.http1.byte_budget import ByteBudget

__all__ = ["ReadLimiter", "ReadShare"]

# Fraction of the budget by which one answer at a time may exceed the limit, so
# that it can end and what it holds is freed while requests fill the budget.
OVERRUN_FRACTION = 0.25
# Bytes that one connection may receive before it can be paused again.
READ_BYTES_MAX = 256 * 1024
# Interval at which paused connections are looked at, in seconds.
RETRY_S = 0.01


class ReadShare:
    """Bytes held by the answers to one request while they are read.

    It takes the place of a ``ByteBudget`` for a parser, and refuses nothing.

    Args:
        limiter: Counts the bytes.

    Attributes:
        held: Bytes held at present.
    """

    def __init__(self, limiter: "ReadLimiter"):
        self._limiter = limiter
        self.held = 0

    def try_reserve(self, size: int) -> bool:
        """Hold bytes that have been received, and return True.

        Args:
            size: Number of bytes, at least 0.
        """
        self._limiter.count(size)
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Return held bytes.

        Args:
            size: Number of bytes that were held.
        """
        self._limiter.count(-size)
        self.held -= size


class ReadLimiter:
    """Decides which connections read on while the budget is exhausted.

    One answer at a time is read on, the first that found no room, without
    regard to the bytes of the others that are being read: they wait until there
    is room or their requests end.

    Args:
        budget: Bytes of bodies that the process may hold.
    """

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._read_bytes = 0
        self._waiting: dict[ReadShare, Callable[[], None]] = {}
        self._first: ReadShare | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def overrun_max(self) -> int:
        """Bytes that the first answer may take, with all but other answers."""
        return int(self._budget.limit * (1.0 + OVERRUN_FRACTION))

    def make_share(self) -> ReadShare:
        """Return a share that counts the answers to one request."""
        return ReadShare(self)

    def count(self, size: int) -> None:
        """Count bytes of answers that are being read.

        Args:
            size: Number of bytes; negative when they are released.
        """
        self._read_bytes += size
        if size >= 0:
            self._budget.hold(size)
        else:
            self._budget.release(-size)

    def is_too_large(self, share: ReadShare) -> bool:
        """Return whether an answer can never be read completely."""
        return share.held >= self.overrun_max

    def has_room(self, share: ReadShare) -> bool:
        """Return whether an answer that is not complete may be read on."""
        return self._budget.used < self._budget.limit or self._is_first(share)

    def wait(self, share: ReadShare, resume: Callable[[], None]) -> None:
        """Have a paused connection resumed when there is room.

        Args:
            share: Share of the connection's request.
            resume: Called once, unless ``leave`` is called before.
        """
        self._waiting[share] = resume
        self._start_timer()

    def leave(self, share: ReadShare) -> None:
        """Forget a request that has ended.

        Args:
            share: Share of the request, waiting or not.
        """
        self._waiting.pop(share, None)
        if self._first is share:
            self._first = None

    def resume_waiting(self) -> None:
        """Resume the connections for which there is room, oldest first."""
        free = self._budget.limit - self._budget.used
        for share in tuple(self._waiting):
            if free > 0:
                free -= READ_BYTES_MAX
            elif not self._is_first(share):
                continue
            self._waiting.pop(share)()

    def _is_first(self, share: ReadShare) -> bool:
        """Return whether an answer is the one that is read on."""
        if self._first is None:
            self._first = share
        if self._first is not share:
            return False
        held_elsewhere = self._budget.used - self._read_bytes
        return held_elsewhere + share.held < self.overrun_max

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_S, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self.resume_waiting()
        if self._waiting:
            self._start_timer()
