"""Target side of a node: admits calls to the local target and runs them."""

import asyncio
import dataclasses
import math
import zlib
from collections.abc import Callable

from kumquatwalk import codes
from kumquatwalk.admission.route_limits import RouteLimits
from kumquatwalk.admission.stop import StopAdmission
from kumquatwalk.admission.target_limiter import Refusal
from kumquatwalk.admission.target_limiter import TargetLimiter
from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.admission_waiter import AdmissionWaiter
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.external_interface import ExternalInterface
from kumquatwalk.daemon.health_check import make_health_check
from kumquatwalk.daemon.metrics import DaemonMetrics
from kumquatwalk.daemon.open_runs import OpenRuns
from kumquatwalk.daemon.own_calls import OwnCalls
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.target_exchange import ExchangeResult
from kumquatwalk.daemon.target_exchange import Finding
from kumquatwalk.daemon.target_exchange import make_content
from kumquatwalk.daemon.target_exchange import run_call
from kumquatwalk.daemon.target_work import TargetWork
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.daemon.timed_lock import acquire_until
from kumquatwalk.daemon.unique_calls import CallInProgress
from kumquatwalk.daemon.unique_calls import UniqueCalls
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.read_limiter import ReadLimiter
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import CrashStatus
from kumquatwalk.quarantine import CrashTracker
from kumquatwalk.quarantine import RequestContent
from kumquatwalk.targets.client import TargetClient
from kumquatwalk.targets.heartbeat import Heartbeat
from kumquatwalk.targets.heartbeat import TargetState
from kumquatwalk.targets.record import TargetRecord
from kumquatwalk.targets.response import ResponseCheck
from kumquatwalk.targets.run import Run
from kumquatwalk.targets.run import RunTable

__all__ = ["TargetSide"]

# Weight of one run in the moving average of failed runs.
FAILURE_WEIGHT = 0.05
# Maximum number of routes whose mean run time is published to other nodes.
PUBLISHED_ROUTES_MAX = 8


