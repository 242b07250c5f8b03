"""Outside requests that must run at most once."""

import functools
import time
from collections.abc import Callable
from typing import Any

from kumquatwalk import codes
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.exception import LinkError
from kumquatwalk.gateway.headers import join_headers
from kumquatwalk.gateway.headers import split_headers
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.idempotency import begin_result
from kumquatwalk.idempotency.claim import make_claim_key
from kumquatwalk.idempotency.claim_keeper import Claimed
from kumquatwalk.idempotency.claim_keeper import ClaimKeeper
from kumquatwalk.idempotency.claim_keeper import ClaimUnavailable
from kumquatwalk.idempotency.request_table import RequestTable
from kumquatwalk.idempotency.ticket_issuer import ExpiredTicket
from kumquatwalk.idempotency.ticket_issuer import ForeignTicket
from kumquatwalk.idempotency.ticket_issuer import OwnTicket
from kumquatwalk.idempotency.ticket_issuer import TicketIssuer
from kumquatwalk.link.forward import Forward
from kumquatwalk.link.identity import Identity
from kumquatwalk.link.peer import Peer
from kumquatwalk.link.pool import LinkPool
from kumquatwalk.link.reply import Reply
from kumquatwalk.membership.member import Member
from kumquatwalk.node.copies import answer_copy
from kumquatwalk.node.refusal import INTERNAL_ERROR
from kumquatwalk.node.refusal import fail_unknown
from kumquatwalk.node.refusal import refuse
from kumquatwalk.node.requests import OutsideRequests
from kumquatwalk.node.requests import digest_request

__all__ = ["OnceRequests"]

_KEY_HEADER = b"Idempotency-Key"
_TICKET_HEADER = b"Kumquat-Ticket"
_KEY_BYTES_MAX = 255
_US = 1_000_000


