"""Tests of signals that come while the interpreter itself starts."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from kumquatwalk.cli.tests.daemon_case import DaemonCase
from kumquatwalk.standin.deployed_command import ROOT
from kumquatwalk.standin.deployed_command import read_deployed_command

TIMEOUT_S = 60.0
POLL_S = 0.01
# Read by the interpreter as a part of ``site``; waits until the test goes on.
GATE = """\
import os
with open(os.environ["SITE_GATE"], encoding="ascii") as gate:
    gate.read()
"""
EXIT_CONFIGURATION = 78


def make_command() -> list[str]:
    """Return the command by which the platform starts the daemon."""
    return [sys.executable, *read_deployed_command()[1:]]


class EarlySignalTest(unittest.TestCase):

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        folder = pathlib.Path(directory.name)
        (folder / "sitecustomize.py").write_text(GATE, encoding="ascii")
        self.gate = folder / "gate"
        os.mkfifo(self.gate)
        settings = folder / "node.toml"
        environment = {
            "PYTHONPATH": str(folder),
            "SITE_GATE": str(self.gate),
            "KUMQUATWALK_CONFIG": str(settings),
        }
        # A file that is not valid settings ends the daemon with its own code.
        settings.write_text("node = 1\n", encoding="ascii")
        self.process = subprocess.Popen(
            make_command(),
            cwd=ROOT,
            env=os.environ | environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(self.process.communicate)
        self.addCleanup(self.process.kill)

    def _open_gate(self) -> int:
        """Wait until the interpreter has reached ``site``.

        Returns:
            Descriptor whose close lets the interpreter go on.
        """
        give_up_at = time.monotonic() + TIMEOUT_S
        while time.monotonic() < give_up_at:
            try:
                return os.open(self.gate, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                time.sleep(POLL_S)
        return self.fail("the interpreter did not reach its site module")

    def _signal_in_site(self, *numbers: int) -> None:
        gate = self._open_gate()
        for number in numbers:
            self.process.send_signal(number)
        time.sleep(POLL_S)
        os.close(gate)
        self.process.communicate(timeout=TIMEOUT_S)

    # Guards against FAULT: a SIGHUP while the interpreter set up its path ended
    # the process with status -1.
    def test_settings_change_before_site_does_not_end_the_process(self):
        self._signal_in_site(signal.SIGHUP, signal.SIGHUP)
        self.assertEqual(self.process.returncode, EXIT_CONFIGURATION)

    # Guards against FAULT: a signal without a use ended a process in that time.
    def test_unused_signals_before_site_do_not_end_the_process(self):
        self._signal_in_site(signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM)
        self.assertEqual(self.process.returncode, EXIT_CONFIGURATION)

    # Guards against FAULT: SIGTERM in that time ended the process with -15, so
    # that a planned stop looked like a process that was ended.
    def test_stop_before_site_is_a_planned_stop(self):
        self._signal_in_site(signal.SIGTERM)
        self.assertIn(self.process.returncode, (0, EXIT_CONFIGURATION))


class FirstLineTest(DaemonCase):

    # Guards against FAULT: a SIGHUP before the first line of the program ended
    # the process, as no program can hold signals there.
    def test_settings_change_before_the_first_line_does_not_end_it(self):
        self.start_daemon()
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_line("error: ")


class CommandTest(unittest.TestCase):

    # Guards against FAULT: modules of the package hide those of the standard
    # library when the file itself is run.
    def test_deployed_command_imports_as_the_module_does(self):
        outputs = [
            subprocess.run(
                [*command, "version"],
                cwd=ROOT,
                capture_output=True,
                check=True,
            ).stdout
            for command in (
                make_command()[:-1],
                [sys.executable, "-m", "kumquatwalk"],
            )
        ]
        self.assertEqual(*outputs)

    # Guards against FAULT: the folder of libraries, first on the path where the
    # interpreter adds no folder of its own, was replaced by the program's.
    def test_deployed_command_keeps_the_path_of_libraries(self):
        with tempfile.TemporaryDirectory() as folder:
            module = pathlib.Path(folder, "sitecustomize.py")
            module.write_text("print('found')", encoding="ascii")
            for name in ("PYTHONSAFEPATH", "PYTHONDONTWRITEBYTECODE"):
                output = subprocess.run(
                    [*make_command()[:-1], "version"],
                    cwd=ROOT,
                    env=os.environ | {"PYTHONPATH": folder, name: "1"},
                    capture_output=True,
                    check=True,
                ).stdout
                self.assertTrue(output.startswith(b"found\n"), name)


if __name__ == "__main__":
    unittest.main()
