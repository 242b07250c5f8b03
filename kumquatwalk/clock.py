"""Monotonic clock for deadlines and leases."""

import time

__all__ = ["read_now"]

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_now() -> float:
    """Return the monotonic time since the VM was booted, in seconds.

    Unlike ``time.monotonic``, it includes time in which the VM was suspended,
    so that deadlines and leases expire meanwhile. Where the system has no such
    clock, it is the same as ``time.monotonic``.
    """
    return time.clock_gettime(_CLOCK)
