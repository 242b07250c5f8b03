"""Answers written to one connection, until the client has taken them."""

import asyncio
import collections
import dataclasses

from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.encoder import encode_response
from kumquatwalk.http1.exchange_queue import Report
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.reading_rate import ReadingRate
from kumquatwalk.http1.sockets import count_acknowledged_bytes
from kumquatwalk.http1.sockets import count_untaken_bytes
from kumquatwalk.http1.throughput import BACKLOG_BYTES_MAX
from kumquatwalk.http1.throughput import Throughput
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage

__all__ = ["AnswerWriter"]

# Number of untaken answers at which the kernel is asked which are taken, by a
# system call. The checks of time-outs ask besides.
UNTAKEN_MAX = 16


class AnswerWriter:
    """Writes answers and knows which of them the client has not taken yet.

    An answer is taken once the client's kernel has acknowledged its last byte.
    One answer at a time is in the transport's buffer.

    Args:
        transport: Transport of the connection.
        budget: Bytes that the process may hold; None for no bound. The bytes of
            an answer's body are released when they have left the transport.
        report: Reports a request whose answer was not wholly taken.
        now: Current time, in seconds.

    Attributes:
        can_write: Whether the transport's buffer is empty.
        progress_at: Time at which the client was last seen to have taken bytes
            or the first untaken answer was written, in seconds.
        has_written: Whether an answer has been written.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        budget: ByteBudget | None,
        report: Report,
        now: float,
    ):
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._budget = budget
        self._report = report
        self._held_bytes = 0
        self._written_bytes = 0
        self._taken_bytes = 0
        self._interim_bytes = 0
        # Bytes that the kernel had taken at the last update.
        self._sent_bytes = 0
        self._rate = ReadingRate()
        self._throughput = Throughput()
        # For each untaken answer the number of bytes written up to its end, and
        # its request without the body.
        self._untaken: collections.deque[tuple[int, HttpRequest]] = (
            collections.deque()
        )
        self.can_write = True
        self.progress_at = now
        self.has_written = False

    @property
    def untaken(self) -> int:
        """Number of answers that were not taken at the last update."""
        return len(self._untaken)

    @property
    def untaken_bytes(self) -> int:
        """Bytes of answers that were not taken at the last update."""
        return self._written_bytes - self._taken_bytes if self._untaken else 0

    @property
    def slowly_taken_bytes(self) -> int:
        """Bytes held for a client that reads slowly; 0 for others.

        See ``ReadingRate``, as of the last update.
        """
        return self._held_bytes if self._untaken and self._rate.is_slow else 0

    def estimate_taking_s(self, size: float) -> float | None:
        """Return the time in which the client takes bytes, in seconds.

        Args:
            size: Number of bytes, at least 0.

        Returns:
            The time, as of the last update; None if it is not known.
        """
        return self._throughput.estimate_s(size)

    def write(
        self,
        request: HttpRequest,
        response: HttpResponse,
        closes_connection: bool,
        now: float,
    ) -> None:
        """Write an answer.

        Args:
            request: Request that it answers.
            response: The answer.
            closes_connection: Whether to announce that the connection closes.
            now: Current time, in seconds.
        """
        data = encode_response(
            response, request.method == b"HEAD", closes_connection
        )
        is_behind = self.untaken_bytes + len(data) > BACKLOG_BYTES_MAX
        if is_behind or len(self._untaken) >= UNTAKEN_MAX:
            self.update(now)
        if not self._untaken:
            self.progress_at = now
            self._rate.restart(self._taken_bytes, now)
        if is_behind:
            self._throughput.begin(self._taken_bytes, now)
        self.has_written = True
        self._written_bytes += len(data)
        if request.body:
            request = dataclasses.replace(request, body=b"")
        self._untaken.append((self._written_bytes, request))
        self._held_bytes += len(response.body)
        self._transport.write(data)
        self._sent_bytes = self._count_sent()
        if not self._transport.get_write_buffer_size():
            self.release()
        if is_behind:
            self.update(now)

    def write_interim(self, data: bytes) -> None:
        """Write an interim answer; no other answer may be in the buffer.

        Args:
            data: The encoded answer.
        """
        self._interim_bytes += len(data)
        self._transport.write(data)

    def end(self, end: End, now: float) -> None:
        """Report the requests whose answers the client has not taken.

        Args:
            end: What ends the connection.
            now: Current time, in seconds.
        """
        # A transport that is closing may have discarded its buffer.
        if (
            self.can_write
            or not self._transport.is_closing()
            or count_acknowledged_bytes(self._transport) is not None
        ):
            self.update(now)
        while self._untaken:
            self._report(self._untaken.popleft()[1], Stage.ANSWERED, end)

    def pause(self) -> None:
        """Note that the transport's buffer is not empty."""
        self.can_write = False

    def resume(self) -> None:
        """Note that the transport's buffer is empty."""
        self.can_write = True
        self.release()

    def release(self) -> None:
        """Release the bytes held for the answers written."""
        if self._budget is not None:
            self._budget.release(self._held_bytes)
        self._held_bytes = 0

    def update(self, now: float) -> None:
        """Note which answers the client has taken.

        Args:
            now: Current time, in seconds.
        """
        if not self._untaken:
            return
        # The end of the stream may count as one byte that is not taken.
        taken_bytes = self._count_taken()
        sent_bytes = self._count_sent()
        # What the kernel takes after a write takes the place of what the client
        # has taken, maybe long ago if this process did not run.
        if taken_bytes > self._taken_bytes or sent_bytes > self._sent_bytes:
            self.progress_at = now
        self._taken_bytes = max(self._taken_bytes, taken_bytes)
        self._sent_bytes = sent_bytes
        self._rate.update(self._taken_bytes, now)
        untaken_bytes = self._written_bytes - self._taken_bytes
        self._throughput.update(self._taken_bytes, untaken_bytes, now)
        while self._untaken and self._untaken[0][0] <= taken_bytes:
            self._untaken.popleft()

    def _count_taken(self) -> int:
        """Return the bytes of all answers that the client has taken."""
        taken_bytes = self._written_bytes - count_untaken_bytes(self._transport)
        if not self._transport.is_closing():
            return taken_bytes
        # What was written after a reset has been discarded.
        acked_bytes = count_acknowledged_bytes(self._transport)
        if acked_bytes is None:
            return taken_bytes
        return min(taken_bytes, acked_bytes - self._interim_bytes)

    def _count_sent(self) -> int:
        """Return the bytes of all answers that have left the transport."""
        return self._written_bytes - self._transport.get_write_buffer_size()
