"""Tests that a connection which is reset at a stop takes no other with it."""

import asyncio
import socket
import struct
import unittest

from kumquatwalk.http1.tests.connection_case import HANG_S
from kumquatwalk.http1.tests.connection_case import ConnectionCase
from kumquatwalk.http1.tests.connection_case import make_get

# With this linger time of zero seconds, a close resets the connection.
_RESETS = struct.pack("ii", 1, 0)


class ResetAtStopTest(ConnectionCase):

    # Guards against LOST: the half-close of a connection that its client has
    # reset raised an error, which ended the stop for all others.
    async def test_others_are_answered_when_a_client_resets_at_the_stop(self):
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.sendall(make_get("/idle"))
        await self.wait_for(lambda: "/idle" in self.seen)
        await asyncio.get_running_loop().run_in_executor(None, sock.recv, 1000)
        self.hold("/a")
        connections = [await self.open(make_get("/a")) for _ in range(3)]
        await self.wait_for(lambda: self.seen.count("/a") == 3)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESETS)
        sock.close()
        # Without a turn of the event loop, which would notice the reset.
        self.server.stop_accepting()
        self.release("/a")
        for reader, _ in connections:
            async with asyncio.timeout(HANG_S):
                answers = await self.read_all(reader)
            self.assertEqual(answers, [(200, True, b"/a")])


if __name__ == "__main__":
    unittest.main()
