"""Asynchronous access to the limiter of the target."""

import asyncio

from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import Refusal
from kumquatwalk.admission.target_limiter import TargetLimiter
from kumquatwalk.clock import read_now
from kumquatwalk.mesh.message import Call

__all__ = ["AdmissionWaiter"]

# Interval at which queued calls are checked for expiry and, where the target's
# rate is limited, for their start, in seconds: short against the shortest
# deadline of a call, 0.7 s in the intended deployments.
EXPIRY_INTERVAL_S = 0.05


class AdmissionWaiter:
    """Lets tasks wait until the target's limiter admits or refuses their calls.

    The limiter holds the queue and decides without waiting; this class holds
    one future for each queued call and resolves it with the limiter's decision.

    Attributes:
        limiter: Concurrency limiter of the target.
    """

    def __init__(self):
        self.limiter = TargetLimiter()
        self._waiters: dict[int, asyncio.Future[Refusal | None]] = {}
        self._expiry: asyncio.TimerHandle | None = None
        self._next_key = 0

    def open(self, slots: int) -> None:
        """Begin to admit calls, or change the number of slots.

        Args:
            slots: Number of calls that the target runs concurrently; 0 when
                not known.
        """
        self.limiter.open(slots)
        self._resolve_all(*self.limiter.dispatch(read_now()))

    def close(self, code: str) -> None:
        """Refuse all queued calls, and new ones until ``open`` is called.

        Args:
            code: Code of the refusals.
        """
        self._resolve_all([], self.limiter.close(code))

    async def admit(self, call: Call) -> int | Refusal:
        """Wait until a call is admitted or refused.

        Args:
            call: The call. Its deadline and latest start bound the wait.

        Returns:
            Key to pass to ``finish`` after the run, or the refusal.
        """
        self._next_key += 1
        key = self._next_key
        admission_request = AdmissionRequest(
            key,
            call.route,
            call.rank,
            call.is_returning or call.depth > 0,
            call.deadline,
            call.start_by,
            call.team,
        )
        is_admitted, refused = self.limiter.submit(
            admission_request, read_now()
        )
        own_refusals = [r for r in refused if r.key == key]
        self._resolve_all([], [r for r in refused if r.key != key])
        if is_admitted:
            return key
        if own_refusals:
            return own_refusals[0]
        refusal = await self._wait(key)
        return key if refusal is None else refusal

    def finish(self, key: int, run_s: float | None) -> None:
        """Release the slot of a call and admit queued calls.

        Args:
            key: Key that ``admit`` returned.
            run_s: Duration of its run in seconds; None when the run did not
                complete.
        """
        self._resolve_all(*self.limiter.finish(key, run_s, read_now()))

    async def _wait(self, key: int) -> Refusal | None:
        future = asyncio.get_running_loop().create_future()
        self._waiters[key] = future
        self._schedule_expiry()
        try:
            return await future
        except asyncio.CancelledError:
            if not self.limiter.cancel(key):
                # It was admitted in the same iteration of the event loop:
                # release its slot.
                self.finish(key, None)
            raise
        finally:
            self._waiters.pop(key, None)

    def _resolve_all(self, started: list[int], refused: list[Refusal]) -> None:
        for key in started:
            self._resolve(key, None)
        for refusal in refused:
            self._resolve(refusal.key, refusal)

    def _resolve(self, key: int, refusal: Refusal | None) -> None:
        future = self._waiters.get(key)
        if future is not None and not future.done():
            future.set_result(refusal)

    def _schedule_expiry(self) -> None:
        if self._expiry is None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        now = read_now()
        self._resolve_all([], self.limiter.expire(now))
        # A rate that the target has named lets calls start as time passes.
        self._resolve_all(*self.limiter.dispatch(now))
        if self.limiter.queued:
            self._schedule_expiry()
