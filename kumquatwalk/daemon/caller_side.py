"""Caller side of a node: chooses targets, retries and enforces deadlines."""

import random

from kumquatwalk import codes
from kumquatwalk.admission.memory import MemoryAdmission
from kumquatwalk.admission.stop import StopAdmission
from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.attempt_sender import NODES_PER_REQUEST_MAX
from kumquatwalk.daemon.attempt_sender import AttemptSender
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.chain import ChainContext
from kumquatwalk.daemon.ingress_admission import IngressAdmission
from kumquatwalk.daemon.late_replies import ERROR_STATUS_MIN
from kumquatwalk.daemon.late_replies import has_good_reply
from kumquatwalk.daemon.late_replies import wait_for_late_reply
from kumquatwalk.daemon.metrics import DaemonMetrics
from kumquatwalk.daemon.node_reply import make_timeout_reply
from kumquatwalk.daemon.node_reply import make_unknown_reply
from kumquatwalk.daemon.node_reply import make_refusal
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.pending_request import PendingRequest
from kumquatwalk.daemon.request_timeouts import RequestTimeouts
from kumquatwalk.daemon.retry_budgets import RetryBudgets
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.daemon.team_caps import TeamCaps
from kumquatwalk.daemon.traffic_meter import TrafficMeter
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.logs import log_event
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.quarantine import CrashStatus
from kumquatwalk.quarantine import CrashTracker
from kumquatwalk.retry.longest_timeout import LongestTimeouts
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.leaving_targets import LeavingTargets
from kumquatwalk.routing.route_sizes import RouteSizes
from kumquatwalk.routing.settled_routes import SettledRoutes
from kumquatwalk.routing.split import TrafficSplitter
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import choose_target

__all__ = ["CallerSide"]

# Time for which this node avoids a target after an attempt with an unknown
# outcome or one that the target shed, in seconds.
TARGET_BACKOFF_S = 0.3
# Time to wait for a broken link to reconnect when no other target is left, in
# seconds. The link to a node that is up reconnects within 0.1 s.
RELINK_TIMEOUT_S = 0.4
# Share of failed runs above which a target is not used for a retry. When all
# targets of a service fail, the fault is in a service that they call, and a
# retry would only multiply the calls to it.
FAILURE_SHARE_MAX = 0.15
# A request is taken for a caller's retry when its timeout is below this share
# of the longest timeout that the route's callers have given lately, which
# stands for the timeout of a first attempt.
RETRY_TIMEOUT_SHARE = 0.95
# Time beyond the deadline for which the reply to a call that has been passed on
# is awaited, in seconds. A target side refuses a queued call up to 0.05 s late,
# and the refusal, which says that it has not run, crosses a link.
REPLY_WAIT_S = 0.09


