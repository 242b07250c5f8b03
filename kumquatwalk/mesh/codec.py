"""Codec of messages between nodes: Cap'n Proto in sized frames."""

import functools
import pathlib
import struct
import types
from typing import Any

from kumquatwalk.exception import FrameError
from kumquatwalk.http1.message import Header
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import ConfigDocument
from kumquatwalk.mesh.message import ConfigRequest
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import Message
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.outcome import Outcome
from kumquatwalk.routing.call_graph import CallShare
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.targets.heartbeat import TargetState

__all__ = [
    "FRAME_BYTES_MAX",
    "FrameReader",
    "decode",
    "encode",
    "load_schema",
    "make_frame",
]

PROTOCOL = 1
# Longest frame, in bytes: the largest body with room for its headers.
FRAME_BYTES_MAX = 72 * 1024 * 1024
# Words that a decoder may follow; above what the longest frame holds.
_TRAVERSAL_WORDS = FRAME_BYTES_MAX
_LENGTH = struct.Struct("!I")
_US = 1_000_000
_MS = 1000
_MILLI = 1000
_U16_MAX = 0xFFFF
_U32_MAX = 0xFFFFFFFF

_STATES = (
    TargetState.UNKNOWN,
    TargetState.READY,
    TargetState.DRAINING,
    TargetState.GONE,
)


@functools.cache
def load_schema() -> types.ModuleType:
    """Return the loaded schema module."""
    import capnp  # pylint: disable=import-outside-toplevel

    return capnp.load(str(pathlib.Path(__file__).with_name("mesh.capnp")))


def encode(message: Message) -> bytes:
    """Return a message as the payload of a frame.

    Args:
        message: The message.
    """
    frame = load_schema().Frame.new_message()
    _fill(message, frame)
    return frame.to_bytes()


def make_frame(payload: bytes) -> bytes:
    """Return a payload with its length before it.

    Args:
        payload: The payload.
    """
    return _LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Message:
    """Return the message in a frame.

    Args:
        payload: The frame without its length.

    Raises:
        FrameError: The frame cannot be read.
    """
    # Not the packed encoding: its reader ends the process on a cut payload.
    try:
        with load_schema().Frame.from_bytes(
            payload, traversal_limit_in_words=_TRAVERSAL_WORDS
        ) as frame:
            kind = str(frame.which())
            return _READERS[kind](getattr(frame, kind))
    except FrameError:
        raise
    except Exception as error:
        # The library raises several types, some of them its own.
        raise FrameError("frame_malformed", str(error)[:200]) from error


