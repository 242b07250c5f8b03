"""Binary form of membership messages, by Cap'n Proto."""

import functools
import pathlib
import struct

from kumquatwalk.exception import MembershipError
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.message import Message

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "decode",
    "encode",
    "load_schema",
    "measure_overhead",
]

MAX_DATAGRAM_BYTES = 1200

MAX_SENDER_BYTES = 100

_SCHEMA = pathlib.Path(__file__).with_name("message.capnp")
_MAGIC = 0x4B51574D
_PORT = struct.Struct("<H")
_WORD_BYTES = 8
# Segment table, root pointer, fixed fields and pointers, in whole words.
_FIXED_BYTES = 96
_PADDED_FIELDS = 4


@functools.cache
def load_schema():
    """Return the struct type of a message, importing the library if needed.

    Call it once before threads use the codec.
    """
    import capnp  # pylint: disable=import-outside-toplevel

    capnp.remove_import_hook()
    return capnp.load(str(_SCHEMA)).Message


def encode(message: Message) -> bytes:
    """Return the datagram of a message.

    Args:
        message: Message to encode.

    Returns:
        The datagram.

    Raises:
        MembershipError: If the datagram would be too long.
    """
    builder = load_schema().new_message(
        magic=_MAGIC,
        kind=int(message.kind),
        sequence=message.sequence,
        incarnation=message.incarnation,
        catalogueRevision=message.catalogue_revision,
        digest=message.digest,
        sender=message.sender,
        items=message.items,
    )
    if message.target is not None:
        builder.target = _encode_address(message.target)
    if message.buckets:
        builder.buckets = message.buckets
    if message.digests:
        count = len(message.digests)
        builder.digests = struct.pack(f"<{count}I", *message.digests)
    datagram = builder.to_bytes()
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise MembershipError("datagram_too_long", f"{len(datagram)} bytes")
    return datagram


def measure_overhead(sender: str, target: Address | None = None) -> int:
    """Return an upper bound of a datagram's size besides its data fields.

    Args:
        sender: Node id of the sender.
        target: Address to probe, if the message carries one.

    Returns:
        Bytes besides the buckets, digests and items.
    """
    names = len(sender.encode()) + 1
    if target is not None:
        names += _PORT.size + len(target.host)
    padding = _PADDED_FIELDS * (_WORD_BYTES - 1)
    return _FIXED_BYTES + names + padding


def decode(datagram: bytes) -> Message:
    """Return the message of a datagram.

    Args:
        datagram: Received bytes, of any origin.

    Returns:
        The message; its items are still encoded.

    Raises:
        MembershipError: If the datagram is oversize, malformed or foreign.
    """
    size = len(datagram)
    if size > MAX_DATAGRAM_BYTES or size % _WORD_BYTES or not size:
        raise MembershipError("datagram_size", f"{size} bytes")
    try:
        return _read(datagram)
    except MembershipError:
        raise
    except Exception as error:
        # The library raises its own and several built-in types.
        raise MembershipError("datagram_malformed", repr(error)) from error


def _read(datagram: bytes) -> Message:
    with load_schema().from_bytes(
        datagram, traversal_limit_in_words=MAX_DATAGRAM_BYTES
    ) as reader:
        if reader.magic != _MAGIC:
            raise MembershipError("datagram_foreign", "wrong magic number")
        digests = reader.digests
        target = reader.target
        message = Message(
            MessageKind(reader.kind),
            reader.sequence,
            reader.sender,
            reader.incarnation,
            reader.catalogueRevision,
            reader.digest,
            _decode_address(target) if target else None,
            reader.buckets,
            struct.unpack(f"<{len(digests) // 4}I", digests),
            reader.items,
        )
    if not message.sender or len(message.sender) > MAX_SENDER_BYTES:
        raise MembershipError("datagram_malformed", "sender")
    return message


def _encode_address(address: Address) -> bytes:
    return _PORT.pack(address.port) + address.host.encode()


def _decode_address(data: bytes) -> Address:
    (port,) = _PORT.unpack_from(data)
    host = data[_PORT.size :].decode("ascii")
    if not port or not host:
        raise MembershipError("datagram_malformed", "address")
    return Address(host, port)
