"""At-most-once execution of requests of outside callers."""

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable

from kumquatwalk import codes
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.clock import read_now
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.event_loop import limit_time
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.idempotency import begin_result
from kumquatwalk.idempotency.claim import make_claim_key
from kumquatwalk.idempotency.claim_store import Claimed
from kumquatwalk.idempotency.claim_store import ClaimStore
from kumquatwalk.idempotency.claim_store import ClaimUnavailable
from kumquatwalk.idempotency.claim_store import NodeIdentity
from kumquatwalk.idempotency.request_table import RequestTable
from kumquatwalk.idempotency.ticket_issuer import ExpiredTicket
from kumquatwalk.idempotency.ticket_issuer import ForeignTicket
from kumquatwalk.idempotency.ticket_issuer import OwnTicket
from kumquatwalk.idempotency.ticket_issuer import TicketCheck
from kumquatwalk.idempotency.ticket_issuer import TicketIssuer
from kumquatwalk.mesh.message import OwnerQuery
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.native import names
from kumquatwalk.native.repeats import answer_repeat
from kumquatwalk.native.requests import digest_request
from kumquatwalk.native.requests import find_route
from kumquatwalk.outcome import Outcome
from kumquatwalk.tasks import start_task

__all__ = ["AtMostOnceRequests"]

KEY_BYTES_MAX = 255
# The owner answers at the deadline of a request, so its reply arrives only a
# little later.
OWNER_REPLY_GRACE_S = 0.25
# Maximum wait for a link to the owner of a request, in seconds.
OWNER_CONNECT_TIMEOUT_S = 0.5

RunRequest = Callable[[HttpRequest, Route, float], Awaitable[Reply]]


