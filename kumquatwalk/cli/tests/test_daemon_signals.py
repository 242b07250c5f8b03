"""Tests of signals to the ``daemon`` command, in its own process."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
TIMEOUT_S = 60.0
POLL_S = 0.01
PAUSE_S = 0.6
SETTINGS = """\
node = "sidecar-a-1"
machineClass = "sidecar"
ip = "127.0.0.1"
zone = "zone-a"
service = "web"
appAddr = "127.0.0.1:9"
portRange = [{ports[0]},{ports[0]}]
bounds = ["graceS=6"]
[listen]
inbound = "127.0.0.1:{ports[1]}"
outbound = "127.0.0.1:{ports[2]}"
ready = "127.0.0.1:{ports[3]}"
control = "127.0.0.1:{ports[4]}"
[platform]
address = "127.0.0.1:9"
"""


def make_settings() -> str:
    """Return a settings file with ports that are free at present."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(5)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return SETTINGS.format(ports=ports)


class SignalTest(unittest.TestCase):

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, "node.toml")
        # Until the settings are written, the process waits in its start.
        os.mkfifo(self.path)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "kumquatwalk", "daemon"],
            cwd=ROOT,
            env=os.environ | {"KUMQUATWALK_CONFIG": str(self.path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(self.process.communicate)
        self.addCleanup(self.process.kill)

    def _open_settings(self) -> int:
        """Wait until the process reads its settings.

        Returns:
            Descriptor to write the settings to.
        """
        give_up_at = time.monotonic() + TIMEOUT_S
        while time.monotonic() < give_up_at:
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                time.sleep(POLL_S)
        self.fail("the process did not read its settings")

    def _write_settings(self, descriptor: int) -> None:
        text = make_settings()
        file = self.path.with_suffix(".new")
        file.write_text(text, encoding="utf-8")
        file.rename(self.path)
        try:
            os.write(descriptor, text.encode())
        except BrokenPipeError:
            code = self.process.wait(TIMEOUT_S)
            self.fail(f"the process has ended with code {code}")
        finally:
            os.close(descriptor)

    def _wait_for(self, event: str) -> str:
        """Return the line of an event once the process has logged it."""
        lines = []
        for line in self.process.stdout:
            lines.append(line)
            if f"event={event} " in line + " ":
                return line
        return self.fail("".join(lines))

    def test_settings_change_during_the_start_does_not_end_the_process(self):
        # Guards against LOST: SIGHUP ended a process that had just started.
        settings = self._open_settings()
        self.process.send_signal(signal.SIGHUP)
        time.sleep(POLL_S)
        self._write_settings(settings)
        self._wait_for("daemon_started")
        self.process.send_signal(signal.SIGTERM)
        self.process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(self.process.returncode, 0)

    def test_stop_during_the_start_ends_with_code_0(self):
        # Guards against LOST: SIGTERM took its default action in the start.
        settings = self._open_settings()
        self.process.send_signal(signal.SIGTERM)
        time.sleep(POLL_S)
        self._write_settings(settings)
        self.process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(self.process.returncode, 0)

    # Guards against FAULT: a signal that the daemon has no use for ended it, in
    # its start, while it served and in its stop, with all that it owed.
    def test_signals_without_a_use_do_not_end_the_process(self):
        settings = self._open_settings()
        self._send_unused_signals()
        self._write_settings(settings)
        self._wait_for("signal_ignored")
        self._wait_for("daemon_started")
        self._send_unused_signals()
        self._wait_for("signal_ignored")
        self.process.send_signal(signal.SIGTERM)
        self._wait_for("daemon_stopping")
        self._send_unused_signals()
        self._wait_for("daemon_drained")
        self.process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(self.process.returncode, 0)

    def _send_unused_signals(self) -> None:
        for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM):
            self.process.send_signal(number)

    def test_second_signals_do_not_change_a_stop(self):
        # Guards against LOST: a stop is cut short by another signal.
        self._write_settings(self._open_settings())
        self._wait_for("daemon_started")
        self.process.send_signal(signal.SIGTERM)
        self._wait_for("daemon_stopping")
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGHUP)
        self._wait_for("daemon_drained")
        self.process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(self.process.returncode, 0)

    def test_stop_of_a_paused_process_counts_from_the_signal(self):
        # Guards against LOST: SIGKILL came before the end of a stop that had
        # begun late.
        self._write_settings(self._open_settings())
        self._wait_for("daemon_started")
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)
        self.process.send_signal(signal.SIGTERM)
        time.sleep(PAUSE_S)
        self.process.send_signal(signal.SIGCONT)
        line = self._wait_for("daemon_stopping")
        late_s = float(line.rpartition("late_s=")[2].split()[0])
        self.assertGreaterEqual(late_s, PAUSE_S)
        self.process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(self.process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