class FrameReader:
    """Splits the bytes of a link into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes and return the frames that are whole with them.

        Args:
            data: Bytes that arrived.

        Raises:
            FrameError: A frame is longer than ``FRAME_BYTES_MAX``.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(buffer, start)
            if size > FRAME_BYTES_MAX:
                raise FrameError("frame_too_long", f"{size} bytes")
            end = start + _LENGTH.size + size
            if len(buffer) < end:
                break
            frames.append(bytes(buffer[start + _LENGTH.size : end]))
            start = end
        del buffer[:start]
        return frames


@functools.singledispatch
def _fill(message: Any, frame: Any) -> None:
    raise TypeError(f"not a message: {type(message).__name__}")


@_fill.register
def _(message: Hello, frame: Any) -> None:
    part = frame.init("hello")
    part.protocol = PROTOCOL
    part.nodeId = message.node_id
    part.incarnation = message.incarnation
    part.zone = message.availability_zone
    part.service = message.service
    part.host = message.host
    part.port = message.port
    part.clockUs = int(message.clock_s * _US)


@_fill.register
def _(message: CallFrame, frame: Any) -> None:
    part = frame.init("call")
    part.callId = message.call_id
    part.isResent = message.is_resent
    _fill_call(part, message.call)


def _fill_call(part: Any, message: Call) -> None:
    part.key = message.key
    part.attemptId = message.attempt_id
    part.route = message.route
    part.service = message.service
    part.callerService = message.caller_service
    part.isIdempotent = message.is_idempotent
    part.isReturning = message.is_returning
    part.rank = min(message.rank, 255)
    part.deadlineUs = max(0, int(message.deadline * _US))
    part.startByUs = max(0, int(message.start_by * _US))
    part.method = message.method
    part.url = message.url
    part.headers = _join_headers(message.headers)
    part.body = message.body


@_fill.register
def _(message: ReplyFrame, frame: Any) -> None:
    part = frame.init("reply")
    part.callId = message.call_id
    part.running = min(message.running, _U16_MAX)
    part.queued = min(message.queued, _U16_MAX)
    _fill_reply(part, message.reply)


def _fill_reply(part: Any, message: Reply) -> None:
    part.outcome = int(message.outcome)
    part.code = message.code
    part.status = message.status
    part.headers = _join_headers(message.headers)
    part.body = message.body
    part.retryAfterMs = min(int(message.retry_after_s * _MS), _U32_MAX)
    part.shedByTarget = message.shed_by_target


@_fill.register
def _(message: Cancel, frame: Any) -> None:
    frame.init("cancel").callId = message.call_id


@_fill.register
def _(message: TargetStatus, frame: Any) -> None:
    part = frame.init("status")
    part.state = _STATES.index(message.state)
    part.limit = min(message.limit, _U16_MAX)
    part.running = min(message.running, _U16_MAX)
    part.queued = min(message.queued, _U16_MAX)
    part.coldLeftMs = min(int(message.cold_left_s * _MS), _U32_MAX)
    part.isStopping = message.is_stopping
    part.configVersion = message.config_version
    part.failurePercent = round(100 * min(1.0, message.failure_share))
    times = part.init("routeTimes", len(message.route_times))
    for slot, (route, run_s) in zip(times, message.route_times):
        slot.route = route
        slot.runMs = min(int(run_s * _MS), _U32_MAX)


@_fill.register
def _(message: ConfigRequest, frame: Any) -> None:
    frame.init("configRequest").afterVersion = message.after_version


@_fill.register
def _(message: ConfigDocument, frame: Any) -> None:
    part = frame.init("configDocument")
    part.version = message.version
    part.document = message.document


@_fill.register
def _(message: TrafficReport, frame: Any) -> None:
    part = frame.init("trafficReport")
    rates = part.init("rates", len(message.rates))
    for slot, rate in zip(rates, message.rates):
        slot.route = rate.route
        slot.milliPerS = min(round(rate.per_s * _MILLI), _U32_MAX)
    calls = part.init("calls", len(message.calls))
    for slot, share in zip(calls, message.calls):
        slot.route = share.route
        slot.called = share.called
        slot.milliCalls = min(round(share.calls * _MILLI), _U32_MAX)


def _join_headers(headers: tuple[Header, ...]) -> bytes:
    """Return header lines as one text; no name or value has a line break."""
    return b"\n".join([b"%b:%b" % header for header in headers])


def _split_headers(text: bytes) -> tuple[Header, ...]:
    if not text:
        return ()
    headers = []
    for line in text.split(b"\n"):
        name, separator, value = line.partition(b":")
        if not separator:
            raise FrameError("frame_malformed", "header line without a name")
        headers.append((name, value))
    return tuple(headers)


def _read_hello(part: Any) -> Hello:
    if part.protocol != PROTOCOL:
        raise FrameError("protocol_unknown", f"protocol {part.protocol}")
    return Hello(
        node_id=str(part.nodeId),
        incarnation=int(part.incarnation),
        availability_zone=str(part.zone),
        service=str(part.service),
        host=str(part.host),
        port=int(part.port),
        clock_s=part.clockUs / _US,
    )


def _read_call_frame(part: Any) -> CallFrame:
    return CallFrame(int(part.callId), bool(part.isResent), _read_call(part))


def _read_call(part: Any) -> Call:
    return Call(
        key=int(part.key),
        attempt_id=bytes(part.attemptId),
        route=str(part.route),
        service=str(part.service),
        caller_service=str(part.callerService),
        is_idempotent=bool(part.isIdempotent),
        is_returning=bool(part.isReturning),
        rank=int(part.rank),
        deadline=part.deadlineUs / _US,
        start_by=part.startByUs / _US,
        method=bytes(part.method),
        url=bytes(part.url),
        headers=_split_headers(bytes(part.headers)),
        body=bytes(part.body),
    )


def _read_reply_frame(part: Any) -> ReplyFrame:
    return ReplyFrame(
        call_id=int(part.callId),
        running=int(part.running),
        queued=int(part.queued),
        reply=_read_reply(part),
    )


def _read_reply(part: Any) -> Reply:
    return Reply(
        outcome=Outcome(int(part.outcome)),
        code=str(part.code),
        status=int(part.status),
        headers=_split_headers(bytes(part.headers)),
        body=bytes(part.body),
        retry_after_s=part.retryAfterMs / _MS,
        shed_by_target=bool(part.shedByTarget),
    )


def _read_cancel(part: Any) -> Cancel:
    return Cancel(int(part.callId))


def _read_status(part: Any) -> TargetStatus:
    if part.state >= len(_STATES):
        raise FrameError("frame_malformed", f"target state {part.state}")
    return TargetStatus(
        state=_STATES[part.state],
        limit=int(part.limit),
        running=int(part.running),
        queued=int(part.queued),
        cold_left_s=part.coldLeftMs / _MS,
        is_stopping=bool(part.isStopping),
        config_version=int(part.configVersion),
        route_times=tuple(
            (str(t.route), t.runMs / _MS) for t in part.routeTimes
        ),
        failure_share=part.failurePercent / 100,
    )


def _read_config_request(part: Any) -> ConfigRequest:
    return ConfigRequest(int(part.afterVersion))


def _read_config_document(part: Any) -> ConfigDocument:
    return ConfigDocument(int(part.version), bytes(part.document))


def _read_traffic_report(part: Any) -> TrafficReport:
    return TrafficReport(
        tuple(
            RouteRate(str(r.route), r.milliPerS / _MILLI) for r in part.rates
        ),
        tuple(
            CallShare(str(c.route), str(c.called), c.milliCalls / _MILLI)
            for c in part.calls
        ),
    )


_READERS = {
    "hello": _read_hello,
    "call": _read_call_frame,
    "reply": _read_reply_frame,
    "cancel": _read_cancel,
    "status": _read_status,
    "configRequest": _read_config_request,
    "configDocument": _read_config_document,
    "trafficReport": _read_traffic_report,
}