class AtMostOnceRequests:
    """Serves requests for entries that are not idempotent.

    A request has either a ticket or an idempotency key of the caller. A ticket
    is accepted only by the node that issued it; a key is claimed in the store
    before the run. A repeat that reaches another node is forwarded to the node
    that owns the request.

    Args:
        identity: Identity of this node.
        configs: Holder of the fleet configuration.
        connect: Returns a usable link to a node by its name, within a time in
            seconds; None if the node is unknown or not reached.
        run_request: Runs a request as the root of a call chain.
        issuer: Issues and validates the tickets of this node.
        table: Requests that this node owns.
        claim_store: Claims idempotency keys in the store.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        configs: ConfigHolder,
        connect: Callable[[str, float], Awaitable[PeerLink | None]],
        run_request: RunRequest,
        issuer: TicketIssuer,
        table: RequestTable[Reply],
        claim_store: ClaimStore,
    ):
        self._identity = identity
        self._configs = configs
        self._connect = connect
        self._run_request = run_request
        self._issuer = issuer
        self._table = table
        self._claim_store = claim_store

    async def serve(
        self, request: HttpRequest, route: Route, deadline: float
    ) -> Reply:
        """Serve a request of an outside caller.

        Args:
            request: Request with a ticket or an idempotency key; without
                either it is refused.
            route: Route of the request.
            deadline: Deadline of the request, in seconds.
        """
        ticket = request.find_header(names.HEADER_TICKET)
        if ticket is not None:
            text = ticket.decode("latin-1")
            return await self._serve_ticket(text, request, route, deadline)
        key = request.find_header(names.HEADER_IDEMPOTENCY_KEY)
        if not key:
            return _make_refusal(codes.KEY_REQUIRED)
        if len(key) > KEY_BYTES_MAX:
            return _make_refusal(codes.REQUEST_MALFORMED)
        claim_key = make_claim_key(route.name, key.decode("latin-1"))
        return await self._serve_key(claim_key, request, route, deadline)

    async def serve_query(self, query: OwnerQuery) -> Reply:
        """Serve a request that another node forwarded to its owner.

        Args:
            query: The request with its ticket or the store key of its claim.
        """
        now = read_now()
        request = HttpRequest(
            query.method, query.url, query.headers, query.body, True, now
        )
        config = self._configs.config
        route = config and find_route(config, query.url)
        if route is None:
            return _make_refusal(codes.ENTRY_UNKNOWN)
        if query.ticket:
            check = self._issuer.check(query.ticket, now)
            if isinstance(check, ForeignTicket):
                return _make_unknown_reply(codes.TICKET_EXPIRED)
            return await self._serve_checked_ticket(
                check, request, route, query.deadline
            )
        result = self._table.resume(query.key, _digest(request), now)
        run = functools.partial(self._claim_and_run, query.key, result)
        return await self._run_or_answer_repeat(
            result, query.key, run, request, route, query.deadline
        )

    async def _serve_ticket(
        self, text: str, request: HttpRequest, route: Route, deadline: float
    ) -> Reply:
        check = self._issuer.check(text, read_now())
        if not isinstance(check, ForeignTicket):
            return await self._serve_checked_ticket(
                check, request, route, deadline
            )
        ticket = check.ticket
        owner = NodeIdentity(ticket.node_id, ticket.incarnation)
        return await self._ask_owner(
            owner, _make_query(request, deadline, ticket=text)
        )

    async def _serve_checked_ticket(
        self,
        check: TicketCheck,
        request: HttpRequest,
        route: Route,
        deadline: float,
    ) -> Reply:
        if isinstance(check, ExpiredTicket):
            return _make_unknown_reply(codes.TICKET_EXPIRED)
        if not isinstance(check, OwnTicket):
            return _make_refusal(codes.FORGED_TICKET)
        ticket = check.ticket
        key = ticket.nonce.hex()
        result = self._table.begin(
            key, _digest(request), ticket.issued_at, read_now()
        )
        return await self._run_or_answer_repeat(
            result, key, self._run_request, request, route, deadline
        )

    async def _serve_key(
        self, key: str, request: HttpRequest, route: Route, deadline: float
    ) -> Reply:
        result = self._table.begin(key, _digest(request), None, read_now())
        run = functools.partial(self._claim_and_run, key, result)
        return await self._run_or_answer_repeat(
            result, key, run, request, route, deadline
        )

    async def _claim_and_run(
        self,
        key: str,
        run_now: begin_result.RunNow,
        request: HttpRequest,
        route: Route,
        deadline: float,
    ) -> Reply:
        claim_result = await self._claim_store.claim(
            key,
            _digest(request),
            run_now.claim_id,
            Importance(min(route.rank, Importance.SHEDDABLE)),
            deadline,
        )
        if isinstance(claim_result, Claimed):
            return await self._run_request(request, route, deadline)
        if isinstance(claim_result, ClaimUnavailable):
            return _make_refusal(claim_result.code)
        claim = claim_result.claim
        if claim.node_id == self._identity.node_id:
            return _make_unknown_reply(codes.OUTCOME_UNKNOWN)
        reply = await self._ask_owner(
            NodeIdentity(claim.node_id, claim.incarnation),
            _make_query(request, deadline, key=key),
        )
        self._table.release(key, reply, run_now.claim_id)
        return reply

    async def _run_or_answer_repeat(
        self,
        result: begin_result.BeginResult,
        key: str,
        run: RunRequest,
        request: HttpRequest,
        route: Route,
        deadline: float,
    ) -> Reply:
        if not isinstance(result, begin_result.RunNow):
            return await answer_repeat(result, deadline, read_now())
        task = start_task(
            self._run_and_record(result, key, run, request, route, deadline),
            "request_once",
        )
        # The run continues after its caller disconnects: repeats may wait for
        # it, and its outcome must be recorded.
        return await asyncio.shield(task)

    async def _run_and_record(
        self,
        run_now: begin_result.RunNow,
        key: str,
        run: RunRequest,
        request: HttpRequest,
        route: Route,
        deadline: float,
    ) -> Reply:
        reply = _make_unknown_reply(codes.OUTCOME_UNKNOWN)
        try:
            reply = await run(request, route, deadline)
        finally:
            self._table.finish(
                key, reply, reply.outcome, read_now(), run_now.claim_id
            )
        return reply

    async def _ask_owner(self, owner: NodeIdentity, query: OwnerQuery) -> Reply:
        link = await self._connect(owner.node_id, OWNER_CONNECT_TIMEOUT_S)
        if link is None or link.incarnation != owner.incarnation:
            return _make_unknown_reply(codes.OWNER_UNREACHABLE)
        wait_s = query.deadline - read_now() + OWNER_REPLY_GRACE_S
        try:
            async with limit_time(wait_s):
                reply = await link.query_owner(query)
        except TimeoutError:
            return _make_unknown_reply(codes.OWNER_UNREACHABLE)
        if reply.code == codes.LINK_FAILED:
            # The owner may have run the request before the link failed.
            return _make_unknown_reply(codes.OWNER_UNREACHABLE)
        return reply


def _digest(request: HttpRequest) -> bytes:
    return digest_request(request.method, request.url, request.body)


def _make_query(
    request: HttpRequest, deadline: float, ticket: str = "", key: str = ""
) -> OwnerQuery:
    return OwnerQuery(
        ticket,
        key,
        deadline,
        request.method,
        request.url,
        request.headers,
        request.body,
    )


def _make_refusal(code: str) -> Reply:
    return Reply(Outcome.NOT_RUN, code)


def _make_unknown_reply(code: str) -> Reply:
    return Reply(Outcome.UNKNOWN, code)
