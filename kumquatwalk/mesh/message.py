"""Messages that nodes exchange over links.

Times are in seconds on the clock of ``kumquatwalk.clock.read_now``. On a link,
a deadline is expressed in the receiver's clock: ``PeerLink`` adds the estimated
clock offset before it sends a request.
"""

import dataclasses
import math

from kumquatwalk.caps.entry import TokenEntry
from kumquatwalk.http1.message import Header
from kumquatwalk.outcome import Outcome
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.targets.heartbeat import TargetState

__all__ = [
    "Call",
    "CallFrame",
    "Cancel",
    "CapGrant",
    "CapHolder",
    "CapRequest",
    "ConfigDocument",
    "ConfigRequest",
    "CrashNotice",
    "HedgeRequest",
    "Hello",
    "Message",
    "OwnerQuery",
    "OwnerQueryFrame",
    "Reply",
    "ReplyFrame",
    "TargetStatus",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Handshake message, the first that each end of a link sends.

    A node sends it again when the service of its target changes.

    Attributes:
        node_id: Identifier of the sender.
        incarnation: Identifies the sender's process; a restarted node has a
            new one.
        availability_zone: Availability zone of the sender.
        service: Service of the sender's target.
        host: IP address at which the sender accepts links.
        port: TCP port at which the sender accepts links.
        clock_s: Sender's clock when it sent the message, in seconds.
        left_target_key: Hash of the identifier of a target beside the receiver
            of which the sender knows that it has said that it leaves; 0 if it
            knows of none.
        left_target_start_ms: Start of that target in Unix milliseconds.
        takes_cap_requests: Whether the sender takes ``CapRequest``, on which
            an earlier release closes the link.
        known_target_key: Hash of the identifier of the last target beside the
            receiver that the sender knows to have been ready; 0 if it knows of
            none.
        known_target_service: Service of that target.
    """

    node_id: str
    incarnation: int
    availability_zone: str
    service: str
    host: str
    port: int
    clock_s: float
    left_target_key: int = 0
    left_target_start_ms: int = 0
    takes_cap_requests: bool = False
    known_target_key: int = 0
    known_target_service: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Call to run at the target of the node that receives it.

    Attributes:
        key: Random deduplication key of a call that is not idempotent, the
            same on every link; 0 if the call is idempotent.
        attempt_id: Identifier of the caller's attempt.
        route: Name of the route.
        service: Service that runs the call.
        caller_service: Service of the node that received the caller's request.
        is_idempotent: Whether the call may run more than once.
        is_returning: Whether the caller is expected to retry if the call is
            refused.
        rank: Priority for load shedding; 0 is the highest.
        deadline: Time after which the result is of no use, in seconds; on a
            link, in the receiver's clock.
        start_by: Latest time to start the run, in seconds, in the same clock
            as ``deadline``.
        method: HTTP method.
        url: Path and query string.
        headers: Header lines for the target.
        body: Complete body.
        depth: Number of calls above this one in the call chain; 0 if the
            chain is not known.
        tokens: Retry tokens that the run may spend on its own calls.
        is_protected: Whether the request at the top of the call chain runs at
            most once.
        crash_marks: Marks of the targets that crashed while running the call,
            concatenated.
        is_hedgeable: Whether the sender can have it run at another target too,
            and takes ``HedgeRequest``.
        team: Name of the team of the caller; empty if it has none.
    """

    key: int
    attempt_id: bytes
    route: str
    service: str
    caller_service: str
    is_idempotent: bool
    is_returning: bool
    rank: int
    deadline: float
    start_by: float
    method: bytes
    url: bytes
    headers: tuple[Header, ...]
    body: bytes
    depth: int = 0
    tokens: int = 0
    is_protected: bool = False
    crash_marks: bytes = b""
    is_hedgeable: bool = False
    team: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerQuery:
    """At-most-once request forwarded to the node that owns it.

    Only the owner knows whether the request has run and with what outcome.

    Attributes:
        ticket: Ticket of the request; empty if it has an idempotency key.
        key: Name of the claim on its idempotency key; empty if the request has
            a ticket.
        deadline: Time by which the reply is due, in seconds; on a link, in the
            receiver's clock.
        method: HTTP method.
        url: Path and query string.
        headers: Header lines as the caller sent them.
        body: Complete body.
    """

    ticket: str
    key: str
    deadline: float
    method: bytes
    url: bytes
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of a call, with the target's response if there is one.

    Attributes:
        outcome: DONE with the target's response, NOT_RUN or UNKNOWN.
        code: Error code that says why there is no response; empty with DONE.
        status: HTTP status of the response; 0 without one.
        headers: Header lines of the response.
        body: Complete body of the response.
        retry_after_s: Time after which capacity is expected, in seconds.
        shed_by_target: Whether the target itself refused the call and did not
            run it.
        tokens: Retry tokens that the run did not spend.
        crash_mark: Mark of the crash, if the target crashed during this run;
            empty otherwise.
        is_leaving: Whether the target said in its response that it leaves.
    """

    outcome: Outcome
    code: str = ""
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    retry_after_s: float = 0.0
    shed_by_target: bool = False
    tokens: int = 0
    crash_mark: bytes = b""
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallFrame:
    """Call with its identifier on the link.

    Attributes:
        call_id: Identifier that matches the reply to the call, unique among
            the pending requests of a link.
        is_resent: Whether the call was sent before, on a connection that has
            failed since.
        call: The call.
        clock_offset_s: Receiver's clock minus this node's, in seconds, added to
            the times of the call when it is encoded; 0 in a received frame.
    """

    call_id: int
    is_resent: bool
    call: Call
    clock_offset_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerQueryFrame:
    """Owner query with its identifier on the link.

    Attributes:
        call_id: Identifier of the query, from the same sequence as those of
            calls.
        query: The query.
    """

    call_id: int
    query: OwnerQuery


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyFrame:
    """Reply with its identifier on the link and the load of the target.

    Attributes:
        call_id: Identifier of the call or query that is answered.
        running: Number of calls running at the target.
        queued: Number of calls queued for the target.
        reply: The reply.
        work_left_s: As in ``TargetStatus``.
        slowness: As in ``TargetStatus``.
    """

    call_id: int
    running: int
    queued: int
    reply: Reply
    work_left_s: float = 0.0
    slowness: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a call or query whose caller no longer waits for the reply.

    Sent also once a call's reply has arrived, so that the peer drops its copy.

    Attributes:
        call_id: Identifier of the call or query.
    """

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeRequest:
    """Asks the sender of a call to have it run at another target too.

    The run goes on; the first answer counts. Sent only for a call that is
    hedgeable.

    Attributes:
        call_id: Identifier of the call.
    """

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """State of the sender's target, sent periodically and on change.

    Attributes:
        state: Whether the target accepts new calls.
        limit: Concurrency limit of the target.
        running: Number of calls running.
        queued: Number of calls queued.
        cold_left_s: Remaining warm-up time after a cold start, in seconds.
        is_stopping: Whether the sending node is shutting down.
        config_version: Version of the fleet configuration in force.
        route_times: Pairs of a route name and its mean run time in seconds.
        failure_share: Share of recent runs that failed, 0 to 1.
        target_key: Hash of the target's identifier; 0 when it is not known.
        target_start_ms: Start of the target in Unix milliseconds; 0 when it is
            not known.
        is_leaving: Whether the target has said that it leaves.
        stop_left_s: Time until all calls must have ended, as the sending node
            is stopping, in seconds; infinite while it is not.
        clock_s: Sender's clock, in seconds; 0 when it does not tell.
        work_left_s: Expected remaining time of the running and queued calls,
            summed, in seconds.
        slowness: Expected time of a run that starts now, over the time in
            ``route_times``; 0 if the target does not report how slow its
            machine is.
    """

    state: TargetState = TargetState.UNKNOWN
    limit: int = 0
    running: int = 0
    queued: int = 0
    cold_left_s: float = 0.0
    is_stopping: bool = False
    config_version: int = 0
    route_times: tuple[tuple[str, float], ...] = ()
    failure_share: float = 0.0
    target_key: int = 0
    target_start_ms: int = 0
    is_leaving: bool = False
    stop_left_s: float = math.inf
    clock_s: float = 0.0
    work_left_s: float = 0.0
    slowness: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Requests the fleet configuration if the receiver has a newer one.

    Attributes:
        after_version: Version that the sender has.
    """

    after_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDocument:
    """Fleet configuration, sent in reply to a ``ConfigRequest``.

    Attributes:
        version: Version of the document.
        document: The document, unparsed, as the operators wrote it.
    """

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """Reports requests that crashed a target, or one cleared of suspicion.

    Attributes:
        report: Report encoded by ``quarantine.encode_report``.
    """

    report: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CapRequest:
    """Requests tokens of teams and returns unused ones.

    Attributes:
        request_id: Identifier that the answer repeats.
        epoch: Period of lending to which the returned tokens belong.
        entries: Teams with the tokens wanted and returned.
    """

    request_id: int
    epoch: int
    entries: tuple[TokenEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CapGrant:
    """Grants tokens of teams, for a short time from the request's sending.

    Attributes:
        request_id: Request that it answers.
        epoch: Period of lending of the sender.
        entries: Teams with the tokens and the time until the next.
    """

    request_id: int
    epoch: int
    entries: tuple[TokenEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CapHolder:
    """Says that the sender lends no tokens.

    Attributes:
        request_id: Request that it answers.
        holder: Node that lends in the zone of the sender; empty if the sender
            knows of none.
    """

    request_id: int
    holder: str


Message = (
    Hello
    | CallFrame
    | OwnerQueryFrame
    | ReplyFrame
    | Cancel
    | HedgeRequest
    | TargetStatus
    | ConfigRequest
    | ConfigDocument
    | TrafficReport
    | CrashNotice
    | CapRequest
    | CapGrant
    | CapHolder
)
