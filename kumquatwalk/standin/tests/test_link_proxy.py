"""Tests of the proxy in front of a node's listener for links."""

import asyncio
import socket
import unittest

from kumquatwalk.address import Address
from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.codec import make_frame
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.schema import load_schema
from kumquatwalk.standin.link_faults import LinkFaults
from kumquatwalk.standin.link_proxy import LinkProxy

TIMEOUT_S = 10.0
SILENT = LinkFaults(holds_calls=True, holds_replies=True)


def make_hello(node_id: str) -> bytes:
    load_schema()
    hello = Hello(node_id, 1, "z1", "web", "127.0.0.1", 1, 0.0)
    return make_frame(encode(hello))


def reserve_address() -> Address:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", sock.getsockname()[1])


class LinkProxyTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.accepted = asyncio.Queue()
        server = await asyncio.start_server(
            lambda *streams: self.accepted.put_nowait(streams), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.proxy = LinkProxy(reserve_address(), Address("127.0.0.1", port))
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)

    async def _open(self, node_id: str):
        """Return the streams of both ends of a link after its first message."""
        hello = make_hello(node_id)
        address = self.proxy.address
        near = await asyncio.open_connection(address.host, address.port)
        near[1].write(hello)
        async with asyncio.timeout(TIMEOUT_S):
            far = await self.accepted.get()
            self.assertEqual(await far[0].readexactly(len(hello)), hello)
        for _, writer in (near, far):
            self.addCleanup(writer.close)
        return near, far

    async def _read(self, reader: asyncio.StreamReader, count: int) -> bytes:
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.readexactly(count)

    async def test_bytes_and_the_end_pass_in_both_directions(self):
        near, far = await self._open("n1")
        data = b"x" * 500_000
        near[1].write(data)
        near[1].write_eof()
        self.assertEqual(await self._read(far[0], len(data)), data)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await far[0].read(), b"")
        far[1].write(b"reply")
        self.assertEqual(await self._read(near[0], 5), b"reply")

    async def test_link_cut_one_way_still_passes_the_other(self):
        near, far = await self._open("n1")
        self.proxy.set_faults("n1", LinkFaults(holds_calls=True))
        near[1].write(b"call")
        far[1].write(b"reply")
        self.assertEqual(await self._read(near[0], 5), b"reply")
        self.assertFalse(far[0]._buffer)  # pylint: disable=protected-access
        self.proxy.set_faults("n1", LinkFaults())
        self.assertEqual(await self._read(far[0], 4), b"call")

    async def test_faults_of_a_node_hold_for_its_next_links_only(self):
        self.proxy.set_faults("n1", LinkFaults(holds_replies=True))
        near, far = await self._open("n1")
        other_near, other_far = await self._open("n2")
        far[1].write(b"reply")
        other_far[1].write(b"reply")
        self.assertEqual(await self._read(other_near[0], 5), b"reply")
        self.assertFalse(near[0]._buffer)  # pylint: disable=protected-access

    async def test_link_that_is_silent_for_good_stays_so(self):
        near, far = await self._open("n1")
        self.proxy.silence("n1")
        self.proxy.set_faults("n1", SILENT)
        self.proxy.set_faults("n1", LinkFaults())
        near[1].write(b"call")
        next_near, next_far = await self._open("n1")
        next_near[1].write(b"call")
        self.assertEqual(await self._read(next_far[0], 4), b"call")
        self.assertFalse(far[0]._buffer)  # pylint: disable=protected-access

    async def test_reset_reaches_both_ends(self):
        near, far = await self._open("n1")
        self.proxy.reset("n1")
        for reader, _ in (near, far):
            with self.assertRaises(ConnectionResetError):
                await self._read(reader, 1)


if __name__ == "__main__":
    unittest.main()
