"""Tests of daemons that start before their settings file is whole."""

import os
import signal
import time
import unittest

from kumquatwalk.cli.tests.daemon_case import DaemonCase


class SettingsTest(DaemonCase):

    # Guards against FAULT: a settings file that was still being written ended
    # each start until it was whole.
    def test_settings_that_are_not_whole_yet_are_waited_for(self):
        whole = self.settings
        for text in (None, "", whole[: len(whole) // 2], "node = 1\n"):
            with self.subTest(text=text):
                self.path.unlink(missing_ok=True)
                if text is not None:
                    self.write_settings(text)
                self.start_daemon()
                self.wait_for_line("error: ")
                self.process.send_signal(signal.SIGHUP)
                self.write_settings(whole)
                self.wait_for_line("event=daemon_started ")
                self.wait_until_listening("outbound")
                self.assertEqual(
                    self.stop_daemon(signal.SIGKILL), -signal.SIGKILL
                )

    def test_stop_while_settings_are_waited_for_ends_with_code_0(self):
        self.start_daemon()
        self.wait_for_line("error: ")
        self.assertEqual(self.stop_daemon(signal.SIGTERM), 0)

    # Guards against FAULT: a second signal came while the interpreter ended,
    # which had given the signals back their default actions.
    def test_signals_at_the_end_do_not_change_the_exit_code(self):
        for number in (signal.SIGTERM, signal.SIGHUP):
            with self.subTest(number=number):
                self.start_daemon()
                self.wait_for_line("error: ")
                self.process.send_signal(signal.SIGTERM)
                while self.process.poll() is None:
                    self.process.send_signal(number)
                self.assertEqual(self.process.returncode, 0)

    # Guards against FAULT: a problem of the settings that could not be
    # reported, as nobody read standard error or its disk was full, ended the
    # start.
    def test_settings_are_waited_for_without_standard_error(self):
        reader, pipe = os.pipe()
        os.close(reader)
        full = os.open("/dev/full", os.O_WRONLY)
        for stderr in (pipe, full):
            self.addCleanup(os.close, stderr)
            with self.subTest(stderr=stderr):
                self.path.unlink(missing_ok=True)
                self.start_daemon(stderr=stderr)
                time.sleep(1.0)
                self.write_settings(self.settings)
                self.wait_for_line("event=daemon_started ")
                self.assertEqual(self.stop_daemon(signal.SIGTERM), 0)


if __name__ == "__main__":
    unittest.main()
