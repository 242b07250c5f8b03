"""Tests of the ``explain`` command."""

import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from kumquatwalk.cli.main import main
from kumquatwalk.logs.parser import parse_line

CALLER = """\
time=2026-07-17T20:07:10.000Z level=info event=daemon_started node=vm-1 zone=a
time=2026-07-17T20:07:22.500Z level=info event=request_refused node=vm-1 attempt=b2.c3 code=overloaded retry_after_s=0.5
time=2026-07-17T20:07:23.000Z level=info event=request_outcome_unknown node=vm-1 attempt=a1 route=pay tried=vm-2 code=target_failed
time=2026-07-17T20:07:23.050Z level=warning event=request_unanswered node=vm-1 request=d4 stage=passed_on end=process_end elapsed_s=0.7
time=2026-07-17T20:07:23.100Z level=info event=request_refused node=vm-1 attempt=a10 code=overloaded retry_after_s=0.5
"""
TARGET = """\
time=2026-07-17T20:07:22.990Z level=info event=target_exchange_failed node=vm-2 attempt=a1 code=connection_lost error="reset by \\"peer\\"" sent=true
time=2026-07-17T20:07:21.000Z level=info event=daemon_stopping node=vm-2
time=2026-07-17T20:01:00.000Z level=info event=daemon_stopping node=vm-2
time=2026-07-17T20:07:22.000Z level=info event=daemon_stopping node=vm-3
time=2026-07-17T20:07:24.000Z level=info event=target_chan"""


class ExplainTest(unittest.TestCase):

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.files = []
        for name, text in (("caller", CALLER), ("target", TARGET)):
            path = pathlib.Path(directory.name, name)
            path.write_text(text, encoding="utf-8")
            self.files.append(str(path))

    def explain(self, request_id, *options, files=None, text=None):
        """Run the command."""
        files = self.files if files is None else files
        arguments = ["explain", request_id, *files, *options]
        return CliRunner().invoke(main, arguments, input=text)

    def test_timeline_and_cause_from_logs_in_any_order(self):
        for files in (self.files, self.files[::-1]):
            result = self.explain("a1", files=files)
            self.assertEqual(result.exit_code, 0, result.output)
            lines = result.stdout.splitlines()
            events = [
                line[1:].split("s ", 1)[1].split()[1] for line in lines[:-1]
            ]
            self.assertEqual(
                events,
                [
                    "daemon_stopping",
                    "target_exchange_failed",
                    "request_outcome_unknown",
                ],
            )
            self.assertEqual(
                lines[-1],
                "cause: may have run at vm-2: target_failed; the exchange with"
                " the target beside vm-2 broke: connection_lost (reset by"
                ' "peer"); stopping meanwhile: vm-2',
            )

    def test_refused_call_is_the_cause_of_its_request(self):
        result = self.explain("b2")
        self.assertIn(
            "cause: a call that it needed refused, not run, because overloaded",
            result.stdout,
        )

    # Guards against LOST: no log line said that a request got no answer.
    def test_request_without_an_answer_names_its_stage_and_end(self):
        result = self.explain("d4")
        self.assertEqual(
            result.stdout.splitlines()[-1],
            "cause: ended without a complete answer at stage passed_on:"
            " process_end",
        )

    def test_logs_from_standard_input_as_json(self):
        result = self.explain("a10", "--json", files=[], text=CALLER)
        document = json.loads(result.stdout)
        self.assertEqual(
            document["cause"], "refused, not run, because overloaded"
        )

    def test_request_without_log_lines(self):
        result = self.explain("zz")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no log line belongs to request zz", result.stdout)


class ParseLineTest(unittest.TestCase):

    def test_logged_values_are_unquoted(self):
        line = r'x: event=e a="b \"c\" d" n=3 empty="" tab="\t" u="\u00e9"'
        self.assertEqual(
            parse_line(line),
            {
                "event": "e",
                "a": 'b "c" d',
                "n": "3",
                "empty": "",
                "tab": "\t",
                "u": "é",
            },
        )

    def test_truncated_lines_keep_complete_fields(self):
        self.assertEqual(parse_line('event=e a="b c'), {"event": "e"})
        self.assertEqual(parse_line(""), {})


if __name__ == "__main__":
    unittest.main()
