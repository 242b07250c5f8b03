"""Ticket: the right to run one request once, at the node that issued it."""

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
VERSION = 1
_FIXED = struct.Struct(">BQHd16s16sBB")


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Ticket of one request.

    The host and port are hints: pass a request on only to a member that the
    membership knows by this node id.

    Attributes:
        node_id: Node that issued it.
        incarnation: Incarnation of that node.
        host: IP number of that node's VM.
        link_port: Port of that node for links.
        issued_at: Time of issue by that node's own monotonic clock.
        nonce: Random bytes that tell it from all others.
        mac: Keyed digest that only the issuer can compute.
    """

    node_id: str
    incarnation: int
    host: str
    link_port: int
    issued_at: float
    nonce: bytes
    mac: bytes = bytes(MAC_BYTES)


def encode_ticket(ticket: Ticket) -> str:
    """Return the ticket as URL-safe text."""
    host = ticket.host.encode()
    node_id = ticket.node_id.encode()
    fixed = _FIXED.pack(
        VERSION,
        ticket.incarnation,
        ticket.link_port,
        ticket.issued_at,
        ticket.nonce,
        ticket.mac,
        len(host),
        len(node_id),
    )
    return base64.urlsafe_b64encode(fixed + host + node_id).decode()


def decode_ticket(text: str) -> Ticket:
    """Read a ticket; its ``mac`` is not checked here.

    Args:
        text: Text made by ``encode_ticket``.

    Returns:
        The ticket.

    Raises:
        RequestError: The text is no ticket (code ``ticket_malformed``).
    """
    if len(text) > MAX_TICKET_CHARS:
        raise RequestError("ticket_malformed", "the ticket is too long")
    try:
        data = base64.b64decode(text, altchars=b"-_", validate=True)
        fields = _FIXED.unpack_from(data)
        names = data[_FIXED.size :]
        host_end = fields[6]
        if fields[0] != VERSION or len(names) != fields[6] + fields[7]:
            raise ValueError("unknown version or wrong length")
        ticket = Ticket(
            node_id=names[host_end:].decode(),
            incarnation=fields[1],
            host=names[:host_end].decode(),
            link_port=fields[2],
            issued_at=fields[3],
            nonce=fields[4],
            mac=fields[5],
        )
        if encode_ticket(ticket) != text:
            raise ValueError("not in the canonical form")
        return ticket
    except (ValueError, struct.error, binascii.Error) as error:
        raise RequestError("ticket_malformed", str(error)) from error
