"""Exit codes of the program, after sysexits of BSD where one fits."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    ``USAGE`` is what click uses for a malformed command line.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 65
    UNAVAILABLE = 69
    CONFLICT = 75
    UNKNOWN_OUTCOME = 76
    CONFIGURATION = 78
