"""Reports an event loop that does not turn, to standard error."""

import asyncio
import pathlib
import sys
import time

from kumquatwalk.clock import read_now

__all__ = ["watch_loop"]

_INTERVAL_S = 0.1
_BLOCKED_S = 1.0


async def watch_loop() -> None:
    """Report each time for which the running event loop did not turn.

    That is the time that has passed, the processor time that the process took
    of it and the time for which it waited for a processor.
    """
    while True:
        began_at, used_before_s = read_now(), time.process_time()
        waited_before_s = _read_run_delay()
        await asyncio.sleep(_INTERVAL_S)
        blocked_s = read_now() - began_at
        if blocked_s > _BLOCKED_S:
            waited_s = _read_run_delay() - waited_before_s
            used_s = time.process_time() - used_before_s
            print(
                f"event=loop_blocked seconds={blocked_s:.3f}"
                f" processor_s={used_s:.3f} waited_s={waited_s:.3f}",
                file=sys.stderr,
                flush=True,
            )


def _read_run_delay() -> float:
    """Return how long this process has waited for a processor, in seconds."""
    fields = pathlib.Path("/proc/self/schedstat").read_text(encoding="ascii")
    return int(fields.split()[1]) / 1e9
