"""Binary form of member records, state claims and broadcasts.

The items of a message are packed one after another into one field: a struct
per record costs several times as much to build and read.
"""

import functools
import struct
import sys

from kumquatwalk.exception import MembershipError
from kumquatwalk.membership.broadcast import MAX_PAYLOAD_BYTES
from kumquatwalk.membership.broadcast import Broadcast
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.membership.record import MemberRecord

__all__ = [
    "Item",
    "MAX_AGE_S",
    "MAX_NAME_BYTES",
    "MIN_ITEM_BYTES",
    "decode_items",
    "encode_item",
]

Item = MemberRecord | StateClaim | Broadcast

MAX_AGE_S = 0xFFFF
MAX_NAME_BYTES = 100
MIN_ITEM_BYTES = 15

_RECORD_TAG = 1
_CLAIM_TAG = 2
_BROADCAST_TAG = 3

# incarnation, version, revision, state, target state, link port, gossip port,
# age, slots, connections
_RECORD = struct.Struct("<QIQBBHHHII")
_CLAIM = struct.Struct("<QIB")
_BROADCAST = struct.Struct("<QBH")

_MEMBER_STATES = tuple(MemberState)
_TARGET_STATES = tuple(TargetState)
_HOST_CHARACTERS = frozenset("0123456789abcdefABCDEF.:")


def _encode_text(text: str) -> bytes:
    """Return the text with a leading byte that gives its length."""
    data = text.encode()
    if len(data) > MAX_NAME_BYTES:
        raise MembershipError("name_too_long", f"{len(data)} bytes")
    return bytes((len(data),)) + data


@functools.singledispatch
def encode_item(item: Item) -> bytes:
    """Return the binary form of an item.

    Args:
        item: Member record, state claim or broadcast.

    Returns:
        The encoded item.

    Raises:
        MembershipError: If a name or payload is too long.
    """
    raise TypeError(f"not an item: {item!r}")


@encode_item.register
def _encode_record(item: MemberRecord) -> bytes:
    member = item.member
    target = member.target
    fixed = _RECORD.pack(
        member.incarnation,
        member.version,
        member.catalogue_revision,
        member.state,
        target.state,
        member.link_port,
        member.gossip_port,
        min(item.age_s, MAX_AGE_S),
        target.slots,
        target.connections,
    )
    texts = (member.node_id, member.zone, member.host, target.service)
    parts = (bytes((_RECORD_TAG,)), fixed, *map(_encode_text, texts))
    return b"".join(parts)


@encode_item.register
def _encode_claim(item: StateClaim) -> bytes:
    fixed = _CLAIM.pack(item.incarnation, item.version, item.state)
    return bytes((_CLAIM_TAG,)) + fixed + _encode_text(item.node_id)


@encode_item.register
def _encode_broadcast(item: Broadcast) -> bytes:
    size = len(item.payload)
    if size > MAX_PAYLOAD_BYTES:
        raise MembershipError("payload_too_long", f"{size} bytes")
    fixed = _BROADCAST.pack(item.broadcast_id, item.kind, size)
    return bytes((_BROADCAST_TAG,)) + fixed + item.payload


def _decode_text(data: bytes, offset: int) -> tuple[str, int]:
    size = data[offset]
    start = offset + 1
    end = start + size
    if size > MAX_NAME_BYTES or end > len(data):
        raise MembershipError("item_malformed", "text out of bounds")
    return sys.intern(data[start:end].decode()), end


def _decode_record(data: bytes, offset: int) -> tuple[MemberRecord, int]:
    fields = _RECORD.unpack_from(data, offset)
    node_id, end = _decode_text(data, offset + _RECORD.size)
    zone, end = _decode_text(data, end)
    host, end = _decode_text(data, end)
    service, end = _decode_text(data, end)
    if not node_id or not host or not _HOST_CHARACTERS.issuperset(host):
        raise MembershipError("item_malformed", "node id or host")
    if not fields[6]:
        raise MembershipError("item_malformed", "gossip port is zero")
    target = TargetInfo(
        service, fields[8], fields[9], _TARGET_STATES[fields[4]]
    )
    member = Member(
        node_id,
        fields[0],
        fields[1],
        zone,
        host,
        fields[5],
        fields[6],
        _MEMBER_STATES[fields[3]],
        target,
        fields[2],
    )
    return MemberRecord(member, fields[7]), end


def _decode_claim(data: bytes, offset: int) -> tuple[StateClaim, int]:
    incarnation, version, state = _CLAIM.unpack_from(data, offset)
    node_id, end = _decode_text(data, offset + _CLAIM.size)
    claim = StateClaim(node_id, incarnation, version, _MEMBER_STATES[state])
    return claim, end


def _decode_broadcast(data: bytes, offset: int) -> tuple[Broadcast, int]:
    broadcast_id, kind, size = _BROADCAST.unpack_from(data, offset)
    start = offset + _BROADCAST.size
    end = start + size
    if size > MAX_PAYLOAD_BYTES or end > len(data):
        raise MembershipError("item_malformed", "payload out of bounds")
    payload = data[start:end]
    return Broadcast(broadcast_id, BroadcastKind(kind), payload), end


_DECODERS = {
    _RECORD_TAG: _decode_record,
    _CLAIM_TAG: _decode_claim,
    _BROADCAST_TAG: _decode_broadcast,
}


def decode_items(data: bytes) -> list[Item]:
    """Return the items that are packed one after another in the data.

    Args:
        data: Encoded items.

    Returns:
        The items, in order.

    Raises:
        MembershipError: If any item is malformed; then none is returned.
    """
    items = []
    offset = 0
    try:
        while offset < len(data):
            decode = _DECODERS[data[offset]]
            item, offset = decode(data, offset + 1)
            items.append(item)
    except (KeyError, IndexError, ValueError, struct.error) as error:
        raise MembershipError("item_malformed", repr(error)) from error
    return items
