"""Tests of the delay of a caller's connection."""

import asyncio
import socket
import struct
import unittest

from kumquatwalk.standin.delayed_connection import open_delayed_connection

DELAY_S = 0.02
HANG_GUARD_S = 20.0


class DelayedConnectionTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.accepted = asyncio.Queue()
        server = await asyncio.start_server(
            lambda *streams: self.accepted.put_nowait(streams), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def open(self):
        """Return the late streams of a connection and the server's ones."""
        loop = asyncio.get_running_loop()
        guard = loop.call_later(HANG_GUARD_S, asyncio.current_task().cancel)
        self.addCleanup(guard.cancel)
        late = await open_delayed_connection("127.0.0.1", self.port, DELAY_S)
        streams = await self.accepted.get()
        self.addAsyncCleanup(self.close, late[1], streams[1])
        return *late, *streams

    async def close(self, writer, far_writer):
        """Close both ends of a connection."""
        writer.abort()
        far_writer.transport.abort()
        # The late end of the connection comes on this event loop.
        await asyncio.sleep(2 * DELAY_S)

    async def test_bytes_and_the_end_arrive_in_order(self):
        reader, writer, far_reader, far_writer = await self.open()
        for number in range(200):
            writer.write(b"%d," % number)
            far_writer.write(b"%d;" % number)
        far_writer.write_eof()
        received = await reader.read(-1)
        self.assertEqual(received, b"".join(b"%d;" % n for n in range(200)))
        writer.abort()
        received = await far_reader.read(-1)
        self.assertEqual(received, b"".join(b"%d," % n for n in range(200)))

    async def test_both_directions_are_late(self):
        reader, writer, far_reader, far_writer = await self.open()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        writer.write(b"request")
        await far_reader.readexactly(7)
        far_writer.write(b"answer")
        await reader.readexactly(6)
        # Never early, but for the resolution of the loop's clock.
        self.assertGreater(loop.time() - began_at, 2 * DELAY_S - 0.002)

    async def test_request_in_transit_meets_a_close(self):
        reader, writer, _, far_writer = await self.open()
        far_writer.close()
        await far_writer.wait_closed()
        self.assertFalse(reader.at_eof())
        writer.write(b"request")
        self.assertEqual(await reader.read(-1), b"")

    async def test_caller_that_has_left_gets_nothing_more(self):
        reader, writer, _, far_writer = await self.open()
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        far_writer.write(b"answer")
        await asyncio.sleep(DELAY_S / 2)
        writer.transport.abort()
        reader.feed_eof()
        self.assertEqual(await reader.read(-1), b"")
        await asyncio.sleep(2 * DELAY_S)
        self.assertEqual(failures, [])

    async def test_reset_comes_after_the_bytes_before_it(self):
        reader, _, _, far_writer = await self.open()
        far_writer.write(b"answer")
        await far_writer.drain()
        await asyncio.sleep(DELAY_S / 2)
        sock = far_writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        far_writer.transport.abort()
        self.assertEqual(await reader.readexactly(6), b"answer")
        with self.assertRaises(ConnectionResetError):
            await reader.read()


if __name__ == "__main__":
    unittest.main()
