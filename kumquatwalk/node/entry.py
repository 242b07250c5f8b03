"""Entry side: makes calls, chooses targets, bounds retries."""

import secrets
import time

from kumquatwalk import codes
from kumquatwalk.exception import LinkError
from kumquatwalk.link.call import Call
from kumquatwalk.link.peer import Peer
from kumquatwalk.link.pool import LinkPool
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.session import read_clock_us
from kumquatwalk.node.gate import GateSide
from kumquatwalk.node.intent import CallIntent
from kumquatwalk.node.meters import NodeMeters
from kumquatwalk.node.refusal import fail_unknown
from kumquatwalk.node.refusal import refuse
from kumquatwalk.outcome import Outcome
from kumquatwalk.retry.budget import RetryBudget
from kumquatwalk.retry.decision import AttemptResult
from kumquatwalk.retry.decision import RetryLimits
from kumquatwalk.retry.decision import decide_retry
from kumquatwalk.routing.levels import EntryLevels
from kumquatwalk.routing.table import RouteTable
from kumquatwalk.routing.view import TargetView

__all__ = ["EntrySide"]

_ATTEMPT_ID_BYTES = 16
_HOP_MARGIN_S = 0.002
_REPLY_GRACE_S = 0.25
_US = 1_000_000


class EntrySide:
    """Makes calls at the nodes of chosen targets.

    Args:
        node_id: Name of this node, whose gate is called without a link.
        gate: This node's gate.
        routes: What this node has seen of all targets.
        levels: Admission levels of entries, learnt from replies.
        links: Links to other nodes.
        budget: Bound on this node's retries.
        meters: Metrics of the node.
    """

    def __init__(
        self,
        node_id: str,
        gate: GateSide,
        routes: RouteTable,
        levels: EntryLevels,
        links: LinkPool,
        budget: RetryBudget,
        meters: NodeMeters,
    ):
        self._node_id = node_id
        self._gate = gate
        self._routes = routes
        self._levels = levels
        self._links = links
        self._budget = budget
        self._meters = meters

    def make_call(self, intent: CallIntent) -> Reply:
        """Make a call, with further attempts where they are allowed.

        Args:
            intent: The call.

        Returns:
            The reply; the call's tokens are back in their pool.
        """
        started = time.monotonic()
        try:
            return self._make_attempts(intent)
        finally:
            intent.tokens.close()
            self._meters.note_call(time.monotonic() - started)

    def _make_attempts(self, intent: CallIntent) -> Reply:
        now = time.monotonic()
        if intent.depth == 0 and self._is_overloaded(intent, now):
            return refuse(codes.OVERLOADED)
        service = intent.entry.service
        excluded: frozenset[str] = frozenset()
        choice = self._routes.choose(
            service, intent.priority, now, depth=intent.depth
        )
        if choice.target is None:
            return refuse(choice.code)
        attempts = 0
        may_have_run = False
        crash_marks = b""
        while True:
            view = choice.target
            reply = self._attempt(intent, view, crash_marks)
            crash_marks += reply.crash_mark
            attempts += 1
            now = time.monotonic()
            if reply.outcome in (Outcome.DONE, Outcome.FAILED):
                self._budget.note_success(now)
                return reply
            may_have_run = may_have_run or reply.outcome is Outcome.UNKNOWN
            excluded |= {view.node_id}
            choice = self._routes.choose(
                service, intent.priority, now, excluded, intent.depth
            )
            has_other_target = choice.target is not None
            if not self._retries(
                intent, reply, attempts, has_other_target, now
            ):
                return fail_unknown(reply.code) if may_have_run else reply

    def _is_overloaded(self, intent: CallIntent, now: float) -> bool:
        return not self._levels.admits(intent.entry.name, intent.priority, now)

    def _retries(
        self,
        intent: CallIntent,
        reply: Reply,
        attempts: int,
        has_other_target: bool,
        now: float,
    ) -> bool:
        decision = decide_retry(
            AttemptResult(reply.outcome, reply.code),
            RetryLimits(
                is_idempotent=intent.entry.idempotent,
                tokens=intent.tokens.available,
                remaining_s=intent.deadline - now,
                attempts=attempts,
                is_budget_open=self._budget.allows(now),
                has_other_target=has_other_target,
            ),
        )
        if not decision.is_retry or not intent.tokens.spend():
            return False
        self._budget.note_retry(now)
        self._meters.note_retry()
        return True

    def _attempt(
        self, intent: CallIntent, view: TargetView, crash_marks: bytes
    ) -> Reply:
        now = time.monotonic()
        deadline = intent.deadline - _HOP_MARGIN_S
        if deadline <= now:
            return refuse(codes.DEADLINE_EXCEEDED)
        tokens = intent.tokens.send()
        call = _make_call(intent, tokens, deadline - now, crash_marks)
        view.note_sent(now)
        try:
            reply = self._send(view, call, deadline)
        except LinkError as error:
            return self._note_failure(intent, view, error)
        intent.tokens.note_reply(reply.tokens)
        ended = time.monotonic()
        self._meters.note_attempt(reply, ended - now)
        view.note_reply(reply.gate_level, 0, ended)
        self._levels.note_reply(intent.entry.name, reply.entry_level, ended)
        return reply

    def _send(self, view: TargetView, call: Call, deadline: float) -> Reply:
        if view.node_id == self._node_id:
            return self._gate.handle(call)
        member = view.member
        peer = Peer(member.node_id, member.host, member.link_port)
        return self._links.call(peer, call, deadline + _REPLY_GRACE_S)

    def _note_failure(
        self, intent: CallIntent, view: TargetView, error: LinkError
    ) -> Reply:
        view.note_failure(time.monotonic())
        if not error.sent:
            intent.tokens.note_unsent()
            return refuse(codes.LINK_FAILED)
        intent.tokens.note_lost()
        return fail_unknown(error.code)


def _make_call(
    intent: CallIntent, tokens: int, remaining_s: float, crash_marks: bytes
) -> Call:
    return Call(
        attempt_id=secrets.token_bytes(_ATTEMPT_ID_BYTES),
        request_id=intent.request_id,
        entry=intent.entry.name,
        method=intent.method,
        url=intent.url,
        headers=intent.headers,
        body=intent.body,
        priority=intent.priority,
        depth=intent.depth,
        tokens=tokens,
        idempotent=intent.entry.idempotent,
        protected=intent.protected,
        remaining_us=int(remaining_s * _US),
        sent_at_us=read_clock_us(),
        crash_marks=crash_marks,
    )
