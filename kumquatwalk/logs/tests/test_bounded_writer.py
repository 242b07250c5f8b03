"""Tests of the bounded log writer with a pipe whose reader stalls."""

import os
import unittest

from kumquatwalk.logs.bounded_writer import BoundedWriter

LINES = 20_000
BUFFER_BYTES = 10_000


class BoundedWriterTest(unittest.TestCase):

    def setUp(self):
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        os.set_blocking(self.reader, False)
        self.writer = BoundedWriter(descriptor, BUFFER_BYTES)

    def read_all(self) -> str:
        """Return what the pipe holds now."""
        data = b""
        while True:
            try:
                data += os.read(self.reader, 65536)
            except BlockingIOError:
                return data.decode()

    def write_lines(self, first: int, count: int) -> None:
        """Write numbered lines, each flushed as by the log."""
        for number in range(first, first + count):
            self.writer.write(f"event=tick number={number}\n")
            self.writer.flush()

    def test_stalled_reader_loses_lines_without_blocking(self):
        self.write_lines(0, LINES)
        self.assertGreater(self.writer.lost_count, 0)

    def test_resumed_reader_gets_whole_lines_and_lost_count(self):
        self.write_lines(0, LINES)
        lost = self.writer.lost_count
        text = self.read_all()
        self.write_lines(LINES, 1)
        text += self.read_all()
        lines = text.splitlines()
        self.assertIn(f"event=log_lines_lost count={lost}", lines)
        numbers = [int(x.rpartition("=")[2]) for x in lines if "tick" in x]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertEqual(len(numbers) + lost, LINES + 1)
        self.assertEqual(numbers[-1], LINES)

    def test_fast_reader_gets_every_line(self):
        for number in range(100):
            self.write_lines(number, 1)
            line = self.read_all()
            self.assertEqual(line, f"event=tick number={number}\n")
        self.assertEqual(self.writer.lost_count, 0)


if __name__ == "__main__":
    unittest.main()
