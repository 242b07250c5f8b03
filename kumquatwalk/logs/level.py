"""Severity levels of log events."""

import enum

__all__ = ["Level"]


class Level(enum.IntEnum):
    """Severity of an event; events below the level of the log are dropped."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40
