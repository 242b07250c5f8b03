"""Exit codes of the program."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    ``USAGE`` is the code that click uses for a malformed command line;
    ``CONFIGURATION`` is ``EX_CONFIG`` of BSD's ``sysexits.h``.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    CONFIGURATION = 78
