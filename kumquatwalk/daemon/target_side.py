"""Target side of a node: the only way to the target beside it."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from kumquatwalk import codes
from kumquatwalk.admission.route_limits import RouteLimits
from kumquatwalk.admission.target_gate import Refusal
from kumquatwalk.admission.target_gate import TargetGate
from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.gate_queue import GateQueue
from kumquatwalk.daemon.interface import Interface
from kumquatwalk.daemon.meters import DaemonMeters
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.target_exchange import Finding
from kumquatwalk.daemon.target_exchange import run_call
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.link_server import LINK_LOST
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import CrashVerdict
from kumquatwalk.quarantine import CrashWatch
from kumquatwalk.quarantine import make_fingerprint
from kumquatwalk.targets.client import TargetClient
from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState
from kumquatwalk.targets.record import TargetRecord
from kumquatwalk.targets.run import Run
from kumquatwalk.targets.run import RunTable

__all__ = ["TargetSide"]

# Time for which the reply to a call that must not run twice is kept, in
# seconds: longer than a link takes to be found broken and to come back.
REPLIES_KEPT_S = 15.0
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
        interface: Formats of the target.
        configs: The fleet configuration.
        count_targets: Returns how many targets of a service take work.
        on_change: Called when the target's state has changed.
        meter: Counts the runs.
        meters: Metrics of the daemon.
        crash_watch: Requests that crash targets; None where none are held
            back.

    Attributes:
        service: Service of the target; empty while unknown.
        record: What is known of the target.
        runs: Runs in progress.
        is_stopping: Whether other nodes are to choose other targets.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        interface: Interface,
        configs: ConfigHolder,
        count_targets: Callable[[str], int],
        on_change: Callable[[], None],
        meter: TrafficMeter,
        meters: DaemonMeters,
        crash_watch: CrashWatch | None = None,
    ):
        self._settings = settings
        self._interface = interface
        self._configs = configs
        self._count_targets = count_targets
        self._on_change = on_change
        self._meter = meter
        self._meters = meters
        self._crash_watch = crash_watch
        self._suspect_lock = asyncio.Lock()
        self._limits = RouteLimits()
        self._client = TargetClient(settings.target)
        self.service = settings.service
        self.runs = RunTable()
        self._once: collections.OrderedDict[int, _Once] = (
            collections.OrderedDict()
        )
        self._failure_share = 0.0
        self.is_stopping = False
        self._is_refusing = False
        self._queue = GateQueue()
        self.record = TargetRecord()

    @property
    def gate(self) -> TargetGate:
        """Gate that decides which calls run."""
        return self._queue.gate

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

    def note_stopping(self) -> None:
        """Tell other nodes to choose other targets where there are any."""
        self.is_stopping = True

    def refuse_new(self) -> None:
        """Take no more calls; those in progress go on."""
        self._is_refusing = True

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
            config_version=self._configs.version,
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
        if self._settings.service not in ("", heartbeat.service):
            log_event(
                "heartbeat_of_other_service",
                service=heartbeat.service,
                expected=self._settings.service,
            )
            return
        record = self.record.take_heartbeat(heartbeat, read_now())
        if record is not self.record and not self._settings.service:
            self._adopt(heartbeat)
        self._set_record(record)

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
            self._queue.open(record.slots)
        else:
            code = _CLOSED_CODES[record.state]
            self._queue.close(code)
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

    def _adopt(self, heartbeat: Heartbeat) -> None:
        """Use the service and the address that the target announces."""
        self.service = heartbeat.service
        if heartbeat.address != self._client.address:
            self._client.close()
            self._client = TargetClient(heartbeat.address)

    async def _serve_once(
        self, call: Call, record: _Once | None = None
    ) -> Reply:
        code, route = self._check(call)
        if code:
            return self._reply_not_run(code)
        try:
            if self._judge_crashes(call) is not CrashVerdict.SUSPECT:
                return await self._admit(call, record)
            # The next crash must have one cause.
            async with self._suspect_lock:
                return await self._admit(call, record)
        finally:
            if route is not None:
                self._limits.end(route)

    def _check(self, call: Call) -> tuple[str, Route | None]:
        """Return why a call is refused, or the route whose limits it uses."""
        if call.service != self.service:
            return codes.SERVICE_MISMATCH, None
        if self._is_refusing:
            return codes.TARGET_LEAVING, None
        if self._judge_crashes(call) is CrashVerdict.QUARANTINED:
            return codes.QUARANTINED, None
        config = self._configs.config
        route = config and config.routes_by_name.get(call.route)
        if route is None:
            return "", None
        targets = self._count_targets(self.service)
        code = self._limits.begin(route, targets, read_now())
        return code, None if code else route

    def _judge_crashes(self, call: Call) -> CrashVerdict:
        if self._crash_watch is None:
            return CrashVerdict.CLEAR
        now = read_now()
        fingerprint = _make_fingerprint(call)
        if call.crash_marks:
            self._crash_watch.take_marks(call.crash_marks, fingerprint, now)
        return self._crash_watch.judge(fingerprint, now)

    async def _admit(self, call: Call, record: _Once | None) -> Reply:
        came_at = read_now()
        if came_at > call.deadline:
            return self._reply_not_run(codes.DEADLINE_EXCEEDED)
        place = await self._queue.admit(call)
        began_at = read_now()
        self._meters.note_wait(began_at - came_at)
        if isinstance(place, Refusal):
            return self._reply_not_run(place.code, place.retry_after_s)
        if record is not None:
            record.is_admitted = True
        run_s = None
        try:
            reply = await self._run(call)
            if reply.outcome is not Outcome.NOT_RUN:
                run_s = read_now() - began_at
        finally:
            self._queue.finish(place, run_s)
        self._meters.note_run(reply, read_now() - began_at)
        return reply

    async def _run(self, call: Call) -> Reply:
        run = Run(call, read_now())
        self._meter.note_run(call.route, run.began_at)
        self.runs.add(run)
        if self._crash_watch is not None:
            self._crash_watch.begin(
                run.run_id, _make_fingerprint(call), self._judge_crashes(call)
            )
        has_answer = False
        is_failed = True
        try:
            reply, finding = await run_call(
                self._client,
                self._interface,
                self.record.target_id,
                run.run_id,
                call,
            )
            has_answer = reply.outcome is Outcome.DONE
            self._take_finding(finding)
            is_failed = finding is not Finding.SOUND
            if reply.code == codes.TARGET_FAILED:
                reply = await self._judge_break(run, reply)
        finally:
            self.runs.remove(run)
            self._meter.note_end(call.route, is_failed, read_now())
            if self._crash_watch is not None:
                self._crash_watch.end(run.run_id, has_answer, read_now())
        if not call.tokens:
            return reply
        return dataclasses.replace(reply, tokens=run.tokens.left)

    async def _judge_break(self, run: Run, reply: Reply) -> Reply:
        """Find out whether a broken exchange was a crash of the target."""
        if self._crash_watch is None or await self._client.is_listening():
            return reply
        mark = self._crash_watch.note_crash(run.run_id, read_now())
        self._take_finding(Finding.UNREACHABLE)
        return dataclasses.replace(
            reply, code=codes.TARGET_CRASHED, crash_mark=mark
        )

    def _take_finding(self, finding: Finding) -> None:
        if finding is Finding.REPLACED:
            self._set_record(self.record.mark_replaced())
        elif finding is Finding.SHED:
            self.gate.note_shed(read_now())
        elif finding is Finding.UNREACHABLE:
            self._queue.close(codes.TARGET_UNREACHABLE)
            self._on_change()
        if finding in (Finding.SOUND, Finding.FAILED):
            change = float(finding is Finding.FAILED) - self._failure_share
            self._failure_share += FAILURE_WEIGHT * change

    def _reply_not_run(self, code: str, retry_after_s: float = 0.0) -> Reply:
        reply = Reply(Outcome.NOT_RUN, code, retry_after_s=retry_after_s)
        self._meters.note_refusal(reply)
        return reply

    def _forget_once(self) -> None:
        oldest = read_now() - REPLIES_KEPT_S
        while self._once:
            key, known = next(iter(self._once.items()))
            if known.began_at > oldest or not known.task.done():
                return
            del self._once[key]


def _make_fingerprint(call: Call) -> bytes:
    return make_fingerprint(
        call.route, call.method.decode("latin-1"), call.url, call.body
    )


_CLOSED_CODES = {
    TargetState.UNKNOWN: codes.TARGET_ABSENT,
    TargetState.DRAINING: codes.TARGET_LEAVING,
    TargetState.GONE: codes.TARGET_LEAVING,
}
