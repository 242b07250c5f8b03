"""Logs: one line of key=value pairs for each event."""

from kumquatwalk.logs.level import Level
from kumquatwalk.logs.service import close_logs
from kumquatwalk.logs.service import log_event
from kumquatwalk.logs.service import start_logs

__all__ = ["Level", "close_logs", "log_event", "start_logs"]
