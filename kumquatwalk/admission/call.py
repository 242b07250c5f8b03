"""A call offered to a gate."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry

__all__ = ["AdmissionCall", "order_key"]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionCall:
    """A call that asks to run at the target.

    Attributes:
        call_id: Identifier, unique at this gate while the call is known to it.
        entry: Catalogue entry called.
        priority: Priority of the request, 0 to 1023; lower is more important.
        depth: Calls between the outside request and this call; 0 for the
            request itself.
        deadline: Time by which the caller needs the reply.
        is_suspect: Whether the same body crashed a target before.
    """

    call_id: int | str
    entry: Entry
    priority: int
    depth: int
    deadline: float
    is_suspect: bool = False


def order_key(call: AdmissionCall) -> int:
    """Return the place of a call in the order of importance; lower first.

    The order is by class of importance, then calls of requests in progress
    before new requests, then by the hash part of the priority.

    Args:
        call: The call.

    Returns:
        A number to compare calls by.

    Example:
        A request in progress precedes a new one of its class, not a new one of
        a more important class.
    """
    importance = call.priority >> 8
    is_new = 1 if call.depth == 0 else 0
    return (importance << 9) | (is_new << 8) | (call.priority & 255)
