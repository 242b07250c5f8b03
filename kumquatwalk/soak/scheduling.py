"""Times for which the machine kept processes waiting for a processor."""

import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import Callable
from collections.abc import Iterable

from kumquatwalk.clock import read_now

__all__ = ["ProcessWait", "SchedulingWatch"]

SAMPLE_S = 0.2
WAIT_MIN_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessWait:
    """Time for which a process was ready to run and did not.

    Attributes:
        node: Node of the process, or ``driver`` for the soak's own.
        pid: The process.
        at: End of the sample in which it ran again, in seconds.
        wait_s: Time that it waited in all before, in seconds.
    """

    node: str
    pid: int
    at: float
    wait_s: float


class SchedulingWatch:
    """Samples how long processes waited, from ``/proc/PID/schedstat``.

    Args:
        list_processes: Returns the names and process ids at present.

    Attributes:
        waits: Long waits of the past.
    """

    def __init__(self, list_processes: Callable[[], Iterable[tuple[str, int]]]):
        self.waits: list[ProcessWait] = []
        self._list_processes = list_processes
        self._waited_ns: dict[int, int] = {}

    async def run(self) -> None:
        """Sample all processes until cancelled."""
        while True:
            self.sample(read_now())
            await asyncio.sleep(SAMPLE_S)

    def sample(self, now: float) -> None:
        """Note the waits since the last sample.

        Args:
            now: Current time, in seconds.
        """
        for name, pid in self._list_processes():
            waited_ns = _read_waited(pid)
            wait_s = (waited_ns - self._waited_ns.get(pid, waited_ns)) / 1e9
            self._waited_ns[pid] = waited_ns
            if wait_s >= WAIT_MIN_S:
                self.waits.append(ProcessWait(name, pid, now, wait_s))


def _read_waited(pid: int) -> int:
    """Return the time in nanoseconds; 0 if it is not known."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text("ascii")
        return int(text.split()[1])
    return 0
