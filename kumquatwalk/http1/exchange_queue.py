"""Requests in progress on one connection, in the order of their answers."""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Callable

from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.unanswered import End
from kumquatwalk.http1.unanswered import Stage
from kumquatwalk.http1.unanswered import find_stage

__all__ = ["Exchange", "ExchangeQueue", "Report"]

# Status from which an answer tells nothing of the size of others.
ERROR_STATUS_MIN = 400

# Reports a request that ended without a complete answer.
Report = Callable[[HttpRequest, Stage, End], None]


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and its answer.

    Attributes:
        request: The request.
        response: Its answer; None until it is made.
        task: Task of the handler; None if the server answers by itself.
        is_deferred: Whether it waits for the answers before it to be handled.
        expected_bytes: Size expected of the answer; None if not estimated yet.
        is_over: Whether the exchange has ended, so that an answer is not sent.
    """

    request: HttpRequest
    response: HttpResponse | None = None
    task: asyncio.Task | None = None
    is_deferred: bool = False
    expected_bytes: float | None = None
    is_over: bool = False


class ExchangeQueue:
    """Exchanges that are not written yet, and the bytes held for them.

    Args:
        budget: Bytes of requests' bodies that the process may hold; None for no
            bound.
        answer_budget: The same for the bodies of answers.
        report: Reports a request that ended without an answer.

    Attributes:
        largest_bytes: Size of the largest answer so far that is no error; None
            before the first.
    """

    def __init__(
        self,
        budget: ByteBudget | None,
        answer_budget: ByteBudget | None,
        report: Report,
    ):
        self._budget = budget
        self._answer_budget = answer_budget
        self._report = report
        self.largest_bytes: int | None = None
        self._exchanges: collections.deque[Exchange] = collections.deque()

    def __len__(self) -> int:
        """Return the number of exchanges."""
        return len(self._exchanges)

    def is_waiting_before(self, end: Exchange) -> bool:
        """Return whether an exchange before another has no answer yet.

        Args:
            end: The other exchange; all are before it if it is not added.
        """
        for exchange in self._exchanges:
            if exchange is end:
                return False
            if exchange.response is None:
                return True
        return False

    def is_first(self, exchange: Exchange) -> bool:
        """Return whether no answer is sent before that of an exchange."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    @property
    def head_bytes(self) -> int:
        """Bytes held for the heads of the requests."""
        return sum(e.request.head_bytes for e in self._exchanges)

    def count_before(self, end: Exchange) -> int:
        """Return the number of exchanges before another.

        Args:
            end: The other exchange; all are before it if it is not added.
        """
        for index, exchange in enumerate(self._exchanges):
            if exchange is end:
                return index
        return len(self._exchanges)

    @property
    def has_run(self) -> bool:
        """Whether a request has been passed to its handler and is not over."""
        return any(
            e.task is not None and e.response is None for e in self._exchanges
        )

    @property
    def answer_bytes(self) -> int:
        """Bytes held for the bodies of answers that are made."""
        responses = (e.response for e in self._exchanges)
        return sum(len(r.body) for r in responses if r is not None)

    @property
    def first_deferred(self) -> Exchange | None:
        """First deferred exchange, or None; no handler has one behind it."""
        return next((e for e in self._exchanges if e.is_deferred), None)

    def count_answer_bytes(
        self, end: Exchange, estimate: Callable[[HttpRequest], float]
    ) -> float:
        """Return the bytes of the answers that are sent before another.

        Args:
            end: Exchange of the other answer; counts all if it is not added.
            estimate: Returns the bytes expected of an answer not made yet.
        """
        size = 0
        for exchange in self._exchanges:
            if exchange is end:
                break
            response = exchange.response
            if response is None:
                size += estimate(exchange.request)
            else:
                size += len(response.body)
        return size

    def count_large_bytes(
        self,
        end: Exchange,
        size_min: int,
        estimate: Callable[[HttpRequest], float],
    ) -> float:
        """Return the bytes of the large answers that are sent before another.

        Args:
            end: Exchange of the other answer; counts all if it is not added.
            size_min: Size from which an answer is large, in bytes.
            estimate: Returns the bytes expected of an answer not made yet;
                infinite if not known, which counts as small. Asked once for
                each request.
        """
        total = 0
        for exchange in self._exchanges:
            if exchange is end:
                break
            if exchange.response is not None:
                size = len(exchange.response.body)
            else:
                if exchange.expected_bytes is None:
                    exchange.expected_bytes = estimate(exchange.request)
                size = exchange.expected_bytes
            if size_min < size < math.inf:
                total += size
        return total

    def add(self, exchange: Exchange) -> None:
        """Add an exchange; the bytes of its request's body are reserved."""
        self._exchanges.append(exchange)
        if exchange.response is not None:
            self._hold(exchange.response)

    def set_response(self, exchange: Exchange, response: HttpResponse) -> None:
        """Store the answer and hold the bytes of its body.

        Args:
            exchange: An exchange without an answer. If it is over, the answer
                is discarded.
            response: The answer.
        """
        if exchange.is_over:
            return
        exchange.response = response
        self._hold(response)
        if response.status < ERROR_STATUS_MIN:
            size = len(response.body)
            self.largest_bytes = max(self.largest_bytes or 0, size)

    def take_ready(self) -> Exchange | None:
        """Remove and return the first exchange if it has its answer.

        The bytes of the answer stay held; they are its receiver's to release.
        """
        if not self._exchanges or self._exchanges[0].response is None:
            return None
        exchange = self._exchanges.popleft()
        exchange.is_over = True
        self.release_request(exchange.request)
        return exchange

    def cancel(self, end: End) -> None:
        """End all exchanges, cancel their handlers and release their bytes.

        Args:
            end: What ends them; the message of the handlers' cancellation.
        """
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            exchange.is_over = True
            request, response = exchange.request, exchange.response
            self.release_request(request)
            self._report(
                request, find_stage(request, response is not None), end
            )
            if response is not None:
                self._release_answer(response)
            elif exchange.task is not None:
                exchange.task.cancel(end)

    def leave_behind(self, request: HttpRequest) -> None:
        """End a request that stands behind the last answer, not handled."""
        self.release_request(request)
        self._report(request, Stage.READ, End.CLOSING_ANSWER)

    def leave_all_behind(self, last: Exchange) -> None:
        """End all exchanges behind another; none of them is handled.

        Args:
            last: Exchange of the last answer; it must be in the queue.
        """
        while self._exchanges[-1] is not last:
            exchange = self._exchanges.pop()
            exchange.is_over = True
            self.leave_behind(exchange.request)
            if exchange.response is not None:
                self._release_answer(exchange.response)

    def release_request(self, request: HttpRequest) -> None:
        """Release the bytes of a request's body."""
        if self._budget is not None:
            self._budget.release(len(request.body))

    def _hold(self, response: HttpResponse) -> None:
        if self._answer_budget is not None:
            self._answer_budget.hold(len(response.body))

    def _release_answer(self, response: HttpResponse) -> None:
        if self._answer_budget is not None:
            self._answer_budget.release(len(response.body))
