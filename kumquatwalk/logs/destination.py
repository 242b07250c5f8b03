"""Eliot destination that writes each message as a line to a stream."""

import datetime
import threading
from collections.abc import Mapping
from typing import TextIO

from kumquatwalk.logs.line import format_line

__all__ = ["LineDestination"]

_ELIOT_FIELDS = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "level")
)


class LineDestination:
    """Callable that writes each eliot message as one line; thread-safe.

    If the stream fails, the line is dropped and counted; no error reaches the
    caller.

    Args:
        stream: Text stream; each line is written by one call and flushed.
        node_id: Identifier of the node, written on each line; empty to leave
            it out.

    Attributes:
        lost_count: Number of lines dropped so far.
    """

    def __init__(self, stream: TextIO, node_id: str):
        self._stream = stream
        self._node_id = node_id
        self._lock = threading.Lock()
        self.lost_count = 0

    def __call__(self, message: Mapping[str, object]) -> None:
        """Write one message as a line.

        Args:
            message: Fields of the message, those that eliot adds included.
        """
        line = format_line(self._order_fields(message)) + "\n"
        with self._lock:
            try:
                self._stream.write(line)
                self._stream.flush()
            except (OSError, ValueError):
                self.lost_count += 1

    def _order_fields(self, message: Mapping[str, object]) -> dict[str, object]:
        fields = {
            "time": _format_time(message["timestamp"]),
            "level": message.get("level", "info"),
            "event": message.get("message_type", "message"),
        }
        if self._node_id:
            fields["node"] = self._node_id
        for key, value in message.items():
            if key not in _ELIOT_FIELDS:
                fields.setdefault(key, value)
        return fields


def _format_time(timestamp: float) -> str:
    utc_time = datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
    return utc_time.isoformat(timespec="milliseconds").replace("+00:00", "Z")
