"""Standard input and output that the process may have been started without."""

import os
import sys

__all__ = ["open_standard_streams"]


def open_standard_streams() -> None:
    """Open ``os.devnull`` for each standard descriptor that is closed.

    Its number would else be that of a file or connection opened later, into
    which messages of the interpreter and of libraries would be written.
    """
    for number, name, mode in (
        (0, "stdin", "r"),
        (1, "stdout", "w"),
        (2, "stderr", "w"),
    ):
        try:
            os.fstat(number)
        except OSError:
            # The lowest free descriptor, so that it gets this number.
            os.open(os.devnull, os.O_RDWR)
        if getattr(sys, name) is None:
            stream = open(number, mode, encoding="utf-8", closefd=False)
            setattr(sys, name, stream)
