"""Tests of the source of random bytes."""

import unittest

from kumquatwalk.random_source import BLOCK_BYTES
from kumquatwalk.random_source import RandomSource


class RandomSourceTest(unittest.TestCase):
    """Bytes taken from blocks."""

    def test_no_bytes_are_handed_out_twice(self):
        """Guards against two runs or calls with one identifier."""
        source = RandomSource()
        # 24 does not divide the block, so that a rest is left over.
        count = 3 * BLOCK_BYTES // 24
        taken = {source.take_bytes(24) for _ in range(count)}
        self.assertEqual(count, len(taken))
        self.assertEqual({24}, set(map(len, taken)))

    def test_hexadecimal_text_has_two_digits_a_byte(self):
        self.assertRegex(RandomSource().take_hex(16), r"\A[0-9a-f]{32}\Z")
