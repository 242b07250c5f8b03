"""Use of one connection by a simulated caller."""

import asyncio
import collections
import contextlib
import math
import random
from collections.abc import Callable

from kumquatwalk.clock import read_now
from kumquatwalk.http1.sockets import is_closed
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.platform_node import make_body

__all__ = ["SLOW_READ_BYTES", "ConnectionUse"]

# Time that a caller waits beyond the limit, and for the end of a connection
# after its last answer, in seconds.
PATIENCE_S = 1.0
SLOW_READ_BYTES = 32768
_READ_BYTES = 65536
_WATCH_S = 0.1
_PIECES_MAX = 4


class ConnectionUse:
    """Sends requests on one connection and reads answers until it ends.

    Args:
        habit: Habit of the caller.
        rng: Source of all choices.
        reader: Reader of the connection.
        writer: Writer of the connection.
        make_attempt: Returns a new attempt and its bytes, given its position
            on the connection and whether a request before it has no answer.
        patience_s: Time to wait beyond the limit of a request, in seconds.
    """

    def __init__(
        self,
        habit: Habit,
        rng: random.Random,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        make_attempt: Callable[[int, bool], tuple[Attempt, bytes]],
        patience_s: float = PATIENCE_S,
    ):
        self._habit = habit
        self._rng = rng
        self._reader = reader
        self._writer = writer
        self._make_attempt = make_attempt
        self._patience_s = patience_s
        leave_s = habit.patience_s
        self._leave_s = rng.uniform(*leave_s) if leave_s else math.inf
        self._is_stopped = False
        self._waiting: collections.deque[Attempt] = collections.deque()
        self._answered: Attempt | None = None
        self._sent = 0
        self._is_closed = False
        self._error = ""
        self._changed = asyncio.Event()

    def stop(self) -> None:
        """Send no further request."""
        self._is_stopped = True

    async def run(self) -> None:
        """Use the connection until it ends or all answers are there."""
        sender = asyncio.create_task(self._send_all())
        watcher = asyncio.create_task(self._watch(sender))
        try:
            await self._read_all()
        except asyncio.IncompleteReadError as failure:
            if self._waiting and not self._waiting[0].received:
                self._waiting[0].received = len(failure.partial)
            self._error = self._error or "ended"
        except (OSError, ValueError) as failure:
            self._error = self._error or type(failure).__name__
        finally:
            sender.cancel()
            watcher.cancel()
            self._writer.transport.abort()
        for attempt in self._waiting:
            attempt.ended_at = read_now()
            attempt.error = self._error or "behind"
            attempt.is_after_close = (
                self._answered is not None and self._answered.is_last
            )

    async def _watch(self, sender: asyncio.Task) -> None:
        """Give up when the time is over; close when all is done."""
        while True:
            await asyncio.sleep(_WATCH_S)
            error = self._find_own_end()
            if not error and (self._waiting or not sender.done()):
                continue
            if error and self._was_reset():
                error = "ended"
            self._error = self._error or error
            self._writer.transport.abort()
            self._reader.feed_eof()

    def _find_own_end(self) -> str:
        """Return why the caller gives up; "" if it does not."""
        if not self._waiting:
            return ""
        if self._is_over(self._waiting[0]):
            return "limit"
        return "left" if self._has_left(self._waiting[0]) else ""

    def _was_reset(self) -> bool:
        """Return whether the node has reset what is still being read."""
        return self._reader.exception() is not None or is_closed(
            self._writer.transport
        )

    def _is_over(self, attempt: Attempt) -> bool:
        waited_s = read_now() - attempt.began_at
        return waited_s > attempt.limit_s + self._patience_s

    def _has_left(self, attempt: Attempt) -> bool:
        return read_now() - attempt.began_at > self._leave_s

    def _can_send(self) -> bool:
        habit = self._habit
        return not (
            self._is_closed
            or self._is_stopped
            or (habit.requests_max and self._sent >= habit.requests_max)
        )

    async def _send_all(self) -> None:
        habit, rng = self._habit, self._rng
        await asyncio.sleep(rng.uniform(*habit.first_wait_s))
        while self._can_send():
            free = habit.depth_max - len(self._waiting)
            if not free:
                self._changed.clear()
                await self._changed.wait()
                continue
            if self._sent:
                await asyncio.sleep(rng.uniform(*habit.pause_s))
            if not self._can_send():
                return
            await self._send_segment(rng.randint(1, free))
        self._changed.set()

    async def _send_segment(self, count: int) -> None:
        attempts, data = [], b""
        for _ in range(count):
            attempt, encoded = self._make_attempt(
                self._sent, bool(self._waiting)
            )
            self._sent += 1
            self._waiting.append(attempt)
            attempts.append(attempt)
            data += encoded
        await self._write(data)
        for attempt in attempts:
            attempt.sent_at = read_now()

    async def _write(self, data: bytes) -> None:
        rng, pause_s = self._rng, self._habit.piece_pause_s
        pieces = rng.randint(1, _PIECES_MAX) if pause_s else 1
        for _ in range(pieces - 1):
            cut = rng.randint(1, max(1, len(data) - 1))
            self._writer.write(data[:cut])
            data = data[cut:]
            await asyncio.sleep(rng.uniform(0.0, pause_s))
        self._writer.write(data)

    async def _read_all(self) -> None:
        while not self._is_closed:
            head = await self._reader.readuntil(b"\r\n\r\n")
            if not self._waiting:
                self._mark_extra()
                return
            await self._read_answer(self._waiting[0], head)
            self._changed.set()
            requests_max = self._habit.requests_max
            if requests_max and self._sent >= requests_max:
                if not self._waiting:
                    return
        # Nothing may follow the last answer.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                if await self._reader.read(_READ_BYTES):
                    self._mark_extra()

    def _mark_extra(self) -> None:
        if self._answered is not None:
            self._answered.is_followed = True

    async def _read_answer(self, attempt: Attempt, head: bytes) -> None:
        first, *lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if ": " in line)
        attempt.received = len(head)
        self._is_closed = headers.get("connection") == "close"
        body = await self._read_body(attempt, int(headers["content-length"]))
        self._waiting.popleft()
        attempt.ended_at = read_now()
        attempt.status = int(first.split()[1])
        attempt.has_seal = "server-seal" in headers
        attempt.has_body = body == make_body(attempt.attempt_id, attempt.size)
        attempt.is_last = self._is_closed
        self._answered = attempt

    async def _read_body(self, attempt: Attempt, size: int) -> bytes:
        body = bytearray()
        pause_s = self._habit.read_pause_s
        wanted = SLOW_READ_BYTES if pause_s else _READ_BYTES
        while len(body) < size:
            data = await self._reader.read(min(wanted, size - len(body)))
            if not data:
                raise asyncio.IncompleteReadError(bytes(body[:1]), size)
            body += data
            attempt.received += len(data)
            if pause_s:
                await asyncio.sleep(self._rng.uniform(0.0, pause_s))
        return bytes(body)
