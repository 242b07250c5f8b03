"""Event log of the process."""

import importlib
import threading
import time
import types
from typing import Protocol

from kumquatwalk.logs.destination import LineDestination
from kumquatwalk.logs.level import Level
from kumquatwalk.logs.rate_limiter import EventRateLimiter

__all__ = ["close_logs", "log_event", "start_logs"]

_SUPPRESSED_EVENT = "log_events_suppressed"


class _OpenLog:
    """Event log from its start until it is closed.

    Eliot is imported with the first event, so that commands that log nothing
    do not spend time on the import.

    Args:
        destination: Eliot destination that writes the lines.
        level: Lowest level that is written.
    """

    def __init__(self, destination: LineDestination, level: Level):
        self.level = level
        self.limiter = EventRateLimiter()
        self.lock = threading.Lock()
        self._destination = destination
        self._eliot: types.ModuleType | None = None

    def attach(self) -> types.ModuleType:
        """Import eliot and add the destination on first use; return eliot."""
        with self.lock:
            if self._eliot is None:
                self._eliot = importlib.import_module("eliot")
                self._eliot.add_destinations(self._destination)
        return self._eliot

    def detach(self) -> None:
        """Remove the destination from eliot."""
        with self.lock:
            if self._eliot is not None:
                self._eliot.remove_destination(self._destination)


# Holds the open log; empty while there is none.
_open_logs: list[_OpenLog] = []


class LogStream(Protocol):
    """Output of the log: a text stream or a ``BoundedWriter``."""

    def write(self, line: str) -> object:
        """Write or buffer one line."""

    def flush(self) -> None:
        """Write out what is buffered."""


def start_logs(stream: LogStream, level: Level, node_id: str = "") -> None:
    """Start the event log; a log that is already open is closed first.

    Args:
        stream: Output of the log.
        level: Lowest level that is written.
        node_id: Identifier of the node, written on each line; empty to leave
            it out.
    """
    close_logs()
    _open_logs.append(_OpenLog(LineDestination(stream, node_id), level))


def close_logs() -> None:
    """Report the suppressed events and close the log; idempotent."""
    if not _open_logs:
        return
    log = _open_logs.pop()
    with log.lock:
        counts = log.limiter.take_suppressed()
    for event, count in counts.items():
        fields = {"name": event, "suppressed": count}
        _write_event(log, _SUPPRESSED_EVENT, Level.WARNING, fields)
    log.detach()


def log_event(event: str, level: Level = Level.INFO, **fields: object) -> None:
    """Log one event.

    The event is dropped if the log is not open, the level is below that of the
    log, or the rate limit of the event's name is reached.

    Args:
        event: Name of the event, lower case words joined by underscores.
        level: Severity of the event.
        **fields: Values that describe the event, written in this order.

    Example:
        >>> log_event("catalogue_changed", revision=7)
    """
    log = _open_logs[0] if _open_logs else None
    if log is None or level < log.level:
        return
    with log.lock:
        decision = log.limiter.check(event, time.monotonic())
    if not decision.admitted:
        return
    if decision.suppressed:
        fields["suppressed"] = decision.suppressed
    _write_event(log, event, level, fields)


def _write_event(
    log: _OpenLog, event: str, level: Level, fields: dict[str, object]
) -> None:
    eliot = log.attach()
    eliot.log_message(message_type=event, **fields, level=level.name.lower())
