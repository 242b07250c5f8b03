"""Signals that come before the process can act on them."""

import signal
from collections.abc import Iterable

__all__ = ["hold_signals", "has_come"]

_come: set[int] = set()


def hold_signals(*numbers: int, come_before: Iterable[int] = ()) -> None:
    """Keep signals from ending the process; remember those that come.

    They are held until another handler is installed. Does nothing for signals
    that are held already.

    Args:
        *numbers: Numbers of the signals.
        come_before: Signals that an earlier handler has got; read once it gets
            no more.
    """
    for number in numbers:
        if signal.getsignal(number) is not _remember:
            signal.signal(number, _remember)
    _come.update(come_before)


def has_come(number: int) -> bool:
    """Return whether a signal has come while it was held.

    Args:
        number: Number of the signal.
    """
    return number in _come


def _remember(number: int, _frame: object) -> None:
    _come.add(number)
