"""Writes messages between nodes into frames of the schema."""

import functools
from typing import Any

from kumquatwalk.http1.message import Header
from kumquatwalk.mesh.message import Call
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Cancel
from kumquatwalk.mesh.message import ConfigDocument
from kumquatwalk.mesh.message import ConfigRequest
from kumquatwalk.mesh.message import CrashNotice
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import OwnerQueryFrame
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.schema import MILLI
from kumquatwalk.mesh.schema import MS
from kumquatwalk.mesh.schema import PROTOCOL
from kumquatwalk.mesh.schema import STATES
from kumquatwalk.mesh.schema import US
from kumquatwalk.routing.call_graph import TrafficReport

__all__ = ["fill_frame"]

_U8_MAX = 0xFF
_U16_MAX = 0xFFFF
_U32_MAX = 0xFFFFFFFF


@functools.singledispatch
def fill_frame(message: Any, frame: Any) -> None:
    """Write a message into a frame of the schema.

    Args:
        message: The message.
        frame: New frame.
    """
    raise TypeError(f"not a message: {type(message).__name__}")


@fill_frame.register
def _(message: Hello, frame: Any) -> None:
    part = frame.init("hello")
    part.protocol = PROTOCOL
    part.nodeId = message.node_id
    part.incarnation = message.incarnation
    part.zone = message.availability_zone
    part.service = message.service
    part.host = message.host
    part.port = message.port
    part.clockUs = int(message.clock_s * US)


@fill_frame.register
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
    part.rank = min(message.rank, _U8_MAX)
    part.deadlineUs = max(0, int(message.deadline * US))
    part.startByUs = max(0, int(message.start_by * US))
    part.method = message.method
    part.url = message.url
    part.headers = _join_headers(message.headers)
    part.body = message.body
    part.depth = min(message.depth, _U8_MAX)
    part.tokens = min(message.tokens, _U16_MAX)
    part.isProtected = message.is_protected
    part.crashMarks = message.crash_marks


@fill_frame.register
def _(message: OwnerQueryFrame, frame: Any) -> None:
    part = frame.init("ownerQuery")
    query = message.query
    part.callId = message.call_id
    part.ticket = query.ticket
    part.key = query.key
    part.deadlineUs = max(0, int(query.deadline * US))
    part.method = query.method
    part.url = query.url
    part.headers = _join_headers(query.headers)
    part.body = query.body


@fill_frame.register
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
    part.retryAfterMs = min(int(message.retry_after_s * MS), _U32_MAX)
    part.shedByTarget = message.shed_by_target
    part.tokens = min(message.tokens, _U16_MAX)
    part.crashMark = message.crash_mark


@fill_frame.register
def _(message: Cancel, frame: Any) -> None:
    frame.init("cancel").callId = message.call_id


@fill_frame.register
def _(message: TargetStatus, frame: Any) -> None:
    part = frame.init("status")
    part.state = STATES.index(message.state)
    part.limit = min(message.limit, _U16_MAX)
    part.running = min(message.running, _U16_MAX)
    part.queued = min(message.queued, _U16_MAX)
    part.coldLeftMs = min(int(message.cold_left_s * MS), _U32_MAX)
    part.isStopping = message.is_stopping
    part.configVersion = message.config_version
    part.failurePercent = round(100 * min(1.0, message.failure_share))
    times = part.init("routeTimes", len(message.route_times))
    for slot, (route, run_s) in zip(times, message.route_times):
        slot.route = route
        slot.runMs = min(int(run_s * MS), _U32_MAX)


@fill_frame.register
def _(message: ConfigRequest, frame: Any) -> None:
    frame.init("configRequest").afterVersion = message.after_version


@fill_frame.register
def _(message: ConfigDocument, frame: Any) -> None:
    part = frame.init("configDocument")
    part.version = message.version
    part.document = message.document


@fill_frame.register
def _(message: TrafficReport, frame: Any) -> None:
    part = frame.init("trafficReport")
    rates = part.init("rates", len(message.rates))
    for slot, rate in zip(rates, message.rates):
        slot.route = rate.route
        slot.milliPerS = min(round(rate.per_s * MILLI), _U32_MAX)
    calls = part.init("calls", len(message.calls))
    for slot, share in zip(calls, message.calls):
        slot.route = share.route
        slot.called = share.called
        slot.milliCalls = min(round(share.calls * MILLI), _U32_MAX)
        slot.runs = min(share.runs, _U32_MAX)


@fill_frame.register
def _(message: CrashNotice, frame: Any) -> None:
    frame.init("crashNotice").report = message.report


def _join_headers(headers: tuple[Header, ...]) -> bytes:
    """Return header lines as one text; no name or value has a line break."""
    return b"\n".join([b"%b:%b" % header for header in headers])
