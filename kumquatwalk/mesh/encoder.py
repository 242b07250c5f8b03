"""Conversion of messages to Cap'n Proto frames."""

import functools
import math
from collections.abc import Sequence
from typing import Any

from kumquatwalk.caps.entry import COUNT_MAX
from kumquatwalk.caps.entry import TokenEntry
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
from kumquatwalk.retry.refusals import ServiceRefusals
from kumquatwalk.routing.call_graph import TrafficReport

__all__ = ["write_frame"]

_U8_MAX = 0xFF
_U16_MAX = 0xFFFF
_U32_MAX = 0xFFFFFFFF


@functools.singledispatch
def write_frame(message: Any, frame: Any) -> None:
    """Write a message into a frame of the schema.

    Args:
        message: The message. Numbers above the range of their field are
            replaced by its maximum, and deadlines before 0 by 0.
        frame: Builder of the schema's ``Frame`` struct.

    Raises:
        TypeError: The object is not a message.
    """
    raise TypeError(f"cannot encode type {type(message).__name__} as a message")


@write_frame.register
def _(message: Hello, frame: Any) -> None:
    builder = frame.init("hello")
    builder.protocol = PROTOCOL_VERSION
    builder.nodeId = message.node_id
    builder.incarnation = message.incarnation
    builder.zone = message.availability_zone
    builder.service = message.service
    builder.host = message.host
    builder.port = message.port
    builder.clockUs = int(message.clock_s * US_PER_S)
    builder.leftTargetKey = message.left_target_key
    builder.leftTargetStartMs = message.left_target_start_ms
    builder.takesCapRequests = message.takes_cap_requests
    if message.known_target_key:
        builder.knownTargetKey = message.known_target_key
        builder.knownTargetService = message.known_target_service


@write_frame.register
def _(message: CallFrame, frame: Any) -> None:
    builder = frame.init("call")
    builder.callId = message.call_id
    builder.isResent = message.is_resent
    _write_call(builder, message.call, message.clock_offset_s)


def _write_call(builder: Any, message: Call, offset_s: float) -> None:
    builder.attemptId = message.attempt_id
    builder.route = message.route
    builder.service = message.service
    builder.callerService = message.caller_service
    builder.isIdempotent = message.is_idempotent
    builder.rank = min(message.rank, _U8_MAX)
    builder.deadlineUs = _encode_time(message.deadline + offset_s)
    builder.startByUs = _encode_time(message.start_by + offset_s)
    builder.method = message.method
    builder.url = message.url
    builder.headers = _join_headers(message.headers)
    # Fields that most calls leave at the default of the schema: setting one
    # costs about as much as a function call.
    if message.key:
        builder.key = message.key
    if message.is_returning:
        builder.isReturning = True
    if message.body:
        builder.body = message.body
    if message.depth:
        builder.depth = min(message.depth, _U8_MAX)
    if message.tokens:
        builder.tokens = min(message.tokens, _U16_MAX)
    if message.is_protected:
        builder.isProtected = True
    if message.crash_marks:
        builder.crashMarks = message.crash_marks
    if message.is_hedgeable:
        builder.isHedgeable = True
    if message.team:
        builder.team = message.team


@write_frame.register
def _(message: OwnerQueryFrame, frame: Any) -> None:
    builder = frame.init("ownerQuery")
    query = message.query
    builder.callId = message.call_id
    builder.ticket = query.ticket
    builder.key = query.key
    builder.deadlineUs = _encode_time(query.deadline)
    builder.method = query.method
    builder.url = query.url
    builder.headers = _join_headers(query.headers)
    builder.body = query.body


@write_frame.register
def _(message: ReplyFrame, frame: Any) -> None:
    builder = frame.init("reply")
    builder.callId = message.call_id
    builder.running = min(message.running, _U16_MAX)
    builder.queued = min(message.queued, _U16_MAX)
    _write_reply(builder, message.reply)
    if message.slowness:
        _write_work(builder, message)


def _write_reply(builder: Any, message: Reply) -> None:
    builder.outcome = int(message.outcome)
    # As in calls, only what is not the default of the schema.
    if message.code:
        builder.code = message.code
    if message.status:
        builder.status = message.status
    if message.headers:
        builder.headers = _join_headers(message.headers)
    if message.body:
        builder.body = message.body
    if message.retry_after_s:
        builder.retryAfterMs = min(
            int(message.retry_after_s * MS_PER_S), _U32_MAX
        )
    if message.shed_by_target:
        builder.shedByTarget = True
    if message.tokens:
        builder.tokens = min(message.tokens, _U16_MAX)
    if message.crash_mark:
        builder.crashMark = message.crash_mark
    if message.is_leaving:
        builder.isLeaving = True


