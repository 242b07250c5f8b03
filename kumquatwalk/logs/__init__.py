"""Structured event log: one line of key=value pairs for each event."""

from kumquatwalk.logs.event_log import close_logs
from kumquatwalk.logs.event_log import log_event
from kumquatwalk.logs.event_log import start_logs
from kumquatwalk.logs.level import Level

__all__ = ["Level", "close_logs", "log_event", "start_logs"]
