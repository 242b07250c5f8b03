"""Tests of the registry and of rendering and parsing the text format."""

import math
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.metrics import Label
from kumquatwalk.metrics import MetricsRegistry
from kumquatwalk.metrics import Sample
from kumquatwalk.metrics import parse_text
from kumquatwalk.metrics import render_text
from kumquatwalk.metrics.registry import SERIES_PER_METRIC_MAX


class TextTest(unittest.TestCase):

    def setUp(self):
        self.registry = MetricsRegistry()

    def test_render(self):
        pay = Label("entry", "pay")
        counter = self.registry.counter("calls_total", pay, help_text="Calls.")
        counter.increment(3)
        self.registry.gauge("in_flight").set(1.5)
        self.registry.histogram("stage_seconds", pay).record(0.0001)
        lines = render_text(self.registry).splitlines()
        self.assertEqual(
            lines[:6],
            [
                "# HELP calls_total Calls.",
                "# TYPE calls_total counter",
                'calls_total{entry="pay"} 3',
                "# TYPE in_flight gauge",
                "in_flight 1.5",
                "# TYPE stage_seconds summary",
            ],
        )
        quantile = 'stage_seconds{entry="pay",quantile="0.5"} 0.0001'
        self.assertEqual(lines[6], quantile)
        self.assertEqual(lines[-1], 'stage_seconds_count{entry="pay"} 1')

    def test_order_of_labels_does_not_matter(self):
        a, b = Label("a", "1"), Label("b", "2")
        first = self.registry.counter("x_total", a, b)
        self.assertIs(first, self.registry.counter("x_total", b, a))

    def test_type_conflict_and_malformed_name_are_rejected(self):
        self.registry.counter("x_total")
        for name, code in (
            ("x_total", "metric_kind_conflict"),
            ("X y", "metric_name_invalid"),
        ):
            with self.assertRaises(KumquatwalkError) as caught:
                self.registry.gauge(name)
            self.assertEqual(caught.exception.code, code)

    def test_number_of_series_is_bounded(self):
        for i in range(SERIES_PER_METRIC_MAX + 10):
            label = Label("entry", str(i))
            self.registry.counter("x_total", label).increment()
        samples = parse_text(render_text(self.registry))
        self.assertEqual(len(samples), SERIES_PER_METRIC_MAX + 1)
        overflow = Sample("x_total", (Label("overflow", "true"),), 10)
        self.assertIn(overflow, samples)

    def test_failing_reader_reads_as_nan(self):
        self.registry.gauge("bad", reader=lambda: 1 / 0)
        self.registry.gauge("good", reader=lambda: 7)
        bad, good = parse_text(render_text(self.registry))
        self.assertTrue(math.isnan(bad.value))
        self.assertEqual(good.value, 7)

    @settings(derandomize=True, deadline=None)
    @given(st.text(), st.floats(allow_nan=False))
    def test_rendered_samples_are_parsed_back(self, text, value):
        registry = MetricsRegistry()
        label = Label("entry", text)
        registry.gauge("level", label).set(value)
        samples = parse_text(render_text(registry))
        self.assertEqual(samples, (Sample("level", (label,), value),))

    def test_malformed_lines_are_rejected(self):
        for text in ("x", "x{", 'x{a="} 1', "x one", 'x{a="1" b="2"} 3'):
            with self.assertRaises(KumquatwalkError, msg=text):
                parse_text(text)
