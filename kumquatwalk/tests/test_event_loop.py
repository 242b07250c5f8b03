"""Tests of time limits of a process that is not scheduled for a while."""

import asyncio
import time
import unittest

import uvloop

from kumquatwalk.event_loop import limit_time

LIMIT_S = 0.05
LOOP_FACTORIES = (asyncio.new_event_loop, uvloop.new_event_loop)


class Greeter(asyncio.Protocol):
    """Server that sends a byte when a connection is made."""

    def connection_made(self, transport):
        transport.write(b"x")
        transport.close()


class Reader(asyncio.Protocol):
    """Client that waits for the end of the stream."""

    def __init__(self):
        self.data = b""
        self.ended = asyncio.get_running_loop().create_future()

    def data_received(self, data):
        self.data += data

    def connection_lost(self, exc):
        self.ended.set_result(exc)


async def read_greeting(port: int) -> bytes:
    """Connect to a greeter within the limit and read to the end."""
    async with limit_time(LIMIT_S):
        loop = asyncio.get_running_loop()
        _, reader = await loop.create_connection(Reader, "127.0.0.1", port)
        await reader.ended
    return reader.data


async def block_while_connecting() -> bytes:
    """Block the event loop beyond the limit while a connection is made."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Greeter, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    task = asyncio.create_task(read_greeting(port))
    await asyncio.sleep(0)
    time.sleep(LIMIT_S * 2)
    try:
        return await task
    finally:
        server.close()


async def wait_in_vain() -> None:
    """Wait within the limit for what does not come."""
    async with limit_time(LIMIT_S):
        await asyncio.Event().wait()


async def outlast_limit() -> str:
    """Go on for longer than the limit after what was limited has ended."""
    async with limit_time(LIMIT_S):
        await asyncio.sleep(0)
    await asyncio.sleep(LIMIT_S * 2)
    return "done"


async def cancel_from_outside() -> bool:
    """Return whether a task ends as cancelled that is cancelled in time."""
    task = asyncio.create_task(wait_in_vain())
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    return task.cancelled()


class LimitTimeTest(unittest.TestCase):

    def run_on_each(self, make_work):
        """Return the results of work on the event loops of CPython and uvloop.

        An exception counts as its type.
        """
        results = []
        for factory in LOOP_FACTORIES:
            with asyncio.Runner(loop_factory=factory) as runner:
                try:
                    results.append(runner.run(make_work()))
                except TimeoutError as error:
                    results.append(type(error))
        return results

    # Guards against an own pause that is taken for the silence of a peer: what
    # the kernel held was read only after the time-out.
    def test_what_has_come_in_a_pause_is_in_time(self):
        results = self.run_on_each(block_while_connecting)
        self.assertEqual(results, [b"x", b"x"])

    def test_silence_times_out(self):
        results = self.run_on_each(wait_in_vain)
        self.assertEqual(results, [TimeoutError, TimeoutError])

    def test_limit_ends_with_its_context(self):
        self.assertEqual(self.run_on_each(outlast_limit), ["done", "done"])

    def test_cancelling_is_no_timeout(self):
        self.assertEqual(self.run_on_each(cancel_from_outside), [True, True])


if __name__ == "__main__":
    unittest.main()
