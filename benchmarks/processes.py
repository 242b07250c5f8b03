"""Processes of the program, started for a measurement."""

import os
import pathlib
import subprocess
import sys

__all__ = ["ProgramProcess"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_READY_WORD = "listening"
_STOP_TIMEOUT_S = 40


class ProgramProcess:
    """One process of the program that prints where it listens.

    Args:
        *arguments: Arguments of the program.
        module: Module that is run.

    Attributes:
        addresses: Addresses printed, by their names; an address without a
            name is called ``main``. Empty before ``start``.
    """

    def __init__(self, *arguments: str, module: str = "kumquatwalk"):
        self._arguments = arguments
        self._module = module
        self._process: subprocess.Popen | None = None
        self.addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Process id; valid after ``start``."""
        return self._process.pid

    def start(self) -> None:
        """Start the process and wait until it listens.

        Raises:
            RuntimeError: It ended without listening.
        """
        self._process = subprocess.Popen(
            [sys.executable, "-m", self._module, *self._arguments],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        words = self._process.stdout.readline().split()
        if not words or words[0] != _READY_WORD:
            self.close()
            raise RuntimeError(f"did not start: {' '.join(self._arguments)}")
        for word in words[1:]:
            name, _, address = word.rpartition("=")
            self.addresses[name or "main"] = address

    def close(self) -> None:
        """Ask the process to stop, and kill it when it does not."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.terminate()
        try:
            self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def read_cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        path = pathlib.Path(f"/proc/{self.pid}/stat")
        fields = path.read_text(encoding="utf-8").rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def read_switches(self) -> int:
        """Return the context switches of all threads so far."""
        total = 0
        for path in pathlib.Path(f"/proc/{self.pid}/task").glob("*/status"):
            for line in path.read_text(encoding="utf-8").splitlines():
                if "ctxt_switches" in line:
                    total += int(line.split()[1])
        return total
