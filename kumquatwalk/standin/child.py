"""A process of this program, started by a test, a benchmark or the demo."""

import os
import select
import signal
import subprocess
import sys
import tempfile
import time

from kumquatwalk.exception import KumquatwalkError

__all__ = ["ChildProcess"]

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0


class ChildProcess:
    """One process of this program and what it prints.

    Args:
        arguments: Arguments after the program's name.

    Attributes:
        addresses: ``host:port`` by name, from the line that the process prints
            when it is ready; a single address has the name ``""``.
    """

    def __init__(self, arguments: list[str]):
        self._arguments = arguments
        self._log = tempfile.TemporaryFile()
        self._process: subprocess.Popen | None = None
        self.addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Identifier of the process."""
        return self._process.pid

    def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            KumquatwalkError: It ended or was not ready in time.
        """
        self._process = subprocess.Popen(
            [sys.executable, "-m", "kumquatwalk", *self._arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )
        line = self._read_line(time.monotonic() + _START_TIMEOUT_S)
        if not line.startswith("listening "):
            self.kill()
            raise KumquatwalkError("child_failed", line + self.read_log())
        for word in line.split()[1:]:
            name, separator, address = word.rpartition("=")
            self.addresses[name if separator else ""] = address

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it has not ended."""
        if self.is_running():
            os.kill(self.pid, number)

    def freeze(self) -> None:
        """Stop the process until ``thaw``."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def stop(self) -> int:
        """Ask the process to stop and wait for its end.

        Returns:
            Its exit status.
        """
        self.thaw()
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait for the end of the process; kill it when that takes long."""
        try:
            status = self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            status = self._process.wait()
        self._process.stdout.close()
        return status

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self.wait()

    def read_log(self) -> str:
        """Return what the process wrote to standard error."""
        self._log.seek(0)
        return self._log.read().decode("utf-8", "replace")

    def _read_line(self, give_up_at: float) -> str:
        stdout = self._process.stdout
        line = b""
        while not line.endswith(b"\n"):
            left_s = max(give_up_at - time.monotonic(), 0.0)
            if not select.select([stdout], [], [], left_s)[0]:
                return "no ready line in time\n"
            piece = os.read(stdout.fileno(), 4096)
            if not piece:
                return "ended before it was ready\n"
            line += piece
        return line.decode()
