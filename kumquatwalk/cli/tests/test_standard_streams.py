"""Tests of daemons that start without standard input or output."""

import os
import signal
import subprocess
import unittest

from kumquatwalk.cli.tests.daemon_case import DaemonCase


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


if __name__ == "__main__":
    unittest.main()
