"""Tests of daemons that start without standard input or output."""

import os
import signal
import subprocess
import sys
import time
import unittest

from kumquatwalk.cli.tests.daemon_case import DaemonCase
from kumquatwalk.standin.deployed_command import ROOT

# Time in which a native node has started, and in which it has stopped.
START_S = 3.0
STOP_S = 30.0
NODE = "node --node-id n1 --zone z1 --host 127.0.0.1 --platform 127.0.0.1:9"
PORTS = "--http-port 0 --local-port 0 --link-port 0"


class OutputTest(DaemonCase):

    # Guards against FAULT: a process that was started without standard output,
    # or without standard output and error, ended at its start.
    def test_closed_standard_descriptors_do_not_end_the_process(self):
        self.write_settings(self.settings)
        for numbers in ((0,), (1,), (2,), (1, 2), (0, 1, 2)):
            with self.subTest(closed=numbers):
                self.start_daemon(
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                    # pylint: disable-next=subprocess-popen-preexec-fn
                    preexec_fn=lambda numbers=numbers: [
                        os.close(number) for number in numbers
                    ],
                )
                self.wait_until_listening("outbound")
                self.assertEqual(
                    self.stop_daemon(signal.SIGKILL), -signal.SIGKILL
                )


class NativeOutputTest(unittest.TestCase):

    # Guards against FAULT: a native node that was started without standard
    # output or error was ended by SIGABRT, or at its start.
    def test_closed_standard_descriptors_do_not_end_a_node(self):
        command = [sys.executable, "-m", "kumquatwalk"]
        for number in (0, 1, 2):
            with (
                self.subTest(closed=number),
                # pylint: disable-next=subprocess-popen-preexec-fn
                subprocess.Popen(
                    [*command, *NODE.split(), *PORTS.split()],
                    cwd=ROOT,
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                    preexec_fn=lambda number=number: os.close(number),
                ) as process,
            ):
                self.addCleanup(process.kill)
                time.sleep(START_S)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(STOP_S), 0)


if __name__ == "__main__":
    unittest.main()
