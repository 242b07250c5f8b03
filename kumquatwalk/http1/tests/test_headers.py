"""Tests for the filtering of hop-by-hop headers."""

import unittest

from kumquatwalk.http1.headers import remove_hop_by_hop


class HeadersTest(unittest.TestCase):

    def test_hop_by_hop_and_excluded_headers_are_removed(self):
        headers = (
            (b"Accept", b"*/*"),
            (b"Connection", b"close, X-Private"),
            (b"X-Private", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Content-Length", b"5"),
            (b"X-Public", b"2"),
        )
        kept = remove_hop_by_hop(headers, frozenset((b"accept",)))
        self.assertEqual(kept, ((b"X-Public", b"2"),))


if __name__ == "__main__":
    unittest.main()
