"""Base of tests that run the daemon in a process of its own."""

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from kumquatwalk.standin.deployed_command import ROOT
from kumquatwalk.standin.deployed_command import read_deployed_command

__all__ = ["HOST", "LISTENERS", "DaemonCase"]

HOST = "127.0.0.1"
LISTENERS = ("inbound", "outbound", "ready", "control", "metrics")
TIMEOUT_S = 60.0
_POLL_S = 0.02
_SETTINGS = """\
node = "sidecar-a-1"
ip = "127.0.0.1"
zone = "zone-a"
service = "web"
appAddr = "127.0.0.1:9"
portRange = [{metrics},{metrics}]
bounds = ["graceS=6"]
[listen]
inbound = "127.0.0.1:{inbound}"
outbound = "127.0.0.1:{outbound}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[platform]
address = "127.0.0.1:9"
"""


class DaemonCase(unittest.TestCase):
    """Daemon process whose ports were free when the test began.

    Attributes:
        ports: Ports by listener name.
        path: Path of the settings file, which does not exist yet.
        process: Daemon process; None until ``start_daemon``.
    """

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, "node.toml")
        sockets = [socket.create_server((HOST, 0)) for _ in LISTENERS]
        numbers = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        self.ports = dict(zip(LISTENERS, numbers))
        self.process: subprocess.Popen | None = None

    @property
    def settings(self) -> str:
        """Text of the settings file."""
        return _SETTINGS.format(**self.ports)

    def start_daemon(self, **options) -> None:
        """Start the daemon by the command of the deploy file.

        Args:
            **options: Options of ``subprocess.Popen``; standard output and
                error are one pipe by default.
        """
        output = {"stdout": subprocess.PIPE, "stderr": subprocess.STDOUT}
        self.process = subprocess.Popen(
            [sys.executable, *read_deployed_command()[1:]],
            cwd=ROOT,
            env=os.environ | {"KUMQUATWALK_CONFIG": str(self.path)},
            text=True,
            **(output | options),
        )
        self.addCleanup(self.process.communicate)
        self.addCleanup(self.process.kill)

    def write_settings(self, text: str) -> None:
        """Replace the settings file."""
        file = self.path.with_suffix(".new")
        file.write_text(text, encoding="utf-8")
        file.rename(self.path)

    def wait_for_line(self, part: str) -> None:
        """Wait until the process has written a line with a part."""
        lines = []
        for line in self.process.stdout:
            lines.append(line)
            if part in line:
                return
        self.fail("".join(lines))

    def wait_until_listening(self, listener: str) -> None:
        """Wait until a listener of the process accepts connections."""
        give_up_at = time.monotonic() + TIMEOUT_S
        while time.monotonic() < give_up_at and self.process.poll() is None:
            try:
                address = (HOST, self.ports[listener])
                socket.create_connection(address, TIMEOUT_S).close()
                return
            except ConnectionRefusedError:
                time.sleep(_POLL_S)
        self.fail(f"{listener}: status {self.process.poll()}")

    def stop_daemon(self, number: int) -> int:
        """Send a signal and return the exit status of the process."""
        self.process.send_signal(number)
        self.process.communicate(timeout=TIMEOUT_S)
        return self.process.returncode
