"""Issues and validates the tickets of one node."""

import dataclasses
import hmac
import secrets

from kumquatwalk.exception import RequestError
from kumquatwalk.idempotency.ticket import MAC_BYTES
from kumquatwalk.idempotency.ticket import NONCE_BYTES
from kumquatwalk.idempotency.ticket import TICKET_TTL_S
from kumquatwalk.idempotency.ticket import Ticket
from kumquatwalk.idempotency.ticket import decode_ticket
from kumquatwalk.idempotency.ticket import encode_ticket

__all__ = [
    "ExpiredTicket",
    "ForeignTicket",
    "ForgedTicket",
    "OwnTicket",
    "TicketCheck",
    "TicketIssuer",
]

SECRET_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class OwnTicket:
    """The ticket was issued by this incarnation and is valid."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignTicket:
    """The ticket names another node, which alone can validate it."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class ExpiredTicket:
    """The ticket has expired or is from another incarnation of this node.

    Whether its request ran is unknown, so the request must not run.
    """

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class ForgedTicket:
    """The ticket is malformed or its MAC is wrong."""


TicketCheck = OwnTicket | ForeignTicket | ExpiredTicket | ForgedTicket


class TicketIssuer:
    """Issues tickets that only this process accepts.

    The key of the MAC is generated at start and kept in memory only. A ticket
    therefore never outlives the table that records whether it was used.

    Args:
        node_id: Name of this node.
        incarnation: Incarnation of this node.

    Example:
        >>> issuer = TicketIssuer("n1", 1)
        >>> text = issuer.issue(now=5.0)
        >>> issuer.check(text, now=6.0).ticket.node_id
        'n1'
    """

    def __init__(self, node_id: str, incarnation: int):
        self._node_id = node_id
        self._incarnation = incarnation
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self, now: float) -> str:
        """Return a new ticket in its text form.

        Args:
            now: Current time in seconds, from which the ticket's TTL counts.
        """
        ticket = Ticket(
            node_id=self._node_id,
            incarnation=self._incarnation,
            issued_at=now,
            nonce=secrets.token_bytes(NONCE_BYTES),
        )
        return encode_ticket(
            dataclasses.replace(ticket, mac=self._make_mac(ticket))
        )

    def check(self, text: str, now: float) -> TicketCheck:
        """Validate the ticket of a request.

        Args:
            text: Ticket in its text form.
            now: Current time in seconds.

        Returns:
            Result of the check; only an ``OwnTicket`` lets its request run.
        """
        try:
            ticket = decode_ticket(text)
        except RequestError:
            return ForgedTicket()
        if ticket.node_id != self._node_id:
            return ForeignTicket(ticket)
        if ticket.incarnation != self._incarnation:
            return ExpiredTicket(ticket)
        if not hmac.compare_digest(ticket.mac, self._make_mac(ticket)):
            return ForgedTicket()
        if now - ticket.issued_at > TICKET_TTL_S:
            return ExpiredTicket(ticket)
        return OwnTicket(ticket)

    def _make_mac(self, ticket: Ticket) -> bytes:
        unsigned = dataclasses.replace(ticket, mac=bytes(MAC_BYTES))
        text = encode_ticket(unsigned).encode()
        return hmac.digest(self._secret, text, "sha256")[:MAC_BYTES]
