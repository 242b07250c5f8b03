"""Tests of the event log of the process."""

import io
import subprocess
import sys
import unittest

from kumquatwalk.logs import Level
from kumquatwalk.logs import close_logs
from kumquatwalk.logs import log_event
from kumquatwalk.logs import start_logs
from kumquatwalk.logs.rate_limiter import EVENTS_PER_WINDOW

_IMPORT_CHECK = """
import sys
from kumquatwalk.logs import Level, log_event, start_logs
log_event("early")
start_logs(sys.stderr, Level.WARNING)
log_event("quiet", Level.INFO)
sys.exit("eliot" in sys.modules)
"""


class EventLogTest(unittest.TestCase):

    def setUp(self):
        self.stream = io.StringIO()
        self.addCleanup(close_logs)

    def test_event_is_one_line_with_time_level_event_and_node(self):
        start_logs(self.stream, Level.INFO, "a1")
        log_event("catalogue_changed", revision=7, reason="fees\nfirst")
        line = self.stream.getvalue()
        self.assertRegex(
            line,
            r"^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info "
            r"event=catalogue_changed node=a1 revision=7 "
            r'reason="fees\\nfirst"\n$',
        )

    def test_events_below_level_or_after_close_are_not_written(self):
        start_logs(self.stream, Level.WARNING)
        log_event("quiet", Level.INFO)
        log_event("loud", Level.ERROR)
        close_logs()
        log_event("late", Level.ERROR)
        self.assertEqual(self.stream.getvalue().count("\n"), 1)
        self.assertIn("level=error event=loud", self.stream.getvalue())

    def test_close_reports_suppressed_events(self):
        start_logs(self.stream, Level.INFO)
        for _ in range(EVENTS_PER_WINDOW * 50):
            log_event("repeated")
        close_logs()
        self.assertLess(self.stream.getvalue().count("event=repeated"), 1000)
        self.assertIn("name=repeated suppressed=", self.stream.getvalue())

    def test_closed_stream_does_not_fail_the_caller(self):
        start_logs(self.stream, Level.INFO)
        self.stream.close()
        log_event("lost")

    def test_failing_str_of_a_value_does_not_fail_the_caller(self):
        class Broken:

            def __str__(self):
                raise RuntimeError("broken")

        start_logs(self.stream, Level.INFO)
        log_event("odd", value=Broken())
        log_event("next")
        self.assertIn("event=next", self.stream.getvalue())

    def test_eliot_is_imported_only_to_write_an_event(self):
        completed = subprocess.run(
            [sys.executable, "-c", _IMPORT_CHECK], check=False
        )
        self.assertEqual(completed.returncode, 0)
