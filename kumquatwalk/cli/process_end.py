"""End of a daemon's process."""

import contextlib
import os
import sys
from typing import NoReturn

from kumquatwalk.cli.exit_codes import ExitCode

__all__ = ["end_process"]


def end_process(code: ExitCode) -> NoReturn:
    """End the process without the interpreter's shutdown.

    That could outlast the grace period of the process, and gives the signals
    back their default actions, so that one that comes then would end it.

    Args:
        code: Exit code.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError):
            stream.flush()
    os._exit(code)
