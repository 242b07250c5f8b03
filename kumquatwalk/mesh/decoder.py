"""Conversion of Cap'n Proto frames to messages."""

import math
from typing import Any

from kumquatwalk.caps.entry import COUNT_MAX
from kumquatwalk.caps.entry import TokenEntry
from kumquatwalk.exception import FrameError
from kumquatwalk.http1.message import Header
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import CapGrant
from kumquatwalk.mesh.message import CapHolder
from kumquatwalk.mesh.message import CapRequest
from kumquatwalk.mesh.message import ConfigDocument
from kumquatwalk.mesh.message import ConfigRequest
from kumquatwalk.mesh.message import CrashNotice
from kumquatwalk.mesh.message import HedgeRequest
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import Message
from kumquatwalk.mesh.message import OwnerQuery
from kumquatwalk.mesh.message import OwnerQueryFrame
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.schema import CS_PER_S
from kumquatwalk.mesh.schema import MILLI_PER_UNIT
from kumquatwalk.mesh.schema import MS_PER_S
from kumquatwalk.mesh.schema import PROTOCOL_VERSION
from kumquatwalk.mesh.schema import TWENTIETHS_PER_UNIT
from kumquatwalk.mesh.schema import US_PER_S
from kumquatwalk.mesh.schema import WIRE_STATES
from kumquatwalk.outcome import Outcome
from kumquatwalk.routing.call_graph import CallShare
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.retry.refusals import ServiceRefusals
from kumquatwalk.routing.call_graph import TrafficReport

__all__ = ["read_frame"]

_U32_MAX = 0xFFFFFFFF


def read_frame(frame: Any) -> Message:
    """Read the message in a frame of the schema.

    Args:
        frame: Reader of the schema's ``Frame`` struct.

    Raises:
        FrameError: A field has an invalid value, or the frame is of another
            protocol version.
        Exception: Errors of pycapnp, which are of several types.
    """
    kind = str(frame.which())
    return _READ_FUNCTIONS[kind](getattr(frame, kind))


def _split_headers(text: bytes) -> tuple[Header, ...]:
    if not text:
        return ()
    headers = []
    for line in text.split(b"\n"):
        name, separator, value = line.partition(b":")
        if not separator:
            raise FrameError("frame_malformed", "header line has no colon")
        headers.append((name, value))
    return tuple(headers)


def _read_hello(reader: Any) -> Hello:
    if reader.protocol != PROTOCOL_VERSION:
        raise FrameError(
            "protocol_unknown",
            f"unsupported protocol version {reader.protocol}",
        )
    return Hello(
        node_id=str(reader.nodeId),
        incarnation=int(reader.incarnation),
        availability_zone=str(reader.zone),
        service=str(reader.service),
        host=str(reader.host),
        port=int(reader.port),
        clock_s=reader.clockUs / US_PER_S,
        left_target_key=int(reader.leftTargetKey),
        left_target_start_ms=int(reader.leftTargetStartMs),
        takes_cap_requests=bool(reader.takesCapRequests),
        known_target_key=int(reader.knownTargetKey),
        known_target_service=str(reader.knownTargetService),
    )


def _read_call_frame(reader: Any) -> CallFrame:
    return CallFrame(
        int(reader.callId), bool(reader.isResent), _read_call(reader)
    )


def _read_call(reader: Any) -> Call:
    return Call(
        key=int(reader.key),
        attempt_id=bytes(reader.attemptId),
        route=str(reader.route),
        service=str(reader.service),
        caller_service=str(reader.callerService),
        is_idempotent=bool(reader.isIdempotent),
        is_returning=bool(reader.isReturning),
        rank=int(reader.rank),
        deadline=reader.deadlineUs / US_PER_S,
        start_by=reader.startByUs / US_PER_S,
        method=bytes(reader.method),
        url=bytes(reader.url),
        headers=_split_headers(bytes(reader.headers)),
        body=bytes(reader.body),
        depth=int(reader.depth),
        tokens=int(reader.tokens),
        is_protected=bool(reader.isProtected),
        crash_marks=bytes(reader.crashMarks),
        is_hedgeable=bool(reader.isHedgeable),
        team=str(reader.team),
    )


def _read_owner_query(reader: Any) -> OwnerQueryFrame:
    query = OwnerQuery(
        ticket=str(reader.ticket),
        key=str(reader.key),
        deadline=reader.deadlineUs / US_PER_S,
        method=bytes(reader.method),
        url=bytes(reader.url),
        headers=_split_headers(bytes(reader.headers)),
        body=bytes(reader.body),
    )
    return OwnerQueryFrame(int(reader.callId), query)


