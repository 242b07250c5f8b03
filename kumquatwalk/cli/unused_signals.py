"""Signals that a daemon has no use for, and that would end it."""

import asyncio
import signal

from kumquatwalk.cli.held_signals import has_come
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level

__all__ = ["UNUSED_SIGNALS", "ignore_unused_signals"]

# SIGQUIT and SIGABRT remain to end a process on purpose, with its stacks.
UNUSED_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM)


def ignore_unused_signals() -> None:
    """Log the unused signals that come, and those that have come before.

    They are handled on the running event loop.
    """
    loop = asyncio.get_running_loop()
    for number in UNUSED_SIGNALS:
        loop.add_signal_handler(number, _log_signal, number)
        if has_come(number):
            _log_signal(number)


def _log_signal(number: signal.Signals) -> None:
    log_event("signal_ignored", Level.WARNING, signal=number.name)
