"""Reads messages between nodes out of frames of the schema."""

from typing import Any

from kumquatwalk.exception import FrameError
from kumquatwalk.http1.message import Header
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import ConfigDocument
from kumquatwalk.mesh.message import ConfigRequest
from kumquatwalk.mesh.message import CrashNotice
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import Message
from kumquatwalk.mesh.message import OwnerQuery
from kumquatwalk.mesh.message import OwnerQueryFrame
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.schema import MILLI
from kumquatwalk.mesh.schema import MS
from kumquatwalk.mesh.schema import PROTOCOL
from kumquatwalk.mesh.schema import STATES
from kumquatwalk.mesh.schema import US
from kumquatwalk.outcome import Outcome
from kumquatwalk.routing.call_graph import CallShare
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport

__all__ = ["read_frame"]


def read_frame(frame: Any) -> Message:
    """Return the message in a frame of the schema.

    Args:
        frame: The frame.

    Raises:
        FrameError: A part of it is malformed.
        Exception: The library raises several types of its own besides.
    """
    kind = str(frame.which())
    return _READERS[kind](getattr(frame, kind))


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
        clock_s=part.clockUs / US,
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
        deadline=part.deadlineUs / US,
        start_by=part.startByUs / US,
        method=bytes(part.method),
        url=bytes(part.url),
        headers=_split_headers(bytes(part.headers)),
        body=bytes(part.body),
        depth=int(part.depth),
        tokens=int(part.tokens),
        is_protected=bool(part.isProtected),
        crash_marks=bytes(part.crashMarks),
    )


def _read_owner_query(part: Any) -> OwnerQueryFrame:
    query = OwnerQuery(
        ticket=str(part.ticket),
        key=str(part.key),
        deadline=part.deadlineUs / US,
        method=bytes(part.method),
        url=bytes(part.url),
        headers=_split_headers(bytes(part.headers)),
        body=bytes(part.body),
    )
    return OwnerQueryFrame(int(part.callId), query)


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
        retry_after_s=part.retryAfterMs / MS,
        shed_by_target=bool(part.shedByTarget),
        tokens=int(part.tokens),
        crash_mark=bytes(part.crashMark),
    )


def _read_cancel(part: Any) -> Cancel:
    return Cancel(int(part.callId))


def _read_status(part: Any) -> TargetStatus:
    if part.state >= len(STATES):
        raise FrameError("frame_malformed", f"target state {part.state}")
    return TargetStatus(
        state=STATES[part.state],
        limit=int(part.limit),
        running=int(part.running),
        queued=int(part.queued),
        cold_left_s=part.coldLeftMs / MS,
        is_stopping=bool(part.isStopping),
        config_version=int(part.configVersion),
        route_times=tuple(
            (str(t.route), t.runMs / MS) for t in part.routeTimes
        ),
        failure_share=part.failurePercent / 100,
    )


def _read_config_request(part: Any) -> ConfigRequest:
    return ConfigRequest(int(part.afterVersion))


def _read_config_document(part: Any) -> ConfigDocument:
    return ConfigDocument(int(part.version), bytes(part.document))


def _read_traffic_report(part: Any) -> TrafficReport:
    return TrafficReport(
        tuple(RouteRate(str(r.route), r.milliPerS / MILLI) for r in part.rates),
        tuple(
            CallShare(str(c.route), str(c.called), c.milliCalls / MILLI, c.runs)
            for c in part.calls
        ),
    )


def _read_crash_notice(part: Any) -> CrashNotice:
    return CrashNotice(bytes(part.report))


_READERS = {
    "hello": _read_hello,
    "call": _read_call_frame,
    "reply": _read_reply_frame,
    "cancel": _read_cancel,
    "status": _read_status,
    "configRequest": _read_config_request,
    "configDocument": _read_config_document,
    "trafficReport": _read_traffic_report,
    "ownerQuery": _read_owner_query,
    "crashNotice": _read_crash_notice,
}
