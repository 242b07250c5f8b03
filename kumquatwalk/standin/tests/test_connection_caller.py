"""Tests of the caller that uses each connection until it ends."""

import asyncio
import contextlib
import random
import unittest

from kumquatwalk.address import Address
from kumquatwalk.standin.attempt import HABITS
from kumquatwalk.standin.attempt import Habit
from kumquatwalk.standin.connection_caller import ConnectionCaller
from kumquatwalk.standin.platform_node import make_body

HANG_GUARD_S = 20.0


class Server:
    """Answers requests without bodies in order; the fifth one closes."""

    def __init__(self, tail=b"", cut=0):
        self.tail = tail
        self.cut = cut
        self.address = None
        self._server = None

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname())

    def close(self):
        """Stop to listen."""
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            for number in range(5):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                attempt_id = head.split("Attempt-Id: ")[1].split("\r\n")[0]
                body = make_body(attempt_id, int(head.split()[1].split("/")[3]))
                close = "Connection: close\r\n" if number == 4 else ""
                answer = (
                    f"HTTP/1.1 200 OK\r\nServer-Seal: s\r\n{close}"
                    f"Content-Length: {len(body)}\r\n\r\n"
                ).encode() + body
                writer.write(answer[: len(answer) - self.cut])
                if self.cut:
                    break
            writer.write(self.tail)
        writer.close()


class ConnectionCallerTest(unittest.IsolatedAsyncioTestCase):

    async def call(self, habit, count, **options):
        """Return the attempts of one caller until there are enough."""
        server = Server(**options)
        await server.start()
        self.addCleanup(server.close)
        attempts = []
        caller = ConnectionCaller(
            "c",
            habit,
            "n1",
            server.address,
            lambda: 7,
            random.Random(3),
            attempts,
        )
        async with asyncio.timeout(HANG_GUARD_S):
            task = asyncio.create_task(caller.run())
            while len(attempts) < count:
                await asyncio.sleep(0.01)
            caller.stop()
            await task
        return attempts

    async def test_each_habit_records_whole_answers(self):
        for habit in HABITS:
            if not habit.is_safe:
                continue
            with self.subTest(habit.name):
                attempts = await self.call(habit, 8)
                whole = [a for a in attempts if a.status]
                self.assertGreaterEqual(len(whole), 4)
                self.assertTrue(all(a.has_seal and a.has_body for a in whole))
                self.assertFalse(any(a.is_followed for a in attempts))
                self.assertTrue(all(a.ended_at >= a.began_at for a in attempts))
                self.assertLessEqual(max(a.position for a in whole), 4)

    async def test_requests_behind_a_closing_answer_are_recorded(self):
        attempts = await self.call(Habit("p", 6, pause_s=(0.0, 0.0)), 40)
        behind = [a for a in attempts if not a.status]
        self.assertTrue(behind)
        self.assertTrue(all(a.is_after_close for a in behind))
        self.assertTrue(all(a.position > 4 for a in behind))
        self.assertTrue(any(a.is_last for a in attempts))

    async def test_short_answer_is_not_complete(self):
        attempts = await self.call(Habit("f", requests_max=1), 3, cut=1)
        for attempt in attempts:
            self.assertEqual((attempt.status, attempt.error), (0, "ended"))
            self.assertGreater(attempt.received, 0)

    async def test_bytes_after_the_last_answer_are_found(self):
        attempts = await self.call(Habit("k"), 10, tail=b"HTTP/1.1 200 OK")
        self.assertTrue(any(a.is_followed for a in attempts))
        for attempt in attempts:
            self.assertEqual(attempt.is_followed, attempt.is_last)


if __name__ == "__main__":
    unittest.main()
