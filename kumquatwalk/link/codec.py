"""Encoding of the messages between nodes.

A frame is a header of nine bytes (magic, kind, length of the payload) and a
Cap'n Proto message as payload.

Example:
    >>> from kumquatwalk.link.running import Running
    >>> encode_message(Running())[4]
    5
"""

import functools
import struct
from typing import Any

from kumquatwalk.exception import FrameError
from kumquatwalk.link.call import Call
from kumquatwalk.link.catalogue_reply import CatalogueReply
from kumquatwalk.link.catalogue_request import CatalogueRequest
from kumquatwalk.link.forward import Forward
from kumquatwalk.link.hello import Hello
from kumquatwalk.link.kind import FrameKind
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.running import Running
from kumquatwalk.link.schema import load_schema
from kumquatwalk.link.welcome import Welcome

__all__ = [
    "HEADER_BYTES",
    "decode_header",
    "encode_call",
    "encode_message",
]

_MAGIC = b"KQW1"
_HEADER = struct.Struct("<4sBI")
HEADER_BYTES = _HEADER.size


def decode_header(header: bytes, payload_bytes_max: int) -> tuple[int, int]:
    """Return the kind and the length of the payload.

    Args:
        header: The first ``HEADER_BYTES`` of a frame.
        payload_bytes_max: Longest payload accepted.

    Returns:
        Kind as an integer and length in bytes.

    Raises:
        FrameError: The frame is foreign or too long.
    """
    magic, kind, length = _HEADER.unpack(header)
    if magic != _MAGIC:
        raise FrameError("frame_foreign", "the peer speaks another protocol")
    if length > payload_bytes_max:
        raise FrameError("frame_too_long", f"payload of {length} bytes")
    return kind, length


@functools.singledispatch
def encode_message(message: Any) -> bytes:
    """Return the frame of a message.

    Args:
        message: One of the message types of this package.

    Returns:
        Header and payload.

    Raises:
        TypeError: The type is not a message type.
    """
    raise TypeError(f"not a link message: {type(message).__name__}")


def _join(kind: FrameKind, payload: bytes) -> bytes:
    return _HEADER.pack(_MAGIC, kind, len(payload)) + payload


@encode_message.register
def _encode_hello(message: Hello) -> bytes:
    fields = load_schema().Hello.new_message()
    fields.protocol = message.protocol
    fields.nodeId = message.node_id
    fields.incarnation = message.incarnation
    fields.host = message.host
    return _join(FrameKind.HELLO, fields.to_bytes())


@encode_message.register
def _encode_welcome(message: Welcome) -> bytes:
    fields = load_schema().Welcome.new_message()
    fields.protocol = message.protocol
    fields.nodeId = message.node_id
    fields.incarnation = message.incarnation
    fields.clockUs = message.clock_us
    return _join(FrameKind.WELCOME, fields.to_bytes())


@encode_message.register
def _encode_call(message: Call) -> bytes:
    return encode_call(message, message.remaining_us, message.sent_at_us)


def encode_call(message: Call, remaining_us: int, sent_at_us: int) -> bytes:
    """Return the frame of a call with its times set anew.

    Args:
        message: The call.
        remaining_us: Time left for the call, microseconds.
        sent_at_us: The gate's clock as the sender estimates it.
    """
    fields = load_schema().Call.new_message()
    fields.attemptId = message.attempt_id
    fields.requestId = message.request_id
    fields.entry = message.entry
    fields.method = message.method
    fields.url = message.url
    fields.headers = message.headers
    fields.body = message.body
    fields.priority = message.priority
    fields.depth = message.depth
    fields.tokens = message.tokens
    fields.idempotent = message.idempotent
    fields.protected = message.protected
    fields.remainingUs = remaining_us
    fields.sentAtUs = sent_at_us
    if message.crash_marks:
        fields.crashMarks = message.crash_marks
    return _join(FrameKind.CALL, fields.to_bytes())


@encode_message.register
def _encode_reply(message: Reply) -> bytes:
    fields = load_schema().Reply.new_message()
    fields.outcome = int(message.outcome)
    fields.code = message.code
    fields.status = message.status
    fields.headers = message.headers
    fields.body = message.body
    fields.tokens = message.tokens
    fields.gateLevel = message.gate_level
    fields.entryLevel = message.entry_level
    fields.queueUs = message.queue_us
    fields.runUs = message.run_us
    if message.crash_mark:
        fields.crashMark = message.crash_mark
    return _join(FrameKind.REPLY, fields.to_bytes())


@encode_message.register
def _encode_running(_: Running) -> bytes:
    return _join(FrameKind.RUNNING, b"")


@encode_message.register
def _encode_forward(message: Forward) -> bytes:
    fields = load_schema().Forward.new_message()
    fields.method = message.method
    fields.url = message.url
    fields.headers = message.headers
    fields.body = message.body
    fields.remainingUs = message.remaining_us
    fields.keyDigest = message.key_digest
    fields.ticket = message.ticket
    return _join(FrameKind.FORWARD, fields.to_bytes())


@encode_message.register
def _encode_catalogue_request(message: CatalogueRequest) -> bytes:
    fields = load_schema().CatalogueRequest.new_message()
    fields.afterRevision = message.after_revision
    return _join(FrameKind.CATALOGUE_REQUEST, fields.to_bytes())


@encode_message.register
def _encode_catalogue_reply(message: CatalogueReply) -> bytes:
    fields = load_schema().CatalogueReply.new_message()
    fields.revision = message.revision
    fields.document = message.document
    return _join(FrameKind.CATALOGUE_REPLY, fields.to_bytes())