class OnceRequests:
    """Serves requests for entries that are not idempotent.

    A request comes with a ticket, which only the node that issued it may run,
    or with the caller's own key, which is claimed in the platform first. A
    repeat that reaches another node is passed on to the owner.

    Args:
        identity: This node.
        find_member: Returns the member of a name; None when not known.
        requests: Runs a request as the root of a chain.
        issuer: Issues and checks tickets.
        table: Requests that this node owns.
        keeper: Claims keys; None when no platform is set.
        links: Links to other nodes.
    """

    def __init__(
        self,
        identity: Identity,
        find_member: Callable[[str], Member | None],
        requests: OutsideRequests,
        issuer: TicketIssuer,
        table: RequestTable[Reply],
        keeper: ClaimKeeper | None,
        links: LinkPool,
    ):
        self._identity = identity
        self._find_member = find_member
        self._requests = requests
        self._issuer = issuer
        self._table = table
        self._keeper = keeper
        self._links = links

    def serve(
        self, request: HttpRequest, entry: Entry, deadline: float
    ) -> Reply:
        """Serve a request; blocks until there is a reply.

        Args:
            request: The request.
            entry: Entry that it names.
            deadline: Monotonic time by which the answer is due.
        """
        ticket = request.headers.get(_TICKET_HEADER)
        if ticket is not None:
            text = ticket.decode("latin-1")
            return self._serve_ticket(text, request, entry, deadline)
        key = request.headers.get(_KEY_HEADER)
        if not key:
            return refuse(codes.KEY_REQUIRED)
        if len(key) > _KEY_BYTES_MAX:
            return refuse("request_malformed")
        name = make_claim_key(entry.name, key.decode("latin-1"))
        return self._serve_key(name, request, entry, deadline)

    def serve_forward(self, forward: Forward) -> Reply:
        """Serve a repeat that another node passed on to this one."""
        now = time.monotonic()
        deadline = now + forward.remaining_us / _US
        headers = {
            name.encode("latin-1"): value.encode("latin-1")
            for name, value in split_headers(forward.headers)
        }
        request = HttpRequest(
            forward.method, forward.url, headers, forward.body
        )
        entry = self._requests.find_entry(request)
        if entry is None:
            return refuse(codes.ENTRY_UNKNOWN)
        fingerprint = digest_request(request)
        if forward.ticket:
            check = self._issuer.check(forward.ticket, now)
            if isinstance(check, ForeignTicket):
                return fail_unknown("ticket_expired")
            return self._take_ticket(check, request, entry, deadline)
        key = forward.key_digest.decode("latin-1")
        result = self._table.resume(key, fingerprint, now)
        run = functools.partial(self._run_claimed, key, result)
        return self._follow(result, key, run, request, entry, deadline)

    def _serve_ticket(
        self, text: str, request: HttpRequest, entry: Entry, deadline: float
    ) -> Reply:
        check = self._issuer.check(text, time.monotonic())
        if not isinstance(check, ForeignTicket):
            return self._take_ticket(check, request, entry, deadline)
        owner = self._find_member(check.ticket.node_id)
        if owner is None or owner.incarnation != check.ticket.incarnation:
            return fail_unknown("owner_unreachable")
        peer = Peer(owner.node_id, owner.host, owner.link_port)
        forward = _make_forward(request, deadline, ticket=text)
        return self._pass_on(peer, forward)

    def _take_ticket(
        self, check: Any, request: HttpRequest, entry: Entry, deadline: float
    ) -> Reply:
        if isinstance(check, ExpiredTicket):
            return fail_unknown("ticket_expired")
        if not isinstance(check, OwnTicket):
            return refuse("forged_ticket")
        key = check.ticket.nonce.hex()
        result = self._table.begin(
            key,
            digest_request(request),
            check.ticket.issued_at,
            time.monotonic(),
        )
        run = self._requests.serve
        return self._follow(result, key, run, request, entry, deadline)

    def _serve_key(
        self, key: str, request: HttpRequest, entry: Entry, deadline: float
    ) -> Reply:
        fingerprint = digest_request(request)
        now = time.monotonic()
        result = self._table.begin(key, fingerprint, None, now)
        run = functools.partial(self._run_claimed, key, result)
        return self._follow(result, key, run, request, entry, deadline)

    def _run_claimed(
        self,
        key: str,
        begun: begin_result.RunNow,
        request: HttpRequest,
        entry: Entry,
        deadline: float,
    ) -> Reply:
        if self._keeper is None:
            return refuse(codes.CLAIM_UNAVAILABLE)
        claim = self._keeper.claim(
            key,
            digest_request(request),
            begun.claim_id,
            entry.importance,
            deadline,
        )
        if isinstance(claim, Claimed):
            return self._requests.serve(request, entry, deadline)
        if isinstance(claim, ClaimUnavailable):
            return refuse(claim.code)
        owner = claim.claim
        if owner.node_id == self._identity.node_id:
            return fail_unknown(codes.OUTCOME_UNKNOWN)
        peer = Peer(owner.node_id, owner.host, owner.link_port)
        forward = _make_forward(request, deadline, key_digest=key.encode())
        reply = self._pass_on(peer, forward)
        self._table.release(key, reply, begun.claim_id)
        return reply

    def _follow(
        self,
        result: begin_result.BeginResult,
        key: str,
        run: Callable[[HttpRequest, Entry, float], Reply],
        request: HttpRequest,
        entry: Entry,
        deadline: float,
    ) -> Reply:
        if not isinstance(result, begin_result.RunNow):
            return answer_copy(result, deadline, time.monotonic())
        reply = INTERNAL_ERROR
        try:
            reply = run(request, entry, deadline)
        finally:
            self._table.finish(
                key, reply, reply.outcome, time.monotonic(), result.claim_id
            )
        return reply

    def _pass_on(self, peer: Peer, forward: Forward) -> Reply:
        try:
            reply = self._links.request(peer, forward)
        except LinkError:
            return fail_unknown("owner_unreachable")
        if not isinstance(reply, Reply):
            return fail_unknown("owner_unreachable")
        return reply


def _make_forward(
    request: HttpRequest,
    deadline: float,
    key_digest: bytes = b"",
    ticket: str = "",
) -> Forward:
    remaining_s = max(deadline - time.monotonic(), 0.0)
    return Forward(
        method=request.method,
        url=request.url,
        headers=join_headers(request.headers.items()),
        body=request.body,
        remaining_us=int(remaining_s * _US),
        key_digest=key_digest,
        ticket=ticket,
    )