class CallerSide:
    """Serves requests of callers on this VM and nested calls of its target.

    Each attempt goes to a target chosen by load, here or on another node.
    Retries are bounded by the request's deadline, the route's number of
    attempts, the retry budgets and the tokens of the call chain.

    Args:
        settings: Settings of the daemon.
        target_side: Target side of this node, for attempts on this VM.
        own_view: State of this node's own target, as used to choose targets.
        peers: Links to other nodes.
        traffic: Counts the requests from this VM.
        graph: Graph of the calls that routes make to each other.
        admission: Sheds requests that would overload downstream services.
        retry_budgets: Retry budget of each service.
        metrics: Metrics of the daemon.
        crash_tracker: Tells which requests crash targets.
        memory: Refuses requests whose answers there is no memory for.

    Attributes:
        leaving: Targets that have said that they leave.
        stop_admission: Refuses requests that a stop would cut off.
        capped: Number of requests that the end of a stop has ended.
        caps: Caps of teams; set by ``DaemonCore``. None until then.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        target_side: TargetSide,
        own_view: TargetView,
        peers: Peers,
        traffic: TrafficMeter,
        graph: CallGraph,
        admission: IngressAdmission,
        retry_budgets: RetryBudgets,
        metrics: DaemonMetrics,
        crash_tracker: CrashTracker,
        memory: MemoryAdmission,
    ):
        self._settings = settings
        self._target_side = target_side
        self._own_view = own_view
        self._peers = peers
        self._traffic = traffic
        self._graph = graph
        self._admission = admission
        self._retry_budgets = retry_budgets
        self._metrics = metrics
        self._crash_tracker = crash_tracker
        self._memory = memory
        self._rng = random.Random()
        self._splitter = TrafficSplitter(self._rng)
        self._sizes = RouteSizes()
        self._timeouts = LongestTimeouts()
        self.leaving = LeavingTargets()
        self._settled = SettledRoutes()
        self._request_timeouts = RequestTimeouts()
        self.stop_admission = StopAdmission()
        self._sender = AttemptSender(
            settings, target_side, own_view, peers, graph, self.stop_admission
        )
        self.capped = 0
        self.caps: TeamCaps | None = None

    def set_bounds(self, bounds: FleetBounds) -> None:
        """Replace the bounds on retries.

        Args:
            bounds: New bounds for the whole fleet.
        """
        self._retry_budgets.set_bounds(bounds)

    def set_end(
        self, ends_at: float, typical_until: float, certain_from: float
    ) -> None:
        """Set the end of the drain, at which all requests have an answer.

        Requests that would last longer are refused from now on.

        Args:
            ends_at: End of the drain, in seconds.
            typical_until: See ``StopAdmission.set_end``.
            certain_from: See ``StopAdmission.set_end``.
        """
        self.stop_admission.set_end(ends_at, typical_until, certain_from)
        self._request_timeouts.set_end(ends_at)

    def estimate_answer(self, route: Route) -> float:
        """Return the largest size expected of an answer, in bytes.

        Args:
            route: Route of the request.

        Returns:
            The size; infinite if no request of the route is known.
        """
        return self._sizes.find_largest(route.name)

    def clear_backoffs(self) -> None:
        """End the backoff of every target."""
        for view in self._peers.list_all_views():
            view.backoff_until = 0.0

    async def serve(
        self,
        http: HttpRequest,
        caller: CallerRequest,
        route: Route,
        chain: ChainContext | None = None,
    ) -> Reply:
        """Serve one request within its deadline, with retries if need be.

        The deadline is the earliest of the route's timeout, the caller's
        timeout and the deadline of the call chain. Closes the tokens of the
        chain at the end.

        Args:
            http: HTTP request with its time of arrival, from which timeouts
                count.
            caller: Fields decoded from its headers.
            route: Route that the request matched.
            chain: Context of the call chain; None when it is not known.

        Returns:
            The target's answer, or a reply with the code of the failure.
        """
        began_at = read_now()
        key = self.stop_admission.begin(route.name, began_at)
        has_run = False
        try:
            reply = await self._serve(http, caller, route, chain)
            has_run = reply.outcome is not Outcome.NOT_RUN
        finally:
            self.stop_admission.finish(route.name, key, has_run, read_now())
            if chain is not None:
                chain.tokens.close()
        team = "" if caller.team is None else caller.team.name
        self._metrics.record_request(
            route.name, reply, read_now() - began_at, team
        )
        return reply

    async def _serve(
        self,
        http: HttpRequest,
        caller: CallerRequest,
        route: Route,
        chain: ChainContext | None,
    ) -> Reply:
        timeout_s = route.timeout_s
        if caller.timeout_s is not None:
            timeout_s = min(timeout_s, caller.timeout_s)
        deadline = http.received_at + timeout_s
        self._traffic.record_arrival(route.name)
        self._settled.record(
            route.name,
            self._graph.is_internal(route.name),
            self._graph.is_external(route.name),
            read_now(),
        )
        request = PendingRequest(
            http,
            caller,
            route,
            self._splitter.choose(route),
            deadline if chain is None else min(deadline, chain.deadline),
            self._is_caller_retry(route, caller.timeout_s),
            chain,
        )
        if not self._can_end(request, http.progress.deferred_at):
            return self._refuse_for_stop(request)
        size_kb = self._sizes.estimate(route.name)
        if not self._memory.try_reserve(size_kb):
            return make_refusal(
                caller, codes.MEMORY_EXHAUSTED, 0.0, self._rng, route.name
            )
        try:
            return await self._serve_admitted(request)
        finally:
            # From here on the connection holds the answer.
            self._memory.release(size_kb)

    async def _serve_admitted(self, request: PendingRequest) -> Reply:
        """Serve a request for whose answer there is memory."""
        route, caller = request.route, request.caller
        token = None
        if caller.team is not None and caller.team.rate_max_per_s is not None:
            token = await self.caps.take_token(
                caller, route.name, request.deadline
            )
            if isinstance(token, Reply):
                return token
        if not request.is_nested and not self._admission.admits(
            route, request.is_returning, read_now(), caller.team
        ):
            if token is not None:
                self.caps.give_back(token)
            delay_s = self._admission.draw_retry_delay(
                route, request.is_returning, caller.team
            )
            return make_refusal(
                caller, codes.OVERLOADED, delay_s, self._rng, route.name
            )
        timeout = self._request_timeouts.open(request.deadline + REPLY_WAIT_S)
        try:
            async with timeout:
                return await self._make_attempts(request)
        except TimeoutError:
            if request.deadline > self._request_timeouts.ends_at:
                return self._end_for_stop(request)
            if request.has_answer_in_hand or not request.may_have_run:
                return self._make_final_reply(request)
            return make_timeout_reply(request)
        finally:
            self._request_timeouts.close(timeout)

    def _can_end(
        self, request: PendingRequest, judged_from: float | None = None
    ) -> bool:
        """Return whether a request will end before a stop does."""
        if not self.stop_admission.has_begun:
            return True
        route = request.route
        return self.stop_admission.admits(
            route.name,
            request.deadline,
            min(route.objective_s, route.timeout_s),
            read_now(),
            is_nested=request.is_nested
            or self._settled.is_internal(route.name, read_now()),
            taking_s=request.http.progress.taking_s,
            judged_from=judged_from,
        )

    def _can_go_on(self, request: PendingRequest) -> bool:
        """Return whether a stop leaves room for another attempt.

        A request that may have run cannot be refused any more: without another
        attempt it is certain to fail.
        """
        run = request.last_run
        may_have_run = run is not None and run.outcome is Outcome.UNKNOWN
        return may_have_run or self._can_end(request)

    def _refuse_for_stop(self, request: PendingRequest) -> Reply:
        return make_refusal(
            request.caller,
            codes.NODE_STOPPING,
            self.stop_admission.estimate_retry_delay(read_now()),
            self._rng,
            request.route.name,
            request.last_node,
        )

    def _end_for_stop(self, request: PendingRequest) -> Reply:
        """Return the reply to a request that lasts longer than the stop."""
        self.capped += 1
        if request.has_answer_in_hand:
            return self._make_final_reply(request)
        if request.is_in_flight:
            self._log_awaited_reply(request)
        if request.may_have_run:
            return make_unknown_reply(request, codes.NODE_STOPPING)
        return self._refuse_for_stop(request)

    def _log_awaited_reply(self, request: PendingRequest) -> None:
        """Log the link on which the end of a stop still awaited a reply.

        It tells a run that has not ended from a reply that does not get here.
        """
        link = self._peers.find(request.last_node)
        if link is None:
            return
        log_event(
            "reply_awaited",
            attempt=request.caller.attempt_id.decode("latin-1"),
            asked=request.last_node,
            usable=link.is_usable,
            silent_s=link.measure_silence(read_now()),
        )

    def _is_caller_retry(self, route: Route, timeout_s: float | None) -> bool:
        """Return whether a request is taken for a caller's retry.

        A caller that retries gives the time it has left, which is less than
        the timeout of its first attempt.
        """
        if timeout_s is None:
            return False
        longest_s = self._timeouts.record(route.name, timeout_s, read_now())
        return timeout_s < RETRY_TIMEOUT_SHARE * longest_s

    async def _make_attempts(self, request: PendingRequest) -> Reply:
        try:
            return await self._attempt_until_final(request)
        finally:
            for late in request.late_replies:
                late.cancel()

    async def _attempt_until_final(self, request: PendingRequest) -> Reply:
        self._retry_budgets.record_first_attempt(request.service, read_now())
        while True:
            await self._attempt_while_possible(request)
            await self._await_late_replies(request)
            if not self._prepare_repeat(request):
                return self._make_final_reply(request)

    async def _attempt_while_possible(self, request: PendingRequest) -> None:
        while not request.is_over and not self._is_quarantined(request):
            view = await self._choose_target_or_wait(request)
            if view is None or request.is_over:
                return
            reply = await self._sender.send(view, request)
            self._record_attempt(request, view, reply)
            if request.is_over or self._is_final(request, reply, view):
                return
            if not self._can_go_on(request):
                return
            if request.attempts_at_targets:
                if not await self._prepare_retry(request, reply, view):
                    return
            elif reply.code == codes.LINK_FAILED:
                await self._await_only_link(request, view)

    async def _await_late_replies(self, request: PendingRequest) -> None:
        """Wait for replies that may still come, unless there is an answer."""
        last_run = request.last_run
        if last_run is not None and last_run.outcome is Outcome.UNKNOWN:
            reply = await wait_for_late_reply(request.late_replies, last_run)
            if reply.outcome is not Outcome.NOT_RUN:
                request.last_run = reply
            elif request.runs_possible == len(request.late_replies):
                # All attempts are known not to have run.
                request.last_run = None
                request.last_refusal = reply
        elif last_run is not None and last_run.status >= ERROR_STATUS_MIN:
            # Without late replies it returns at once.
            reply = await wait_for_late_reply(request.late_replies, last_run)
            if reply.outcome is Outcome.DONE:
                request.last_run = reply

    def _prepare_repeat(self, request: PendingRequest) -> bool:
        """Return whether targets that refused a request are asked once more.

        They are if the run that went on meanwhile has been lost.
        """
        run = request.last_run
        if run is None or run.outcome is not Outcome.UNKNOWN:
            return False
        if not request.late_replies or not request.refused_nodes:
            return False
        if request.is_over:
            return False
        if request.attempts_at_targets >= request.route.attempts_max:
            return False
        request.late_replies.clear()
        request.tried_nodes -= request.refused_nodes
        request.refused_nodes.clear()
        other = self._choose_target(request)
        if other is None or other.status.failure_share > FAILURE_SHARE_MAX:
            return False
        return self._spend_on_retry(request, read_now())

    def _is_quarantined(self, request: PendingRequest) -> bool:
        """Return whether a request is quarantined; if so, note the refusal."""
        now = read_now()
        status = self._crash_tracker.classify(request.content, now)
        if status is not CrashStatus.QUARANTINED:
            return False
        release_s = self._crash_tracker.estimate_release(request.content, now)
        request.last_refusal = Reply(
            Outcome.NOT_RUN, codes.QUARANTINED, retry_after_s=release_s
        )
        return True

    def _record_attempt(
        self, request: PendingRequest, view: TargetView, reply: Reply
    ) -> None:
        request.tried_nodes.add(view.node_id)
        if reply.is_leaving:
            self.leaving.record(view.node_id, view.status)
        if reply.crash_mark:
            request.crash_marks += reply.crash_mark
            self._crash_tracker.record_marks(
                reply.crash_mark, request.content, read_now()
            )
        tokens = None if request.chain is None else request.chain.tokens
        if reply.shed_by_target or reply.outcome is not Outcome.NOT_RUN:
            self._retry_budgets.record_arrival(
                request.service,
                reply.shed_by_target,
                request.route.attempts_max,
                read_now(),
            )
        if reply.outcome is Outcome.NOT_RUN:
            request.attempts_at_targets += reply.shed_by_target
            request.refusals_by_targets += reply.shed_by_target
            request.refused_nodes.add(view.node_id)
            request.last_refusal = reply
            if tokens is not None:
                tokens.record_not_run()
            return
        request.attempts_at_targets += 1
        request.runs_possible += 1
        # The latest run determines the answer, whether it succeeded or not.
        request.last_run = reply
        if tokens is not None:
            tokens.record_reply(reply.tokens)

    async def _choose_target_or_wait(
        self, request: PendingRequest
    ) -> TargetView | None:
        view = self._choose_target(request)
        if view is None and not request.tried_nodes:
            # After a process freeze or a network partition, all links may be
            # down for a moment.
            if await self._peers.wait_until_linked(
                request.service, RELINK_TIMEOUT_S
            ):
                view = self._choose_target(request)
        return view

    def _choose_target(self, request: PendingRequest) -> TargetView | None:
        if request.service == self._own_view.service:
            self._refresh_own_view()
        route = request.route
        now = read_now()
        status = self._crash_tracker.classify(request.content, now)
        is_suspect = status is not CrashStatus.CLEAR
        context = ChoiceContext(
            availability_zone=self._settings.availability_zone,
            route=route.name,
            objective_s=min(route.objective_s, route.timeout_s),
            size_kb=self._sizes.estimate(route.name),
            excluded=frozenset(request.tried_nodes),
            now=now,
            deadline=request.deadline,
            is_internal=self._graph.is_internal(route.name),
            pinned_by=request.content.fingerprint if is_suspect else b"",
        )
        views = self._peers.list_views(request.service)
        if self.leaving:
            views = [
                view
                for view in views
                if not self.leaving.has(view.node_id, view.status)
            ]
        return choose_target(views, context, self._rng)

    def _refresh_own_view(self) -> None:
        view = self._own_view
        load = self._target_side.get_load()
        view.running, view.queued = load[:2]
        if load[2:]:
            view.update_work(load[2], load[3], read_now())
        view.in_flight_reported = view.in_flight
        view.updated_at = read_now()

    def _is_final(
        self, request: PendingRequest, reply: Reply, view: TargetView
    ) -> bool:
        """Return whether a reply rules out another attempt.

        Also starts the backoff of the target after an unknown outcome, or when
        the target has shed the call.
        """
        route = request.route
        if reply.outcome is Outcome.DONE:
            if reply.status < 500 or not route.repeats_failures:
                return True
        if reply.outcome is Outcome.UNKNOWN or reply.shed_by_target:
            view.backoff_until = read_now() + TARGET_BACKOFF_S
        if reply.outcome is not Outcome.NOT_RUN and not route.is_idempotent:
            return True
        if reply.code == codes.QUARANTINED:
            return True
        nodes = len(request.tried_nodes) - request.refusals_by_targets
        if nodes >= NODES_PER_REQUEST_MAX:
            return True
        return request.attempts_at_targets >= route.attempts_max

    async def _prepare_retry(
        self, request: PendingRequest, reply: Reply, view: TargetView
    ) -> bool:
        """Return whether to retry a request that reached a target.

        Waits for a broken link to reconnect when there is no other target, and
        spends from the retry budgets and the chain's tokens for a retry.
        """
        other = self._choose_target(request)
        if other is None and reply.code == codes.LINK_FAILED:
            # No other target is left: retry at this one once it reconnects.
            if not await self._wait_for_link(request, view):
                return False
            other = view
        if other is None or other.status.failure_share > FAILURE_SHARE_MAX:
            return False
        if has_good_reply(request.late_replies):
            return False
        return self._spend_on_retry(request, read_now())

    async def _await_only_link(
        self, request: PendingRequest, view: TargetView
    ) -> None:
        """Wait for a link that broke before a call had left on it.

        Only once, only without another target, and only for idempotent routes,
        as for calls that had left. A link that is paused refuses calls at once
        and looks usable, so more waits would not end.
        """
        if (
            request.route.is_idempotent
            and not request.has_awaited_link
            and self._choose_target(request) is None
        ):
            request.has_awaited_link = True
            await self._wait_for_link(request, view)

    async def _wait_for_link(
        self, request: PendingRequest, view: TargetView
    ) -> bool:
        """Return whether the link to a tried target is usable again soon.

        The target may then be tried once more.
        """
        link = self._peers.find(view.node_id)
        if link is None or not await link.wait_until_usable(RELINK_TIMEOUT_S):
            return False
        request.tried_nodes.discard(view.node_id)
        return True

    def _spend_on_retry(self, request: PendingRequest, now: float) -> bool:
        tokens = None if request.chain is None else request.chain.tokens
        if tokens is not None and not tokens.available:
            return False
        if not self._retry_budgets.try_spend(
            request.service,
            request.route.name,
            now,
            request.own_rank == 0
            or self._graph.is_internal(request.route.name),
        ):
            self._metrics.record_retry_denied()
            return False
        self._metrics.record_retry()
        log_event(
            "request_sent_again",
            attempt=request.caller.attempt_id.decode("latin-1"),
            route=request.route.name,
            tried=",".join(request.tried_nodes),
        )
        return tokens is None or tokens.spend()

    def _make_final_reply(self, request: PendingRequest) -> Reply:
        # The reply to a run takes precedence over a later refusal, which would
        # state wrongly that the request has not run.
        reply = request.last_run or request.last_refusal
        if reply is None:
            return make_refusal(
                request.caller,
                codes.DEADLINE_EXCEEDED
                if request.is_over
                else codes.TARGET_ABSENT,
                0.0,
                self._rng,
                request.route.name,
            )
        if reply.outcome is Outcome.NOT_RUN:
            return make_refusal(
                request.caller,
                reply.code,
                reply.retry_after_s,
                self._rng,
                request.route.name,
                request.last_node,
            )
        if reply.outcome is Outcome.UNKNOWN:
            if request.is_over and reply.code == codes.DEADLINE_EXCEEDED:
                return make_timeout_reply(request)
            return make_unknown_reply(request, reply.code)
        size = len(request.http.body) + len(reply.body)
        self._sizes.record(request.route.name, size)
        return reply
