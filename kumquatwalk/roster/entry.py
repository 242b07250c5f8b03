"""Entry of a node in the roster, and its encoding in the store."""

import dataclasses
import json

from kumquatwalk.address import Address
from kumquatwalk.exception import MembershipError

__all__ = ["RosterEntry", "decode_entry", "encode_entry"]


@dataclasses.dataclass(frozen=True, slots=True)
class RosterEntry:
    """Entry that a node writes about itself.

    Attributes:
        node_id: Name of the node.
        incarnation: Identifies the start of its process; a higher one is
            newer.
        availability_zone: Zone of its VM.
        service: Service of its target; empty while unknown.
        link: Address at which it accepts connections of other nodes.
    """

    node_id: str
    incarnation: int
    availability_zone: str
    service: str
    link: Address


def encode_entry(entry: RosterEntry) -> bytes:
    """Encode an entry as JSON for the store.

    Args:
        entry: Entry to encode.
    """
    document = {
        "node": entry.node_id,
        "incarnation": entry.incarnation,
        "zone": entry.availability_zone,
        "service": entry.service,
        "host": entry.link.host,
        "port": entry.link.port,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_entry(value: bytes) -> RosterEntry:
    """Decode an entry from the store.

    Args:
        value: Stored JSON text.

    Raises:
        MembershipError: The value is not a valid entry.
    """
    try:
        document = json.loads(value)
        texts = [document[k] for k in ("node", "zone", "service", "host")]
        numbers = [document["incarnation"], document["port"]]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MembershipError("entry_malformed", str(error)[:200]) from error
    node_id, zone, service, host = texts
    if not all(isinstance(t, str) for t in texts) or not (node_id and host):
        raise MembershipError(
            "entry_malformed", "a text field is not a string, or it is empty"
        )
    if not all(_is_non_negative_int(n) for n in numbers):
        raise MembershipError(
            "entry_malformed", "a number field is not a non-negative integer"
        )
    return RosterEntry(
        node_id, numbers[0], zone, service, Address(host, numbers[1])
    )


def _is_non_negative_int(value: object) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and value >= 0
