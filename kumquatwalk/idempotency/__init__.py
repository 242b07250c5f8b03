"""At-most-once execution of calls that are not idempotent.

An entry node calls ``RequestTable.begin``. If the result is ``RunNow`` and the
request has a caller's idempotency key, the node then claims the key, with the
same ``claim_id`` each time:

* ``Claimed``: it runs the request and calls ``RequestTable.finish``.
* ``ClaimUnavailable``: it calls ``finish`` with the outcome not run.
* ``OwnedBy``: it calls ``release`` and forwards the request to the owner, which
  calls ``RequestTable.resume``.

A request with a ticket needs no claim.
"""

from typing import TYPE_CHECKING

from kumquatwalk.lazy_names import make_lazy_getattr

if TYPE_CHECKING:
    from kumquatwalk.idempotency.begin_result import Answered
    from kumquatwalk.idempotency.begin_result import AnswerEvicted
    from kumquatwalk.idempotency.begin_result import BeginResult
    from kumquatwalk.idempotency.begin_result import InProgress
    from kumquatwalk.idempotency.begin_result import KeyReused
    from kumquatwalk.idempotency.begin_result import RecordExpired
    from kumquatwalk.idempotency.begin_result import RunNow
    from kumquatwalk.idempotency.begin_result import TableFull
    from kumquatwalk.idempotency.claim import Claim
    from kumquatwalk.idempotency.claim import make_claim_key
    from kumquatwalk.idempotency.claim_budget import ClaimBudget
    from kumquatwalk.idempotency.claim_store import Claimed
    from kumquatwalk.idempotency.claim_store import ClaimStore
    from kumquatwalk.idempotency.claim_store import ClaimResult
    from kumquatwalk.idempotency.claim_store import ClaimUnavailable
    from kumquatwalk.idempotency.claim_store import NodeIdentity
    from kumquatwalk.idempotency.claim_store import OwnedBy
    from kumquatwalk.idempotency.claim_sweeper import ClaimSweeper
    from kumquatwalk.idempotency.pending_run import PendingRun
    from kumquatwalk.idempotency.request_table import RequestTable
    from kumquatwalk.idempotency.ticket import Ticket
    from kumquatwalk.idempotency.ticket_issuer import ExpiredTicket
    from kumquatwalk.idempotency.ticket_issuer import ForeignTicket
    from kumquatwalk.idempotency.ticket_issuer import ForgedTicket
    from kumquatwalk.idempotency.ticket_issuer import OwnTicket
    from kumquatwalk.idempotency.ticket_issuer import TicketCheck
    from kumquatwalk.idempotency.ticket_issuer import TicketIssuer

__all__ = [
    "AnswerEvicted",
    "Answered",
    "BeginResult",
    "Claim",
    "ClaimBudget",
    "ClaimStore",
    "ClaimResult",
    "ClaimSweeper",
    "ClaimUnavailable",
    "Claimed",
    "ExpiredTicket",
    "ForeignTicket",
    "ForgedTicket",
    "InProgress",
    "KeyReused",
    "NodeIdentity",
    "OwnTicket",
    "OwnedBy",
    "PendingRun",
    "RecordExpired",
    "RequestTable",
    "RunNow",
    "TableFull",
    "Ticket",
    "TicketCheck",
    "TicketIssuer",
]

__getattr__ = make_lazy_getattr(
    __name__,
    {
        "Answered": "kumquatwalk.idempotency.begin_result",
        "AnswerEvicted": "kumquatwalk.idempotency.begin_result",
        "BeginResult": "kumquatwalk.idempotency.begin_result",
        "InProgress": "kumquatwalk.idempotency.begin_result",
        "KeyReused": "kumquatwalk.idempotency.begin_result",
        "RecordExpired": "kumquatwalk.idempotency.begin_result",
        "RunNow": "kumquatwalk.idempotency.begin_result",
        "TableFull": "kumquatwalk.idempotency.begin_result",
        "Claim": "kumquatwalk.idempotency.claim",
        "make_claim_key": "kumquatwalk.idempotency.claim",
        "ClaimBudget": "kumquatwalk.idempotency.claim_budget",
        "Claimed": "kumquatwalk.idempotency.claim_store",
        "ClaimStore": "kumquatwalk.idempotency.claim_store",
        "ClaimResult": "kumquatwalk.idempotency.claim_store",
        "ClaimUnavailable": "kumquatwalk.idempotency.claim_store",
        "NodeIdentity": "kumquatwalk.idempotency.claim_store",
        "OwnedBy": "kumquatwalk.idempotency.claim_store",
        "ClaimSweeper": "kumquatwalk.idempotency.claim_sweeper",
        "PendingRun": "kumquatwalk.idempotency.pending_run",
        "RequestTable": "kumquatwalk.idempotency.request_table",
        "Ticket": "kumquatwalk.idempotency.ticket",
        "ExpiredTicket": "kumquatwalk.idempotency.ticket_issuer",
        "ForeignTicket": "kumquatwalk.idempotency.ticket_issuer",
        "ForgedTicket": "kumquatwalk.idempotency.ticket_issuer",
        "OwnTicket": "kumquatwalk.idempotency.ticket_issuer",
        "TicketCheck": "kumquatwalk.idempotency.ticket_issuer",
        "TicketIssuer": "kumquatwalk.idempotency.ticket_issuer",
    },
)
