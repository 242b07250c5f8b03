"""Clock of the process."""

import time

__all__ = ["read_now"]

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_now() -> float:
    """Return the time since the VM's boot, in seconds.

    Unlike ``time.monotonic`` it also counts the time for which the VM was
    suspended, so that deadlines and leases lapse meanwhile.
    """
    return time.clock_gettime(_CLOCK)
