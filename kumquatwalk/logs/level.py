"""Levels of log events."""

import enum

__all__ = ["Level"]


class Level(enum.IntEnum):
    """Level of an event; events below the chosen level are not written."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40
