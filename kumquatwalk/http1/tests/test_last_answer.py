"""Tests of the answer that ends a caller's connection, over loopback."""

import asyncio
import unittest

from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

_CLOSING = HttpResponse(200, body=b"last", closes_connection=True)


class LastAnswerTest(ConnectionCase):

    # Guards against LOST: the first answer after a stop closed the connection
    # and dropped the requests behind it, which targets were running.
    async def test_stop_answers_all_pipelined_requests_before_the_close(self):
        self.hold("/a", "/b", "/c")
        reader, _ = await self.open(b"".join(map(make_get, ("/a", "/b", "/c"))))
        await self.wait_for(lambda: len(self.seen) == 3)
        self.server.is_stopping = True
        for path in ("/b", "/a", "/c"):
            self.release(path)
        self.assertEqual(
            await self.read_all(reader),
            [(200, False, b"/a"), (200, False, b"/b"), (200, True, b"/c")],
        )

    # Guards against LOST: a request of which a part was read when the stop
    # began was dropped by the answer before it.
    async def test_stop_answers_the_request_read_in_part(self):
        self.hold("/a")
        last = make_get("/b")
        reader, writer = await self.open(make_get("/a") + last[:9])
        await self.wait_for(lambda: self.seen)
        self.server.is_stopping = True
        self.release("/a")
        async with asyncio.timeout(HANG_S):
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertNotIn(b"connection: close", head.lower())
            self.assertEqual(await reader.readexactly(2), b"/a")
        writer.write(last[9:])
        self.assertEqual(await self.read_all(reader), [(200, True, b"/b")])

    # Guards against LOST: an answer of the handler that closes the connection
    # dropped the requests behind it.
    async def test_closing_answer_waits_for_the_requests_behind_it(self):
        self.hold("/a", "/b")
        self.answers["/a"] = _CLOSING
        reader, writer = await self.open(make_get("/a") + make_get("/b"))
        await self.wait_for(lambda: len(self.seen) == 2)
        self.release("/a")
        async with asyncio.timeout(HANG_S):
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertNotIn(b"connection: close", head.lower())
            self.assertEqual(await reader.readexactly(4), b"last")
        writer.write(make_get("/c"))
        await writer.drain()
        self.release("/b")
        self.assertEqual(await self.read_all(reader), [(200, True, b"/b")])
        self.assertEqual(self.seen, ["/a", "/b"])

    # Guards against UNASKED: bytes behind a malformed request are no request.
    async def test_nothing_is_taken_behind_a_malformed_request(self):
        self.hold("/a")
        reader, _ = await self.open(make_get("/a"))
        await self.wait_for(lambda: self.seen)
        connection = next(iter(self.server.connections))
        # The pieces are passed in by hand, so that they are read separately.
        connection.data_received(b"NONSENSE\r\n\r\n")
        connection.data_received(make_get("/b"))
        self.release("/a")
        answers = await self.read_all(reader)
        self.assertEqual([a[:2] for a in answers], [(200, False), (400, True)])
        self.assertEqual(self.seen, ["/a"])


if __name__ == "__main__":
    unittest.main()
