"""Child process that runs a kumquatwalk command."""

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
    """Subprocess of the kumquatwalk command line and its output.

    Args:
        arguments: Command-line arguments, without the program name.

    Attributes:
        addresses: Listening addresses as ``host:port`` by listener name, read
            from the line that the process prints once it is ready. An address
            without a name has the key ``""``.
    """

    def __init__(self, arguments: list[str]):
        self._arguments = arguments
        self._log = tempfile.TemporaryFile()
        self._process: subprocess.Popen | None = None
        self.addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            KumquatwalkError: The process ended, or did not get ready within
                30 s (code ``child_failed``); it has been killed.
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
        """Send a signal to the process if it is running."""
        if self.is_running():
            os.kill(self.pid, number)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process; None while it runs or was not started."""
        return None if self._process is None else self._process.poll()

    def stop(self) -> int:
        """Terminate the process with SIGTERM and wait until it ends.

        A suspended process is resumed first, so that it can handle the signal.

        Returns:
            Exit status of the process.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait until the process ends; kill it after 20 s.

        Returns:
            Exit status of the process.
        """
        try:
            status = self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            status = self._process.wait()
        self._process.stdout.close()
        return status

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it ends."""
        self.signal(signal.SIGKILL)
        self.wait()

    def read_log(self) -> str:
        """Return the standard error output of the process so far."""
        self._log.seek(0)
        return self._log.read().decode("utf-8", "replace")

    def _read_line(self, deadline: float) -> str:
        stdout = self._process.stdout
        line = b""
        while not line.endswith(b"\n"):
            remaining_s = max(deadline - time.monotonic(), 0.0)
            if not select.select([stdout], [], [], remaining_s)[0]:
                return "process did not report its addresses in time\n"
            chunk = os.read(stdout.fileno(), 4096)
            if not chunk:
                return "process ended before it was ready\n"
            line += chunk
        return line.decode()