@write_frame.register
def _(message: Cancel, frame: Any) -> None:
    frame.init("cancel").callId = message.call_id


@write_frame.register
def _(message: HedgeRequest, frame: Any) -> None:
    frame.init("hedgeRequest").callId = message.call_id


@write_frame.register
def _(message: TargetStatus, frame: Any) -> None:
    builder = frame.init("status")
    builder.state = WIRE_STATES.index(message.state)
    builder.limit = min(message.limit, _U16_MAX)
    builder.running = min(message.running, _U16_MAX)
    builder.queued = min(message.queued, _U16_MAX)
    builder.coldLeftMs = min(int(message.cold_left_s * MS_PER_S), _U32_MAX)
    builder.isStopping = message.is_stopping
    builder.configVersion = message.config_version
    builder.failurePercent = round(100 * min(1.0, message.failure_share))
    builder.targetKey = message.target_key
    builder.targetStartMs = message.target_start_ms
    builder.isLeaving = message.is_leaving
    builder.clockUs = int(message.clock_s * US_PER_S)
    if message.stop_left_s < math.inf:
        builder.stopLeftMs = max(1, int(message.stop_left_s * MS_PER_S))
    if message.slowness:
        _write_work(builder, message)
    times = builder.init("routeTimes", len(message.route_times))
    for entry, (route, run_s) in zip(times, message.route_times):
        entry.route = route
        entry.runMs = min(int(run_s * MS_PER_S), _U32_MAX)


@write_frame.register
def _(message: ConfigRequest, frame: Any) -> None:
    frame.init("configRequest").afterVersion = message.after_version


@write_frame.register
def _(message: ConfigDocument, frame: Any) -> None:
    builder = frame.init("configDocument")
    builder.version = message.version
    builder.document = message.document


@write_frame.register
def _(message: TrafficReport, frame: Any) -> None:
    builder = frame.init("trafficReport")
    rates = builder.init("rates", len(message.rates))
    for entry, rate in zip(rates, message.rates):
        entry.route = rate.route
        entry.milliPerS = min(
            round(rate.requests_per_s * MILLI_PER_UNIT), _U32_MAX
        )
    calls = builder.init("calls", len(message.calls))
    for entry, share in zip(calls, message.calls):
        entry.route = share.route
        entry.called = share.called
        entry.milliCalls = min(round(share.calls * MILLI_PER_UNIT), _U32_MAX)
    if message.refusals:
        _write_refusals(builder, message.refusals)


@write_frame.register
def _(message: CrashNotice, frame: Any) -> None:
    frame.init("crashNotice").report = message.report


@write_frame.register
def _(message: CapRequest, frame: Any) -> None:
    _write_tokens(frame.init("capRequest"), message)


@write_frame.register
def _(message: CapGrant, frame: Any) -> None:
    _write_tokens(frame.init("capGrant"), message)


@write_frame.register
def _(message: CapHolder, frame: Any) -> None:
    builder = frame.init("capHolder")
    builder.requestId = message.request_id
    builder.holder = message.holder


def _write_tokens(builder: Any, message: CapRequest | CapGrant) -> None:
    builder.requestId = message.request_id
    builder.epoch = message.epoch
    builder.entries = [_pack_entry(entry) for entry in message.entries]


def _pack_entry(entry: TokenEntry) -> int:
    count = min(entry.count, COUNT_MAX)
    return entry.team | count << 32 | min(entry.extra, COUNT_MAX) << 48


def _write_refusals(builder: Any, refusals: Sequence[ServiceRefusals]) -> None:
    entries = builder.init("refusals", len(refusals))
    for entry, row in zip(entries, refusals):
        entry.service = row.service
        entry.arrivalsMilliPerS = _encode_rate(row.arrivals_per_s)
        entry.refusedMilliPerS = _encode_rate(row.refused_per_s)
        entry.retriesMilliPerS = _encode_rate(row.retries_per_s)
        entry.attemptsMax = min(row.attempts_max, _U8_MAX)


def _encode_rate(per_s: float) -> int:
    return min(round(per_s * MILLI_PER_UNIT), _U32_MAX)


def _write_work(builder: Any, message: ReplyFrame | TargetStatus) -> None:
    builder.workLeftCs = min(round(message.work_left_s * CS_PER_S), _U16_MAX)
    # 0 would say that the target does not report it.
    steps = max(1, round(message.slowness * TWENTIETHS_PER_UNIT))
    builder.slownessTwentieths = min(steps, _U8_MAX)


def _encode_time(time_s: float) -> int:
    return max(0, int(time_s * US_PER_S))


def _join_headers(headers: tuple[Header, ...]) -> bytes:
    """Join header lines; no name or value may contain a line feed."""
    return b"\n".join([b"%b:%b" % header for header in headers])
