"""Tests of the ways in which a handler ends without an answer."""

import asyncio
import unittest

from kumquatwalk.exception import AnswerWithheldError
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get


class HandlerEndsTest(ConnectionCase):
    """Server whose handler raises what a test says for ``/fault``."""

    async def asyncSetUp(self):
        self.error: BaseException = ValueError()
        await super().asyncSetUp()

    async def serve(self, request):
        """Answer a request, but raise ``error`` for ``/fault``."""
        response = await super().serve(request)
        if request.url == b"/fault":
            raise self.error
        return response

    async def exchange_all(self) -> list[tuple[int, bool, bytes]]:
        """Let ``/fault`` fail between two requests; return all answers."""
        self.hold("/fault", "/b")
        reader, _ = await self.open(
            make_get("/a")
            + make_get("/fault")
            + make_get("/b", "Connection: close\r\n")
        )
        await self.wait_for(lambda: len(self.seen) == 3)
        self.release("/fault")
        await asyncio.sleep(0)
        self.release("/b")
        return await self.read_all(reader)

    # Guards against LOST: a request whose handler was cancelled by something
    # else than its caller was never answered, nor were those behind it.
    async def test_cancelled_handler_is_answered(self):
        self.error = asyncio.CancelledError()
        answers = await self.exchange_all()
        self.assertEqual([a[0] for a in answers], [200, 500, 200])

    # Guards against LOST: an error of another connection, raised within the
    # handler, closed the caller's connection without an answer.
    async def test_errors_of_other_connections_are_answered(self):
        for error in (
            ConnectionAbortedError(),
            ConnectionResetError(),
            BrokenPipeError(),
            TimeoutError(),
        ):
            with self.subTest(error=error):
                self.seen.clear()
                self.error = error
                answers = await self.exchange_all()
                self.assertEqual([a[0] for a in answers], [200, 500, 200])

    async def test_withheld_answer_closes_the_connection(self):
        self.error = AnswerWithheldError("cut_off", "simulated")
        reader, _ = await self.open(make_get("/fault"))
        self.assertEqual(await self.read_all(reader), [])
        self.assertEqual(self.seen, ["/fault"])


if __name__ == "__main__":
    unittest.main()
