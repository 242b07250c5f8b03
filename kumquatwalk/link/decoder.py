"""Decoding of the messages between nodes."""

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
from kumquatwalk.outcome import Outcome

__all__ = ["decode_message"]


def decode_message(kind: int, payload: bytes) -> Any:
    """Return the message of a frame.

    Args:
        kind: Kind from the header.
        payload: The whole payload.

    Returns:
        One of the message types of this package.

    Raises:
        FrameError: The kind is unknown or the payload is malformed.
    """
    decode = _DECODERS.get(kind)
    if decode is None:
        raise FrameError("frame_kind_unknown", f"kind {kind}")
    try:
        return decode(payload)
    except FrameError:
        raise
    except Exception as error:  # pylint: disable=broad-exception-caught
        # The library raises several unrelated types on malformed input.
        raise FrameError("frame_malformed", str(error)) from error


def _decode_hello(payload: bytes) -> Hello:
    with load_schema().Hello.from_bytes(payload) as fields:
        return Hello(
            fields.nodeId, fields.incarnation, fields.host, fields.protocol
        )


def _decode_welcome(payload: bytes) -> Welcome:
    with load_schema().Welcome.from_bytes(payload) as fields:
        return Welcome(
            fields.nodeId, fields.incarnation, fields.clockUs, fields.protocol
        )


def _decode_call(payload: bytes) -> Call:
    with load_schema().Call.from_bytes(payload) as fields:
        return Call(
            attempt_id=_check_id(fields.attemptId),
            request_id=_check_id(fields.requestId),
            entry=fields.entry,
            method=fields.method,
            url=fields.url,
            headers=fields.headers,
            body=fields.body,
            priority=fields.priority,
            depth=fields.depth,
            tokens=fields.tokens,
            idempotent=fields.idempotent,
            protected=fields.protected,
            remaining_us=fields.remainingUs,
            sent_at_us=fields.sentAtUs,
            crash_marks=fields.crashMarks,
        )


def _decode_reply(payload: bytes) -> Reply:
    with load_schema().Reply.from_bytes(payload) as fields:
        return Reply(
            outcome=Outcome(fields.outcome),
            code=fields.code,
            status=fields.status,
            headers=fields.headers,
            body=fields.body,
            tokens=fields.tokens,
            gate_level=fields.gateLevel,
            entry_level=fields.entryLevel,
            queue_us=fields.queueUs,
            run_us=fields.runUs,
            crash_mark=fields.crashMark,
        )


def _decode_running(_: bytes) -> Running:
    return Running()


def _decode_forward(payload: bytes) -> Forward:
    with load_schema().Forward.from_bytes(payload) as fields:
        return Forward(
            method=fields.method,
            url=fields.url,
            headers=fields.headers,
            body=fields.body,
            remaining_us=fields.remainingUs,
            key_digest=fields.keyDigest,
            ticket=fields.ticket,
        )


def _decode_catalogue_request(payload: bytes) -> CatalogueRequest:
    with load_schema().CatalogueRequest.from_bytes(payload) as fields:
        return CatalogueRequest(fields.afterRevision)


def _decode_catalogue_reply(payload: bytes) -> CatalogueReply:
    with load_schema().CatalogueReply.from_bytes(payload) as fields:
        return CatalogueReply(fields.revision, fields.document)


def _check_id(value: bytes) -> bytes:
    if len(value) != 16:
        raise FrameError("frame_malformed", "an identifier is not 16 bytes")
    return value


_DECODERS = {
    FrameKind.HELLO: _decode_hello,
    FrameKind.WELCOME: _decode_welcome,
    FrameKind.CALL: _decode_call,
    FrameKind.REPLY: _decode_reply,
    FrameKind.RUNNING: _decode_running,
    FrameKind.FORWARD: _decode_forward,
    FrameKind.CATALOGUE_REQUEST: _decode_catalogue_request,
    FrameKind.CATALOGUE_REPLY: _decode_catalogue_reply,
}
