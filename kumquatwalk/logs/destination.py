"""Destination of eliot messages that writes lines to a stream."""

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
    """Callable that eliot passes each message to.

    A stream that cannot be written to loses the line; it never fails the
    caller.

    Args:
        stream: Text stream; each line is written by one call and flushed.
        node_id: Name of the node, written on each line; empty to leave it out.
    """

    def __init__(self, stream: TextIO, node_id: str):
        self._stream = stream
        self._node_id = node_id
        self._lock = threading.Lock()
        self.lost_count = 0

    def __call__(self, message: Mapping[str, object]) -> None:
        """Write one message.

        Args:
            message: Fields of the message as eliot gives them.
        """
        line = format_line(self._arrange_fields(message)) + "\n"
        with self._lock:
            try:
                self._stream.write(line)
                self._stream.flush()
            except (OSError, ValueError):
                self.lost_count += 1

    def _arrange_fields(
        self, message: Mapping[str, object]
    ) -> dict[str, object]:
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
    moment = datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
