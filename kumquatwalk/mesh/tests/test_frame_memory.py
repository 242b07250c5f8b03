"""Test of the memory that a frame takes while it is received."""

import tracemalloc
import unittest

from kumquatwalk.mesh.codec import FrameReader
from kumquatwalk.mesh.codec import make_frame

FRAME_BYTES = 10_000_000
READ_BYTES = 250_000


class FrameMemoryTest(unittest.TestCase):

    # Guards against FAULT: large replies took the node of their callers near
    # its memory; each was copied twice when its frame was complete.
    def test_complete_frame_is_copied_once(self):
        stream = make_frame(bytes(FRAME_BYTES))
        reader = FrameReader()
        reader.feed(stream[:-READ_BYTES])
        last = stream[-READ_BYTES:]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        # What exists already is not traced until it is moved.
        payloads = reader.feed(last)
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual(sum(map(len, payloads)), FRAME_BYTES)
        self.assertEqual(reader.pending_bytes, 0)
        self.assertLess(peak, 2.6 * FRAME_BYTES)


if __name__ == "__main__":
    unittest.main()
