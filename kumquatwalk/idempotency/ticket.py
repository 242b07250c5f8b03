"""Ticket that permits one run of one request at the node that issued it."""

import base64
import binascii
import dataclasses
import struct

from kumquatwalk.exception import RequestError

__all__ = ["TICKET_TTL_S", "Ticket", "decode_ticket", "encode_ticket"]

TICKET_TTL_S = 300.0
MAX_TICKET_CHARS = 512
NONCE_BYTES = 16
MAC_BYTES = 16
VERSION = 2
_HEADER = struct.Struct(">BQd16s16sB")


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Ticket of one request.

    A request is forwarded to the node that its ticket names only if the roster
    lists a node of that name.

    Attributes:
        node_id: Node that issued the ticket.
        incarnation: Incarnation of that node.
        issued_at: Time of issue in seconds of that node's monotonic clock.
        nonce: Random bytes that identify the ticket.
        mac: Message authentication code, which only the issuer can compute.
    """

    node_id: str
    incarnation: int
    issued_at: float
    nonce: bytes
    mac: bytes = bytes(MAC_BYTES)


def encode_ticket(ticket: Ticket) -> str:
    """Return the ticket as URL-safe text."""
    node_id = ticket.node_id.encode()
    header = _HEADER.pack(
        VERSION,
        ticket.incarnation,
        ticket.issued_at,
        ticket.nonce,
        ticket.mac,
        len(node_id),
    )
    return base64.urlsafe_b64encode(header + node_id).decode()


def decode_ticket(text: str) -> Ticket:
    """Decode a ticket without verifying its ``mac``.

    Args:
        text: Text returned by ``encode_ticket``.

    Returns:
        The ticket.

    Raises:
        RequestError: The text is not a ticket (code ``ticket_malformed``).
    """
    if len(text) > MAX_TICKET_CHARS:
        raise RequestError("ticket_malformed", "ticket is too long")
    try:
        data = base64.b64decode(text, altchars=b"-_", validate=True)
        fields = _HEADER.unpack_from(data)
        encoded_node_id = data[_HEADER.size :]
        if fields[0] != VERSION or len(encoded_node_id) != fields[5]:
            raise ValueError("unknown version or wrong length")
        ticket = Ticket(
            node_id=encoded_node_id.decode(),
            incarnation=fields[1],
            issued_at=fields[2],
            nonce=fields[3],
            mac=fields[4],
        )
        if encode_ticket(ticket) != text:
            raise ValueError("not in the canonical form")
        return ticket
    except (ValueError, struct.error, binascii.Error) as error:
        raise RequestError("ticket_malformed", str(error)) from error
