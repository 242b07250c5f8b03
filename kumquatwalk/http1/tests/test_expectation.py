"""Tests that a client which waits to be told to send its body is told so."""

import asyncio
import unittest

from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

_HEAD = (
    b"POST /pay HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    b"Content-Length: 5\r\n"
)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ExpectationTest(ConnectionCase):

    # Guards against a request that ends without an answer: its client waited
    # for the interim answer, and the server for the body.
    async def test_client_that_expects_to_continue_is_told_so_once(self):
        reader, writer = await self.open(_HEAD)
        writer.write(b"\r\n")
        async with asyncio.timeout(HANG_S):
            told = await reader.readexactly(len(_CONTINUE))
        self.assertEqual(told, _CONTINUE)
        writer.write(b"ab")
        await asyncio.sleep(0.01)
        writer.write(b"cde" + make_get("/last", "Connection: close\r\n"))
        answers = await self.read_all(reader)
        self.assertEqual([a[2] for a in answers], [b"/pay", b"/last"])

    async def test_client_is_told_after_the_answers_before(self):
        self.hold("/a")
        reader, writer = await self.open(make_get("/a") + _HEAD + b"\r\n")
        await self.wait_for(lambda: self.seen)
        self.release("/a")
        async with asyncio.timeout(HANG_S):
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(2)
            told = await reader.readexactly(len(_CONTINUE))
        self.assertIn(b" 200 ", head)
        self.assertEqual((body, told), (b"/a", _CONTINUE))
        writer.write(b"abcde")
        async with asyncio.timeout(HANG_S):
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))

    async def test_client_that_sends_its_body_at_once_is_not_told(self):
        extra = _HEAD + b"Connection: close\r\n\r\nabcde"
        reader, _ = await self.open(extra)
        answers = await self.read_all(reader)
        self.assertEqual([a[2] for a in answers], [b"/pay"])


if __name__ == "__main__":
    unittest.main()
