"""Event loop in virtual time, whose clock advances to the next timer."""

import asyncio
import selectors

__all__ = ["VirtualLoop"]


class _NonBlockingSelector(selectors.SelectSelector):
    """Selector that adds up time-outs instead of blocking for them.

    The simulation has no sockets, so nothing can become ready meanwhile.
    """

    def select(self, timeout=None):
        """Advance the virtual time by the timeout and return at once."""
        self.virtual_time_s += timeout or 0.0
        return super().select(0)

    virtual_time_s = 0.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, in which sleeping takes no real time.

    The order of events depends on virtual time alone, so runs with the same
    seed give identical results.
    """

    def __init__(self):
        self._clock_selector = _NonBlockingSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._clock_selector.virtual_time_s
