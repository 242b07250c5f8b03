"""Sends one attempt of a request to a target, here or at another node."""

import asyncio
import dataclasses

from kumquatwalk import codes
from kumquatwalk.admission.stop import StopAdmission
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.late_replies import take_first_result
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.pending_request import PendingRequest
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome
from kumquatwalk.random_source import RandomSource
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import TargetView

__all__ = ["NODES_PER_REQUEST_MAX", "AttemptSender"]

# Maximum number of nodes asked to admit one request. A node's refusal costs a
# round trip but does not count as an arrival at a target.
NODES_PER_REQUEST_MAX = 3
# Maximum time that a caller's request is queued, as a share of its objective.
# It is then refused early enough for the caller to retry in time.
QUEUE_TIME_SHARE = 0.35
# The same for a caller's retry, which should not be refused a second time
# while there is time left.
QUEUE_TIME_SHARE_RETRY = 0.7
# The same for a call on an internal route: the run that makes it makes several
# in sequence.
QUEUE_TIME_SHARE_INTERNAL = 0.3
_KEY_BYTES = 8
_random = RandomSource()


class AttemptSender:
    """Makes the call of an attempt and waits for its reply.

    Args:
        settings: Settings of the daemon.
        target_side: Target side of this node, for attempts on this VM.
        own_view: State of this node's own target.
        peers: Links to other nodes.
        graph: Graph of the calls that routes make to each other.
        stop_admission: Bounds the time that targets are handed in a stop.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        target_side: TargetSide,
        own_view: TargetView,
        peers: Peers,
        graph: CallGraph,
        stop_admission: StopAdmission,
    ):
        self._settings = settings
        self._target_side = target_side
        self._own_view = own_view
        self._peers = peers
        self._graph = graph
        self._stop_admission = stop_admission

    async def send(self, view: TargetView, request: PendingRequest) -> Reply:
        """Make one attempt, while replies to attempts before may still come.

        Adds the reply that may come late to those of the request.

        Args:
            view: Target of the attempt.
            request: Request to run there.

        Returns:
            The reply, which may be a late one to an attempt before.
        """
        call = self._make_call(request, view)
        request.http.progress.mark_passed_on(request.caller.attempt_id)
        request.last_node = view.node_id
        request.is_in_flight = True
        if request.late_replies:
            reply = await take_first_result(
                self._make_attempt(view, request, call), request.late_replies
            )
        else:
            reply = await self._make_attempt(view, request, call)
        request.is_in_flight = False
        is_over = reply.code == codes.DEADLINE_EXCEEDED
        if is_over and call.deadline < request.deadline:
            # Only the time that the stop leaves was over.
            return dataclasses.replace(reply, code=codes.NODE_STOPPING)
        return reply

    async def _make_attempt(
        self, view: TargetView, request: PendingRequest, call: Call
    ) -> Reply:
        reply = await self._exchange(view, call)
        if reply.outcome is Outcome.UNKNOWN:
            # At once: a late reply that has come is forgotten a turn later.
            late = self._find_late_reply(view, call)
            if late is not None:
                request.late_replies.append(late)
        return reply

    async def _exchange(self, view: TargetView, call: Call) -> Reply:
        if view is self._own_view:
            return await self._target_side.serve(call)
        link = self._peers.find(view.node_id)
        if link is None:
            return Reply(Outcome.NOT_RUN, codes.LINK_FAILED)
        return await link.call(call)

    def _find_late_reply(
        self, view: TargetView, call: Call
    ) -> asyncio.Future[Reply] | None:
        if view is self._own_view:
            return self._target_side.find_late_reply(call)
        link = self._peers.find(view.node_id)
        return None if link is None else link.find_late_reply(call)

    def _make_call(self, request: PendingRequest, view: TargetView) -> Call:
        route = request.route
        chain = request.chain
        return Call(
            key=0 if route.is_idempotent else _draw_key(),
            attempt_id=request.caller.attempt_id,
            route=route.name,
            service=request.service,
            caller_service=self._settings.service,
            is_idempotent=route.is_idempotent,
            is_returning=request.is_returning,
            rank=request.rank,
            team=request.team_name,
            deadline=self._compute_deadline(request, view),
            start_by=self._compute_start_by(request),
            method=request.http.method,
            url=request.http.url,
            headers=request.caller.headers,
            body=request.http.body,
            depth=0 if chain is None else chain.depth,
            tokens=0 if chain is None else chain.tokens.send(),
            is_protected=chain is not None and chain.is_protected,
            crash_marks=request.crash_marks,
            is_hedgeable=self._has_spare_attempt(request, view),
        )

    def _compute_deadline(
        self, request: PendingRequest, view: TargetView
    ) -> float:
        """Return the deadline of an attempt that is now made.

        The target side of this node bounds that of its own target, once it has
        judged whether the call can end.
        """
        if view is self._own_view:
            return request.deadline
        return self._stop_admission.bound_deadline(request.deadline, read_now())

    def _has_spare_attempt(
        self, request: PendingRequest, view: TargetView
    ) -> bool:
        """Return whether an attempt may follow the one that is now made.

        It needs a target that has not been tried, whether it takes calls now or
        later. The retry budget is not asked: it may change meanwhile.
        """
        route = request.route
        tokens = None if request.chain is None else request.chain.tokens
        return (
            route.is_idempotent
            and request.attempts_at_targets + 1 < route.attempts_max
            and len(request.tried_nodes) + 1 < NODES_PER_REQUEST_MAX
            and (tokens is None or tokens.available > 0)
            and self._peers.has_target_beside(
                request.service, {view.node_id, *request.tried_nodes}
            )
        )

    def _compute_start_by(self, request: PendingRequest) -> float:
        """Return the time by which the run must have started.

        A call on an internal route may be queued for a share of its latency
        objective, whatever its rank. Of the others, calls of rank 0 and calls
        on routes that are not classified may be queued until their deadline,
        and calls on routes that callers use for a share of the objective, which
        is larger for a caller's retry.
        """
        route = request.route
        objective_s = min(route.objective_s, route.timeout_s)
        if self._graph.is_internal(route.name):
            share = QUEUE_TIME_SHARE_INTERNAL
        elif request.own_rank == 0 or not self._graph.is_external(route.name):
            return request.deadline
        else:
            share = (
                QUEUE_TIME_SHARE_RETRY
                if request.is_returning
                else QUEUE_TIME_SHARE
            )
        return min(
            request.deadline, request.http.received_at + share * objective_s
        )


def _draw_key() -> int:
    """Return a random key of 63 bits for a call that is not idempotent."""
    return int.from_bytes(_random.take_bytes(_KEY_BYTES)) >> 1