class TargetSide:
    """Runs calls at the local target, within the limits of target and route.

    All calls of the node's target pass through here, from this VM and from
    other nodes. It tracks the state of the target from heartbeats, probes and
    the results of calls.

    Args:
        settings: Settings of the daemon.
        interface: Encodes requests to the target and decodes its answers.
        configs: Fleet configuration in force.
        count_targets: Returns how many targets of a service accept calls.
        has_other_target: Returns whether another node's target takes calls of
            a service.
        on_change: Called when the target's state has changed.
        hedge_call: Asks the peer that has sent a call to have it run elsewhere
            too.
        traffic: Counts the runs of each route.
        metrics: Metrics of the daemon.
        budget: Bytes of bodies that the process may hold.
        crash_tracker: Quarantines requests that crash targets.

    Attributes:
        service: Service of the target; empty while unknown.
        record: Last known state of the target.
        probe_requested: Set when a heartbeat waits to be confirmed by a probe.
        runs: Runs in progress.
        is_stopping: Whether this node is stopping, so that other nodes should
            choose other targets.
        stop_admission: Refuses calls that a stop would cut off.
        work: Work left at the target, where the target reports how slow its
            machine is.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        interface: ExternalInterface,
        configs: ConfigHolder,
        count_targets: Callable[[str], int],
        has_other_target: Callable[[str], bool],
        on_change: Callable[[], None],
        hedge_call: Callable[[Call], None],
        traffic: TrafficMeter,
        metrics: DaemonMetrics,
        budget: ByteBudget,
        crash_tracker: CrashTracker,
    ):
        self._settings = settings
        self._interface = interface
        self._configs = configs
        self._count_targets = count_targets
        self._has_other_target = has_other_target
        self._on_change = on_change
        self._hedge_call = hedge_call
        self._traffic = traffic
        self._metrics = metrics
        self._crash_tracker = crash_tracker
        self._suspect_lock = asyncio.Lock()
        self._limits = RouteLimits()
        self._budget = budget
        self._read_limiter = ReadLimiter(budget)
        self._client = TargetClient(settings.target, self._read_limiter)
        self.service = settings.service
        self.runs = RunTable()
        self._open_runs = OpenRuns()
        self._own_calls = OwnCalls()
        self._unique_calls = UniqueCalls(self._check_and_admit, budget)
        self._failure_share = 0.0
        self.is_stopping = False
        self.stop_admission = StopAdmission()
        self._waiter = AdmissionWaiter()
        self.work = TargetWork()
        self.limiter.named_rate.expect_response(read_now())
        # A service that the target announces is not probed.
        self.record = TargetRecord(is_probed=bool(settings.service))
        self.probe_requested = asyncio.Event()
        self._departures: dict[int, int] = {}
        # Keys of targets of this node's service that peers remember.
        self._recalled_keys: set[int] = set()
        # Last target that has answered a probe and was not known; logged once.
        self._unknown_target_id = ""

    @property
    def limiter(self) -> TargetLimiter:
        """Concurrency limiter of the target."""
        return self._waiter.limiter

    @property
    def connections_opened(self) -> int:
        """Number of connections opened to the target since the start."""
        return self._client.connections_opened

    @property
    def needs_probe(self) -> bool:
        """Whether a probe is needed to learn if the target accepts calls.

        It is while the state is unknown or a heartbeat is unconfirmed, and
        while a ready target gets no calls because it could not be reached. Not
        before a target of this node's service is known, as no other is used.
        """
        if self.record.state is TargetState.UNKNOWN:
            return bool(self.record.known or self._recalled_keys)
        if self.record.unconfirmed is not None:
            return True
        return (
            self.record.state is TargetState.READY and not self.limiter.is_open
        )

    def close(self) -> None:
        """Close the connections to the target."""
        self._client.close()

    def mark_stopping(self) -> None:
        """Mark this node as stopping in the status that other nodes get.

        They then choose other targets, as long as there are any.
        """
        self.is_stopping = True

    def refuse_queued_calls(self) -> None:
        """Refuse all calls that wait for the target; admitted ones continue."""
        self._waiter.close(codes.TARGET_LEAVING)

    def hedge_runs(self) -> None:
        """Have runs that may outlast the stop run at another target too.

        They go on here, as the other target may refuse them. Nothing is done
        while no other target takes calls. See ``StopAdmission.should_hedge``.
        """
        config = self._configs.config
        if config is None or not self._has_other_target(self.service):
            return
        for call in self._open_runs.take_due(
            self.stop_admission, config.routes_by_name, read_now()
        ):
            if not self._own_calls.hedge(call):
                self._hedge_call(call)

    def get_status(self) -> TargetStatus:
        """Return the status of the target that is published to other nodes."""
        limiter = self.limiter
        now = read_now()
        status = TargetStatus(
            state=self._get_published_state(),
            limit=limiter.effective_limit,
            running=limiter.running,
            queued=limiter.queued,
            cold_left_s=max(0.0, self.record.cold_until - now),
            is_stopping=self.is_stopping,
            config_version=self._configs.version,
            route_times=limiter.run_times.list_means(PUBLISHED_ROUTES_MAX),
            failure_share=self._failure_share,
            target_key=_hash_identifier(self.record.target_id),
            target_start_ms=self.record.incarnation,
            # Identifiers of targets that are not probed are used again.
            is_leaving=self.record.is_probed and self.record.is_leaving,
            stop_left_s=max(0.0, self.stop_admission.ends_at - now),
            clock_s=now,
        )
        return self.work.add_to_status(status, PUBLISHED_ROUTES_MAX)

    def get_load(self) -> tuple[float, ...]:
        """Return the numbers of running and of queued calls.

        The work left and the slowness follow where the target reports it.
        """
        limiter = self.limiter
        return limiter.running, limiter.queued, *self.work.measure()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Update the target's state from a heartbeat.

        A heartbeat of another service than the configured one is ignored.
        Without a configured service, the heartbeat sets the service and the
        address of the target.

        Args:
            heartbeat: Decoded heartbeat.

        Returns:
            Whether it may be acknowledged: not if it says that the target
            leaves and is ignored while the target is in use.
        """
        if self._settings.service not in ("", heartbeat.service):
            log_event(
                "heartbeat_of_other_service",
                service=heartbeat.service,
                expected=self._settings.service,
            )
            self._recalled_keys.discard(_hash_identifier(heartbeat.target_id))
            record = self.record.remove_known(heartbeat.target_id)
            if record is not self.record:
                self._set_record(record)
            return True
        record = self.record.handle_heartbeat(heartbeat, read_now())
        if record is not self.record and not self._settings.service:
            self._use_announced_service(heartbeat)
        self._set_record(record)
        is_current = record.target_id == heartbeat.target_id
        return heartbeat.state is not TargetState.DRAINING or not (
            is_current and record.state is TargetState.READY
        )

    def handle_departure(self, target_id: str) -> None:
        """Record that the target has announced its permanent departure.

        Args:
            target_id: Identifier of the target.
        """
        self._set_record(self.record.handle_departure(target_id))

    def recall_departure(self, target_key: int, start_ms: int) -> None:
        """Record what a peer remembers: that a target has left.

        Args:
            target_key: Hash of its identifier, as this node published it.
            start_ms: Start of the target in Unix milliseconds.
        """
        self._departures[target_key] = start_ms
        record = self._apply_departures(self.record)
        if record is not self.record:
            self._set_record(record)

    def recall_target(self, target_key: int, service: str) -> None:
        """Record what a peer remembers: that a target was ready here.

        Args:
            target_key: Hash of its identifier, as this node published it.
            service: Service of the target; another one than that of this node
                is ignored, as the VM has got another target since.
        """
        is_new = target_key not in self._recalled_keys
        if is_new and service and service == self._settings.service:
            self._recalled_keys.add(target_key)
            self.probe_requested.set()

    def handle_probe(self, target_id: str, slots: int, asked_at: float) -> None:
        """Update the target's state from a successful health probe.

        Args:
            target_id: Identifier that the target answered with.
            slots: Number of concurrent runs that it reported; 0 when it
                reported none.
            asked_at: Time at which the probe was sent, in seconds.
        """
        record = self.record
        if _hash_identifier(target_id) in self._recalled_keys:
            record = record.add_known(target_id)
        if target_id not in (*record.known, self._unknown_target_id):
            self._unknown_target_id = target_id
            log_event("target_of_unknown_service", target=target_id)
        record = record.handle_probe(target_id, slots, asked_at, read_now())
        if record.target_id == target_id:
            self._set_record(record)

    async def serve(self, call: Call) -> Reply:
        """Run a call of this node at the target if it is admitted.

        When its caller cancels it, a non-idempotent call continues if it has
        been admitted, and is cancelled otherwise.

        Args:
            call: The call, with its deadline on this node's clock.

        Returns:
            The target's answer, or a reply that says why there is none and
            whether the call may have run.
        """
        if not call.is_idempotent:
            return await self._unique_calls.serve_own(call)
        if not call.is_hedgeable:
            return await self._check_and_admit(call)
        return await self._own_calls.serve(call, self._check_and_admit(call))

    def find_late_reply(self, call: Call) -> asyncio.Future[Reply] | None:
        """Return the reply that may still come to a call that was hedged.

        Cancelling it ends the run.

        Args:
            call: Call of this node to which ``serve`` has returned an unknown
                outcome.
        """
        return self._own_calls.find_late_reply(call)

    async def serve_peer(self, call: Call, is_resent: bool) -> Reply:
        """Run a call of a peer at the target if it is admitted.

        A non-idempotent call is deduplicated by its key: a duplicate gets the
        reply of the first copy, as long as it is kept. It continues when its
        link breaks. When it is cancelled, it is as in ``serve``.

        Args:
            call: The call, with its deadline on this node's clock.
            is_resent: Whether the peer sent the call before, on a connection
                that has failed since.

        Returns:
            The target's answer, or a reply that says why there is none and
            whether the call may have run.
        """
        if call.is_idempotent:
            return await self._serve_within_budget(call)
        reply = await self._unique_calls.serve_peer(call, is_resent)
        if reply.code == codes.MEMORY_EXHAUSTED:
            self._metrics.record_refusal(reply)
        return reply

    def release_reply(self, key: int) -> None:
        """Drop the reply kept for a peer's call.

        Args:
            key: Key of a call that its peer will not send again.
        """
        self._unique_calls.release_reply(key)

    def count_owed(self, now: float) -> int:
        """Return how many replies are owed to peers that have no link now.

        See ``UniqueCalls.count_owed``.

        Args:
            now: Current time, in seconds.
        """
        return self._unique_calls.count_owed(now)

    async def _serve_within_budget(self, call: Call) -> Reply:
        size = len(call.body)
        if size and not self._budget.try_reserve(size):
            return self._reply_not_run(codes.MEMORY_EXHAUSTED)
        try:
            return await self._check_and_admit(call)
        finally:
            self._budget.release(size)

    def _get_published_state(self) -> TargetState:
        if self.stop_admission.has_ended(read_now()):
            return TargetState.DRAINING
        if self.record.state is TargetState.READY and not self.limiter.is_open:
            return TargetState.UNKNOWN
        return self.record.state

    def _set_record(self, record: TargetRecord) -> None:
        record = self._apply_departures(record)
        before, self.record = self.record, record
        if record.is_of_other_start(before):
            # Callers would avoid it for the run times and the failures of the
            # start before.
            self.limiter.run_times.clear()
            self.work.clear()
            self._failure_share = 0.0
        if record.unconfirmed not in (None, before.unconfirmed):
            self._request_confirmation(record.unconfirmed)
        if record.state is TargetState.READY:
            self._waiter.open(record.slots)
        else:
            code = _CLOSED_CODES[record.state]
            self._waiter.close(code)
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
                if before.target_id:
                    self.limiter.named_rate.clear()
            self._on_change()

    def _apply_departures(self, record: TargetRecord) -> TargetRecord:
        start_ms = self._departures.get(_hash_identifier(record.target_id))
        return record if start_ms is None else record.apply_departure(start_ms)

    def _request_confirmation(self, heartbeat: Heartbeat) -> None:
        log_event(
            "heartbeat_unconfirmed",
            target=heartbeat.target_id,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
        )
        self.probe_requested.set()

    def _use_announced_service(self, heartbeat: Heartbeat) -> None:
        """Use the service and the address that the target has announced."""
        self.service = heartbeat.service
        if heartbeat.address != self._client.address:
            self._client.close()
            self._client = TargetClient(heartbeat.address, self._read_limiter)

    async def _check_and_admit(
        self, call: Call, running: CallInProgress | None = None
    ) -> Reply:
        """Run a call unless a route limit, quarantine or limiter refuses it."""
        content = make_content(call)
        if call.crash_marks:
            self._crash_tracker.record_marks(
                call.crash_marks, content, read_now()
            )
        code, route = self._check_and_acquire(call, content)
        if code:
            return self._reply_not_run(code)
        try:
            self.work.enter(call)
            if self._classify(content) is CrashStatus.CLEAR:
                reply = await self._admit(call, content, running)
                if reply is not None:
                    return reply
            # Run suspect requests one at a time, so that a crash can be
            # attributed to one of them.
            if not await acquire_until(self._suspect_lock, call.deadline):
                return self._reply_not_run(codes.DEADLINE_EXCEEDED)
            try:
                return await self._admit(call, content, running, True)
            finally:
                self._suspect_lock.release()
        finally:
            self.work.leave(call)
            if route is not None:
                self._limits.end(route)

    def _check_and_acquire(
        self, call: Call, content: RequestContent
    ) -> tuple[str, Route | None]:
        """Check a call and acquire a slot under its route's limits.

        Returns:
            Code of the refusal, empty when the call is not refused here; and
            the route whose slot must be released after the call, None when the
            call is refused or its route is not configured.
        """
        if call.service != self.service:
            return codes.SERVICE_MISMATCH, None
        if not self._can_end(call):
            return codes.TARGET_LEAVING, None
        if self._classify(content) is CrashStatus.QUARANTINED:
            return codes.QUARANTINED, None
        config = self._configs.config
        route = config and config.routes_by_name.get(call.route)
        if route is None:
            return "", None
        # Counting targets costs more than the rest of this check.
        targets = (
            self._count_targets(self.service) if route.has_fleet_limits else 1
        )
        code = self._limits.begin(route, targets, read_now())
        return code, None if code else route

    def _can_end(self, call: Call) -> bool:
        """Return whether a call that starts now will end before a stop does."""
        if not self.stop_admission.has_begun:
            return True
        config = self._configs.config
        route = config and config.routes_by_name.get(call.route)
        objective_s = route.objective_s if route is not None else math.inf
        return self.stop_admission.admits(
            call.route,
            call.deadline,
            objective_s,
            read_now(),
            is_nested=call.depth > 0,
            has_alternative=self._has_other_target(call.service),
        )

    def _classify(self, content: RequestContent) -> CrashStatus:
        return self._crash_tracker.classify(content, read_now())

    async def _admit(
        self,
        call: Call,
        content: RequestContent,
        running: CallInProgress | None,
        is_only_suspect: bool = False,
    ) -> Reply | None:
        """Run a call when there is capacity.

        Returns:
            The reply; None when the request has become a suspect while it was
            queued and is not the only one.
        """
        arrived_at = read_now()
        if arrived_at > call.deadline:
            return self._reply_not_run(codes.DEADLINE_EXCEEDED)
        admission = await self._waiter.admit(call)
        began_at = read_now()
        self._metrics.record_queue_time(began_at - arrived_at)
        if isinstance(admission, Refusal):
            self._metrics.record_team_call(call.team, Outcome.NOT_RUN)
            return self._reply_not_run(admission.code, admission.retry_after_s)
        run_s = None
        try:
            # A crash elsewhere may have been reported while the call waited.
            status = self._classify(content)
            if status is CrashStatus.QUARANTINED:
                return self._reply_not_run(codes.QUARANTINED)
            if status is CrashStatus.SUSPECT and not is_only_suspect:
                return None
            if not self._can_end(call):
                return self._reply_not_run(codes.TARGET_LEAVING)
            if running is not None:
                running.is_admitted = True
            self.work.start(call)
            key = self.stop_admission.begin(call.route, read_now())
            try:
                reply = await self._run(call, content)
                if reply.outcome is not Outcome.NOT_RUN:
                    run_s = read_now() - began_at
            finally:
                self.stop_admission.finish(
                    call.route, key, run_s is not None, read_now()
                )
        finally:
            self._waiter.finish(admission, run_s)
            self.work.end(call, run_s is not None)
        self._metrics.record_run(reply, read_now() - began_at)
        self._metrics.record_team_call(call.team, reply.outcome)
        return reply

    async def _run(self, call: Call, content: RequestContent) -> Reply:
        self._traffic.record_run(call.route)
        run = Run(call)
        self.runs.add(run)
        self._crash_tracker.begin(run.run_id, content, read_now())
        is_sound = False
        try:
            target_id = self.record.target_id
            result = await self._exchange(target_id, run)
            reply, finding = result.reply, result.finding
            if result.check is not None and target_id == self.record.target_id:
                self._observe_response(result.check)
                self.work.observe_response(result.check, read_now())
                if result.check.is_leaving and not result.check.is_replaced:
                    reply = dataclasses.replace(reply, is_leaving=True)
                    self._set_record(self.record.mark_leaving())
            is_sound = reply.outcome is Outcome.DONE and reply.status < 500
            self._apply_finding(finding)
            if reply.outcome is not Outcome.NOT_RUN:
                self._traffic.record_run_end(finding is not Finding.SOUND)
            if finding is Finding.CONNECTION_LOST:
                reply = await self._detect_crash(run, reply)
        finally:
            self.runs.remove(run)
            self._crash_tracker.end(run.run_id, is_sound, read_now())
        if not call.tokens:
            return reply
        return dataclasses.replace(reply, tokens=run.tokens.left)

    async def _exchange(self, target_id: str, run: Run) -> ExchangeResult:
        call, now = run.call, read_now()
        timeout = self._open_runs.open(call, now)
        try:
            return await run_call(
                self._client,
                self._interface,
                target_id,
                run.run_id,
                call,
                timeout,
                self.stop_admission.bound_deadline(call.deadline, now),
                make_health_check(
                    self._configs.config, self.service, self._client.address
                ),
            )
        finally:
            self._open_runs.close(timeout)

    async def _detect_crash(self, run: Run, reply: Reply) -> Reply:
        """Report a crash if the target stopped listening in an exchange."""
        if await self._client.is_listening():
            return reply
        mark = self._crash_tracker.record_crash(run.run_id, read_now())
        self._apply_finding(Finding.UNREACHABLE)
        return dataclasses.replace(
            reply, code=codes.TARGET_CRASHED, crash_mark=mark
        )

    def _observe_response(self, check: ResponseCheck) -> None:
        """Apply what the target says of itself in a response.

        The limit ends with a response to a run only: a refusal may come from a
        part of the target that names none.
        """
        limit = check.rate_limit
        is_own = check.is_complete and not check.is_replaced
        if not is_own or (check.was_not_run and not limit.is_named):
            return
        if limit.is_named and limit.per_s is None:
            log_event("rate_limit_unreadable", target=self.record.target_id)
        limit_before = self.limiter.effective_limit
        if not self.limiter.named_rate.observe(limit, read_now()):
            return
        log_event(
            "rate_limit_changed",
            target=self.record.target_id,
            per_s=self.limiter.named_rate.per_s,
        )
        if self.limiter.effective_limit != limit_before:
            self._on_change()

    def _apply_finding(self, finding: Finding) -> None:
        if finding is Finding.REPLACED:
            self._set_record(self.record.mark_replaced())
        elif finding is Finding.SHED:
            self.limiter.record_shed(read_now())
        elif finding is Finding.UNREACHABLE:
            self._waiter.close(codes.TARGET_UNREACHABLE)
            self._on_change()
        if finding in _RUN_FINDINGS:
            change = float(finding is not Finding.SOUND) - self._failure_share
            self._failure_share += FAILURE_WEIGHT * change

    def _reply_not_run(self, code: str, retry_after_s: float = 0.0) -> Reply:
        reply = Reply(Outcome.NOT_RUN, code, retry_after_s=retry_after_s)
        self._metrics.record_refusal(reply)
        return reply


def _hash_identifier(target_id: str) -> int:
    return zlib.crc32(target_id.encode())


_RUN_FINDINGS = (Finding.SOUND, Finding.FAILED, Finding.CONNECTION_LOST)
_CLOSED_CODES = {
    TargetState.UNKNOWN: codes.TARGET_ABSENT,
    TargetState.DRAINING: codes.TARGET_LEAVING,
    TargetState.GONE: codes.TARGET_LEAVING,
}
