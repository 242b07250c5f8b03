"""Child processes of the program, started for a benchmark."""

import os
import pathlib
import subprocess
import sys

__all__ = ["ProgramProcess"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_READY_PREFIX = "listening"
_STOP_TIMEOUT_S = 40


class ProgramProcess:
    """Child process that prints the addresses on which it listens.

    Args:
        *arguments: Command-line arguments.
        module: Module to run with ``python -m``.

    Attributes:
        addresses: Listening addresses by name; one without a name is ``main``.
            Empty before ``start``.
    """

    def __init__(self, *arguments: str, module: str = "kumquatwalk"):
        self._arguments = arguments
        self._module = module
        self._process: subprocess.Popen | None = None
        self.addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Process id; available after ``start``."""
        return self._process.pid

    def start(self) -> None:
        """Start the process and wait until it listens.

        Raises:
            RuntimeError: The process ended, or its first line of output is not
                its list of addresses.
        """
        self._process = subprocess.Popen(
            [sys.executable, "-m", self._module, *self._arguments],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        words = self._process.stdout.readline().split()
        if not words or words[0] != _READY_PREFIX:
            self.close()
            raise RuntimeError(
                f"process did not start: {' '.join(self._arguments)}"
            )
        for word in words[1:]:
            name, _, address = word.rpartition("=")
            self.addresses[name or "main"] = address

    def close(self) -> None:
        """Terminate the process, and kill it if it has not ended after 40 s."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.terminate()
        try:
            self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def read_cpu_s(self) -> float:
        """Return the CPU time used so far, user and system, in seconds."""
        path = pathlib.Path(f"/proc/{self.pid}/stat")
        fields = path.read_text(encoding="utf-8").rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def read_switches(self) -> int:
        """Return the number of context switches of all threads so far."""
        total = 0
        for path in pathlib.Path(f"/proc/{self.pid}/task").glob("*/status"):
            for line in path.read_text(encoding="utf-8").splitlines():
                if "ctxt_switches" in line:
                    total += int(line.split()[1])
        return total