def _read_reply_frame(reader: Any) -> ReplyFrame:
    return ReplyFrame(
        call_id=int(reader.callId),
        running=int(reader.running),
        queued=int(reader.queued),
        reply=_read_reply(reader),
        work_left_s=reader.workLeftCs / CS_PER_S,
        slowness=reader.slownessTwentieths / TWENTIETHS_PER_UNIT,
    )


def _read_reply(reader: Any) -> Reply:
    return Reply(
        outcome=Outcome(int(reader.outcome)),
        code=str(reader.code),
        status=int(reader.status),
        headers=_split_headers(bytes(reader.headers)),
        body=bytes(reader.body),
        retry_after_s=reader.retryAfterMs / MS_PER_S,
        shed_by_target=bool(reader.shedByTarget),
        tokens=int(reader.tokens),
        crash_mark=bytes(reader.crashMark),
        is_leaving=bool(reader.isLeaving),
    )


def _read_cancel(reader: Any) -> Cancel:
    return Cancel(int(reader.callId))


def _read_status(reader: Any) -> TargetStatus:
    if reader.state >= len(WIRE_STATES):
        raise FrameError(
            "frame_malformed", f"unknown target state {reader.state}"
        )
    return TargetStatus(
        state=WIRE_STATES[reader.state],
        limit=int(reader.limit),
        running=int(reader.running),
        queued=int(reader.queued),
        cold_left_s=reader.coldLeftMs / MS_PER_S,
        is_stopping=bool(reader.isStopping),
        config_version=int(reader.configVersion),
        route_times=tuple(
            (str(t.route), t.runMs / MS_PER_S) for t in reader.routeTimes
        ),
        failure_share=reader.failurePercent / 100,
        target_key=int(reader.targetKey),
        target_start_ms=int(reader.targetStartMs),
        is_leaving=bool(reader.isLeaving),
        stop_left_s=(reader.stopLeftMs or math.inf) / MS_PER_S,
        clock_s=reader.clockUs / US_PER_S,
        work_left_s=reader.workLeftCs / CS_PER_S,
        slowness=reader.slownessTwentieths / TWENTIETHS_PER_UNIT,
    )


def _read_hedge_request(reader: Any) -> HedgeRequest:
    return HedgeRequest(int(reader.callId))


def _read_config_request(reader: Any) -> ConfigRequest:
    return ConfigRequest(int(reader.afterVersion))


def _read_config_document(reader: Any) -> ConfigDocument:
    return ConfigDocument(int(reader.version), bytes(reader.document))


def _read_traffic_report(reader: Any) -> TrafficReport:
    return TrafficReport(
        tuple(
            RouteRate(str(r.route), r.milliPerS / MILLI_PER_UNIT)
            for r in reader.rates
        ),
        tuple(
            CallShare(
                str(c.route), str(c.called), c.milliCalls / MILLI_PER_UNIT
            )
            for c in reader.calls
        ),
        tuple(
            ServiceRefusals(
                str(r.service),
                r.arrivalsMilliPerS / MILLI_PER_UNIT,
                r.refusedMilliPerS / MILLI_PER_UNIT,
                r.retriesMilliPerS / MILLI_PER_UNIT,
                r.attemptsMax,
            )
            for r in reader.refusals
        ),
    )


def _read_crash_notice(reader: Any) -> CrashNotice:
    return CrashNotice(bytes(reader.report))


def _read_cap_request(reader: Any) -> CapRequest:
    return CapRequest(
        int(reader.requestId), int(reader.epoch), _read_entries(reader)
    )


def _read_cap_grant(reader: Any) -> CapGrant:
    return CapGrant(
        int(reader.requestId), int(reader.epoch), _read_entries(reader)
    )


def _read_cap_holder(reader: Any) -> CapHolder:
    return CapHolder(int(reader.requestId), str(reader.holder))


def _read_entries(reader: Any) -> tuple[TokenEntry, ...]:
    return tuple(
        TokenEntry(n & _U32_MAX, n >> 32 & COUNT_MAX, n >> 48)
        for n in reader.entries
    )


_READ_FUNCTIONS = {
    "hello": _read_hello,
    "call": _read_call_frame,
    "reply": _read_reply_frame,
    "cancel": _read_cancel,
    "hedgeRequest": _read_hedge_request,
    "status": _read_status,
    "configRequest": _read_config_request,
    "configDocument": _read_config_document,
    "trafficReport": _read_traffic_report,
    "ownerQuery": _read_owner_query,
    "crashNotice": _read_crash_notice,
    "capRequest": _read_cap_request,
    "capGrant": _read_cap_grant,
    "capHolder": _read_cap_holder,
}
