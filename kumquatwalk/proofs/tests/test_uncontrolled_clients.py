"""Tests that clients beyond all rules neither end nor block a process."""

import unittest

from kumquatwalk.proofs.tests.crowd_case import CrowdCase

_GET = (
    b"GET /look/0/%d HTTP/1.1\r\nHost: shop.example\r\n"
    b"Attempt-Id: a%d\r\nDeadline-Ms: 5000\r\n\r\n"
)
_CHUNKED = (
    b"POST /look/0/9 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Attempt-Id: a0\r\nDeadline-Ms: 5000\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class UncontrolledBodiesTest(CrowdCase):

    # Guards against FAULT: a process over its memory is killed, here by bodies
    # in large chunks of which the last one is missing.
    async def test_large_chunks_that_stop_short(self):
        chunk = b"10000\r\n" + bytes(65536) + b"\r\n"
        await self.check(_CHUNKED + chunk * 32, 200)

    # Guards against a process that parses chunks of one byte all the time and
    # answers nobody.
    async def test_chunks_of_one_byte_that_stop_short(self):
        await self.check(_CHUNKED + b"1\r\nx\r\n" * 120_000, 400)

    # The same by requests before a body that stops short.
    async def test_pipelined_requests_before_a_body_that_stops_short(self):
        requests = b"".join(_GET % (9, n) for n in range(200))
        await self.check(requests + _CHUNKED + b"2\r\nx", 400)


class UncontrolledHeadsTest(CrowdCase):
    memory_mb = 80

    # Guards against FAULT: the same by heads of which the end is missing.
    async def test_heads_that_stop_short(self):
        head = b"GET /look/0/1 HTTP/1.1\r\nHost: shop.example\r\n"
        await self.check(head + b"a: b\r\n" * 190, 2800)


class SlowReadersTest(CrowdCase):

    # Guards against FAULT: the same by answers that are read slowly.
    async def test_long_answers_that_are_read_slowly(self):
        await self.check(_GET % (2_000_000, 1), 100, reads_slowly=True)


class DescriptorsTest(CrowdCase):
    fds_max = 150

    # Guards against FAULT: a process without descriptors reaches neither links
    # nor target nor store.
    async def test_more_connections_than_descriptors(self):
        await self.check(b"GET /look/0/1 HTTP/1.1\r\n", 300)


if __name__ == "__main__":
    unittest.main()
