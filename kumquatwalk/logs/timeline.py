"""Timeline of one request through the fleet, from the logs of its nodes."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

__all__ = ["RequestTimeline", "TimelineEvent", "build_timeline"]

# Events of a node that can explain the outcome of a request without naming it.
_CONTEXT_EVENTS = frozenset(
    (
        "config_in_force",
        "config_rejected",
        "daemon_drained",
        "daemon_started",
        "daemon_stopping",
        "front_shares_set",
        "link_silent",
        "peer_dropped",
        "retry_shares_set",
        "store_lost",
        "store_reached",
        "target_changed",
        "target_crashed",
    )
)
# Context events are included from this long before the first event of the
# request until this long after its last one: about the longest duration of a
# request.
CONTEXT_S = 5.0
_OUTCOME_TEMPLATES = {
    "request_refused": "refused, not run, because {code}",
    "request_timed_out": "timed out on route {route}; last node asked:"
    " {asked}",
    "request_outcome_unknown": "may have run at {tried}: {code}",
    "request_unanswered": "ended without a complete answer at stage {stage}:"
    " {end}",
}
_CAUSE_TEMPLATES = {
    "target_exchange_failed": "the exchange with the target beside {node}"
    " broke: {code} ({error})",
    "answer_spoiled": "the response of the target beside {node} was altered",
}


@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One log event in the timeline of a request.

    Attributes:
        at_s: Time of the event, in Unix seconds.
        node: Identifier of the node that logged it; empty if not given.
        name: Name of the event.
        fields: Its fields without time, level, event name and node.
        is_own: Whether the event belongs to the request or one of its calls;
            if not, it is a context event.
    """

    at_s: float
    node: str
    name: str
    fields: Mapping[str, str]
    is_own: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimeline:
    """Timeline of a request and the cause of its outcome.

    Attributes:
        events: Events of the request and context events, in order of time.
        cause: Cause of the outcome, in one line; empty if the logs have none.
    """

    events: tuple[TimelineEvent, ...]
    cause: str


def build_timeline(
    request_id: str, rows: Iterable[tuple[float, Mapping[str, str]]]
) -> RequestTimeline:
    """Build the timeline of a request from the logs of its nodes.

    The identifiers of calls that a target made to serve the request consist of
    the request's identifier, a dot and a suffix; their events belong to the
    request. Context events are included if their node took part in the request
    and they are within ``CONTEXT_S`` of its events.

    Args:
        request_id: Attempt identifier of the request.
        rows: Time in Unix seconds and fields of each log line, of any number
            of nodes and in any order.

    Returns:
        The timeline; without events if no line belongs to the request.
    """
    own: list[TimelineEvent] = []
    context: list[TimelineEvent] = []
    for at_s, fields in rows:
        name = fields.get("event", "")
        if _belongs(_find_request_id(fields), request_id):
            own.append(_make_event(at_s, fields, True))
        elif name in _CONTEXT_EVENTS:
            context.append(_make_event(at_s, fields, False))
    own.sort(key=lambda e: e.at_s)
    nodes = {e.node for e in own}
    for event in own:
        nodes.update(event.fields.get("tried", "").split(","))
        nodes.add(event.fields.get("asked", ""))
    nearby = [e for e in context if _is_near(e, own) and e.node in nodes]
    events = sorted([*own, *nearby], key=lambda e: e.at_s)
    return RequestTimeline(tuple(events), _find_cause(request_id, own, nearby))


def _find_request_id(fields: Mapping[str, str]) -> str:
    return fields.get("attempt") or fields.get("request", "")


def _belongs(attempt: str, request_id: str) -> bool:
    return attempt == request_id or attempt.startswith(request_id + ".")


def _make_event(
    at_s: float, fields: Mapping[str, str], is_own: bool
) -> TimelineEvent:
    excluded = ("event", "node", "time", "level")
    other_fields = {k: v for k, v in fields.items() if k not in excluded}
    return TimelineEvent(
        at_s,
        fields.get("node", ""),
        fields.get("event", ""),
        other_fields,
        is_own,
    )


def _is_near(event: TimelineEvent, own: list[TimelineEvent]) -> bool:
    if not own:
        return False
    first, last = own[0].at_s, own[-1].at_s
    return first - CONTEXT_S <= event.at_s <= last + CONTEXT_S


def _find_cause(
    request_id: str, own: list[TimelineEvent], nearby: list[TimelineEvent]
) -> str:
    outcomes = [
        e
        for e in own
        if e.name in _OUTCOME_TEMPLATES
        and _find_request_id(e.fields) == request_id
    ]
    call_outcomes = [
        e
        for e in own
        if e.name in _OUTCOME_TEMPLATES
        and _find_request_id(e.fields) != request_id
    ]
    parts = [
        _format(_OUTCOME_TEMPLATES[e.name], e)
        for e in (outcomes or call_outcomes)[-1:]
    ]
    if not outcomes and call_outcomes:
        parts = ["a call that it needed " + parts[0]]
    parts += [
        _format(_CAUSE_TEMPLATES[e.name], e)
        for e in own
        if e.name in _CAUSE_TEMPLATES
    ]
    stopping_nodes = {e.node for e in nearby if e.name == "daemon_stopping"}
    if parts and stopping_nodes:
        parts.append("stopping meanwhile: " + ", ".join(sorted(stopping_nodes)))
    return "; ".join(parts)


def _format(template: str, event: TimelineEvent) -> str:
    names = ("asked", "code", "end", "error", "route", "stage", "tried")
    values = dict.fromkeys(names, "")
    values.update(event.fields)
    values["node"] = event.node
    return template.format(**values)
