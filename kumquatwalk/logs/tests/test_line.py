"""Tests of the log line format."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.logs.line import LINE_BYTES_MAX
from kumquatwalk.logs.line import format_line
from kumquatwalk.logs.line import format_value

_VALUES = st.one_of(
    st.text(), st.integers(), st.floats(), st.booleans(), st.none()
)


class LineTest(unittest.TestCase):

    def test_plain_values_are_not_quoted(self):
        line = format_line({"event": "started", "port": 8080, "ok": True})
        self.assertEqual(line, "event=started port=8080 ok=true")

    def test_special_characters_are_quoted_and_escaped(self):
        self.assertEqual(format_value('a "b"\nc='), '"a \\"b\\"\\nc="')
        self.assertEqual(format_value(""), '""')
        self.assertEqual(format_value("\x1b\u2028"), '"\\u001b\\u2028"')

    def test_long_line_is_truncated_between_pairs(self):
        line = format_line({f"k{i}": "v" * 400 for i in range(50)})
        self.assertTrue(line.endswith("v truncated=true"))

    @settings(derandomize=True, deadline=None)
    @given(st.dictionaries(st.text(), _VALUES))
    def test_any_fields_give_one_bounded_printable_line(self, fields):
        line = format_line(fields)
        self.assertLessEqual(len(line.encode()), LINE_BYTES_MAX)
        self.assertTrue(all(" " <= char <= "~" for char in line))

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=100))
    def test_value_cannot_add_a_pair(self, text):
        value = format_value(text)
        if value[0] == '"':
            inner = value[1:-1].replace("\\\\", "").replace('\\"', "")
            self.assertNotIn('"', inner)
        else:
            self.assertNotRegex(value, r'[ ="]')
