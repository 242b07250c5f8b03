"""Target side of a node: the only way to the target beside it."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from kumquatwalk import codes
from kumquatwalk.admission.target_gate import GateCall
from kumquatwalk.admission.target_gate import Refusal
from kumquatwalk.admission.target_gate import TargetGate
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.encode import encode_request
from kumquatwalk.http1.headers import list_end_to_end
from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.link_server import LINK_LOST
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.outcome import Outcome
from kumquatwalk.platform.request_headers import make_target_headers
from kumquatwalk.platform.target_answer import decode_target_answer
from kumquatwalk.targets.client import TargetClient
from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState
from kumquatwalk.targets.record import TargetRecord

__all__ = ["TargetSide"]

# Time after the deadline for which the target's own answer to its end is
# awaited, in seconds: one turn of its work.
DEADLINE_GRACE_S = 0.03
# Time for which the reply to a call that must not run twice is kept, in
# seconds: longer than a link takes to be found broken and to come back.
REPLIES_KEPT_S = 15.0
# Time between looks at waiting calls, in seconds: small beside the shortest
# deadline of a call, 0.7 s in the deployments in view.
EXPIRY_INTERVAL_S = 0.05
# Weight of one run in the share of failed runs.
FAILURE_WEIGHT = 0.05
# Routes whose mean time is told to other nodes.
ROUTES_TOLD = 8


@dataclasses.dataclass(slots=True)
class _Once:
    """Record of a call that must not run twice."""

    began_at: float
    task: asyncio.Task | None = None
    is_admitted: bool = False


class TargetSide:
    """Runs calls at the target, within its limits.

    Args:
        settings: Settings of the daemon.
        get_config_version: Returns the version of the fleet configuration.
        on_change: Called when the target's state has changed.
        meter: Counts the runs.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        get_config_version: Callable[[], int],
        on_change: Callable[[], None],
        meter: TrafficMeter,
    ):
        self._settings = settings
        self._get_config_version = get_config_version
        self._on_change = on_change
        self._meter = meter
        self._client = TargetClient(settings.target)
        self._waiters: dict[int, asyncio.Future[Refusal | None]] = {}
        self._once: collections.OrderedDict[int, _Once] = (
            collections.OrderedDict()
        )
        self._expiry: asyncio.TimerHandle | None = None
        self._next_key = 0
        self._failure_share = 0.0
        self.is_stopping = False
        self.gate = TargetGate()
        self.record = TargetRecord()

    @property
    def connections_opened(self) -> int:
        """Connections opened to the target so far."""
        return self._client.connections_opened

    @property
    def needs_probe(self) -> bool:
        """Whether only a probe can tell if the target takes work."""
        if self.record.state is TargetState.UNKNOWN:
            return True
        return self.record.state is TargetState.READY and not self.gate.is_open

    def close(self) -> None:
        """Close the connections to the target."""
        self._client.close()

    def stop(self) -> None:
        """Take no more calls from other nodes; those in progress go on."""
        self.is_stopping = True

    def get_status(self) -> TargetStatus:
        """Return the state of the target as other nodes are told it."""
        gate = self.gate
        now = read_now()
        return TargetStatus(
            state=self._get_told_state(),
            limit=gate.limit,
            running=gate.running,
            queued=gate.queued,
            cold_left_s=max(0.0, self.record.cold_until - now),
            is_stopping=self.is_stopping,
            config_version=self._get_config_version(),
            route_times=gate.run_times.list_means(ROUTES_TOLD),
            failure_share=self._failure_share,
        )

    def get_load(self) -> tuple[int, int]:
        """Return the calls that run at the target and that wait for it."""
        return self.gate.running, self.gate.queued

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat of the target.

        Args:
            heartbeat: The heartbeat.
        """
        if heartbeat.service != self._settings.service:
            log_event(
                "heartbeat_of_other_service",
                service=heartbeat.service,
                expected=self._settings.service,
            )
            return
        self._set_record(self.record.take_heartbeat(heartbeat, read_now()))

    def take_departure(self, target_id: str) -> None:
        """Take the target's word that it leaves for good.

        Args:
            target_id: Identifier of the target.
        """
        self._set_record(self.record.take_departure(target_id))

    def take_probe(self, target_id: str, slots: int) -> None:
        """Take the answer to a health check that the target passed.

        Args:
            target_id: Identifier that the target answered with.
            slots: Slots that it answered with; 0 when it did not say.
        """
        record = self.record.take_probe(target_id, slots)
        if record.target_id == target_id:
            self._set_record(record)

    async def serve(self, call: Call) -> Reply:
        """Run a call at the target, when it is admitted.

        A call that must not run twice goes on when its link breaks, and a
        second copy of it gets the first one's reply. When its caller has gone
        it goes on too once it has been admitted, and ends otherwise.

        Args:
            call: The call, its deadline on this node's clock.

        Returns:
            What became of it.
        """
        if call.is_idempotent:
            return await self._serve_once(call)
        self._forget_once()
        known = self._once.get(call.key)
        if known is None:
            known = _Once(read_now())
            self._once[call.key] = known
            known.task = asyncio.get_running_loop().create_task(
                self._serve_once(call, known)
            )
        try:
            return await asyncio.shield(known.task)
        except asyncio.CancelledError as error:
            if known.task.cancelled():
                return Reply(Outcome.NOT_RUN, codes.CALL_CANCELLED)
            if error.args != (LINK_LOST,) and not known.is_admitted:
                known.task.cancel()
            raise

    def _get_told_state(self) -> TargetState:
        if self.record.state is TargetState.READY and not self.gate.is_open:
            return TargetState.UNKNOWN
        return self.record.state

    def _set_record(self, record: TargetRecord) -> None:
        before, self.record = self.record, record
        if record.state is TargetState.READY:
            self.gate.open(record.slots)
            self._advance()
        else:
            code = _CLOSED_CODES[record.state]
            self._resolve(self.gate.close(code))
        if (before.state, before.target_id) != (record.state, record.target_id):
            log_event(
                "target_changed",
                target=record.target_id,
                state=record.state.value,
                incarnation=record.incarnation,
                sequence=record.sequence,
                slots=record.slots,
            )
            if before.target_id != record.target_id:
                self._client.close()
            self._on_change()

    async def _serve_once(
        self, call: Call, record: _Once | None = None
    ) -> Reply:
        if call.service != self._settings.service:
            return self._reply_not_run(codes.SERVICE_MISMATCH)
        self._next_key += 1
        key = self._next_key
        refusal = await self._admit(key, call)
        if refusal is not None:
            return self._reply_not_run(refusal.code, refusal.retry_after_s)
        if record is not None:
            record.is_admitted = True
        self._meter.note_run(call.route)
        began_at = read_now()
        run_s = None
        try:
            reply = await self._run(call)
            if reply.outcome is not Outcome.NOT_RUN:
                run_s = read_now() - began_at
        finally:
            started, refused = self.gate.finish(key, run_s, read_now())
            self._start(started)
            self._resolve(refused)
        return reply

    async def _admit(self, key: int, call: Call) -> Refusal | None:
        asking = GateCall(
            key,
            call.route,
            call.rank,
            call.is_returning,
            call.deadline,
            call.start_by,
        )
        runs, refused = self.gate.offer(asking, read_now())
        own = [r for r in refused if r.key == key]
        self._resolve([r for r in refused if r.key != key])
        if runs:
            return None
        if own:
            return own[0]
        future = asyncio.get_running_loop().create_future()
        self._waiters[key] = future
        self._schedule_expiry()
        try:
            return await future
        except asyncio.CancelledError:
            if not self.gate.withdraw(key):
                # It was admitted in the same turn: give the place back.
                started, refused = self.gate.finish(key, None, read_now())
                self._start(started)
                self._resolve(refused)
            raise
        finally:
            self._waiters.pop(key, None)

    async def _run(self, call: Call) -> Reply:
        remaining_s = call.deadline - read_now()
        target_id = self.record.target_id
        headers = make_target_headers(
            call.headers, call.caller_service, target_id, remaining_s
        )
        data = encode_request(call.method, call.url, headers, call.body)
        try:
            async with asyncio.timeout(remaining_s + DEADLINE_GRACE_S):
                response = await self._client.exchange(
                    data,
                    call.method == b"HEAD",
                    call.is_idempotent,
                    lambda r: decode_target_answer(r, call.attempt_id).is_own,
                )
        except TimeoutError:
            return Reply(Outcome.UNKNOWN, codes.DEADLINE_EXCEEDED)
        except ExchangeError as error:
            return self._reply_failed(error, call)
        return self._read_answer(call, response)

    def _read_answer(self, call: Call, response: HttpResponse) -> Reply:
        judge = decode_target_answer(response, call.attempt_id)
        if judge.was_not_run:
            return self._reply_shed(judge.is_replaced, response)
        is_failed = response.status >= 500 or not judge.is_whole
        self._note_outcome(is_failed)
        if not judge.is_whole:
            log_event(
                "answer_spoiled",
                attempt=call.attempt_id.decode("latin-1"),
                status=response.status,
            )
            return Reply(Outcome.UNKNOWN, codes.ANSWER_SPOILED)
        return Reply(
            Outcome.DONE,
            status=response.status,
            headers=list_end_to_end(response.headers),
            body=response.body,
        )

    def _reply_shed(self, is_replaced: bool, response: HttpResponse) -> Reply:
        if is_replaced:
            self._set_record(self.record.mark_replaced())
            return self._reply_not_run(codes.TARGET_REPLACED)
        if response.status in (429, 503):
            self.gate.note_shed(read_now())
        return Reply(Outcome.NOT_RUN, codes.TARGET_SHED, shed_by_target=True)

    def _reply_failed(self, error: ExchangeError, call: Call) -> Reply:
        self._note_outcome(True)
        log_event(
            "target_exchange_failed",
            attempt=call.attempt_id.decode("latin-1"),
            code=error.code,
            error=error.message,
            sent=error.sent,
        )
        if error.sent:
            return Reply(Outcome.UNKNOWN, codes.TARGET_FAILED)
        self._resolve(self.gate.close(codes.TARGET_UNREACHABLE))
        self._on_change()
        return Reply(Outcome.NOT_RUN, codes.TARGET_UNREACHABLE)

    def _reply_not_run(self, code: str, retry_after_s: float = 0.0) -> Reply:
        return Reply(
            Outcome.NOT_RUN,
            code,
            retry_after_s=retry_after_s,
        )

    def _note_outcome(self, is_failed: bool) -> None:
        change = float(is_failed) - self._failure_share
        self._failure_share += FAILURE_WEIGHT * change

    def _advance(self) -> None:
        started, refused = self.gate.advance(read_now())
        self._start(started)
        self._resolve(refused)

    def _start(self, keys: list[int]) -> None:
        for key in keys:
            future = self._waiters.get(key)
            if future is not None and not future.done():
                future.set_result(None)

    def _resolve(self, refusals: list[Refusal]) -> None:
        for refusal in refusals:
            future = self._waiters.get(refusal.key)
            if future is not None and not future.done():
                future.set_result(refusal)

    def _schedule_expiry(self) -> None:
        if self._expiry is None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        self._resolve(self.gate.expire(read_now()))
        if self.gate.queued:
            self._schedule_expiry()

    def _forget_once(self) -> None:
        oldest = read_now() - REPLIES_KEPT_S
        while self._once:
            key, known = next(iter(self._once.items()))
            if known.began_at > oldest or not known.task.done():
                return
            del self._once[key]


_CLOSED_CODES = {
    TargetState.UNKNOWN: codes.TARGET_ABSENT,
    TargetState.DRAINING: codes.TARGET_LEAVING,
    TargetState.GONE: codes.TARGET_LEAVING,
}
