"""Tests of sockets that are bound before the process connects to others."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

import uvloop

from kumquatwalk.address import Address
from kumquatwalk.listener import Listener

HOST = "127.0.0.1"


def open_connection_from(port: int) -> list[socket.socket]:
    """Return the ends of a connection whose local port is the given one."""
    server = socket.create_server((HOST, 0))
    client = socket.socket()
    client.bind((HOST, port))
    client.connect(server.getsockname())
    # In this order none is left in TIME_WAIT.
    return [server.accept()[0], client, server]


class ListenerTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        with socket.create_server((HOST, 0)) as sock:
            self.port = sock.getsockname()[1]
        self.listener = Listener(Address(HOST, self.port))
        self.addCleanup(self.listener.close)

    def hold_port(self) -> list[socket.socket]:
        """Open a connection from the port, closed at the end of the test."""
        ends = open_connection_from(self.port)
        for sock in ends:
            self.addCleanup(sock.close)
        return ends

    async def is_accepting(self) -> bool:
        """Return whether a connection to the port is accepted."""
        try:
            _, writer = await asyncio.open_connection(HOST, self.port)
        except ConnectionRefusedError:
            return False
        writer.close()
        return True

    # Guards against FAULT: a lack of descriptors or memory of the machine,
    # which passes, ended the start at once.
    async def test_lack_of_sockets_is_waited_for(self):
        for number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM):
            results = [OSError(number, "injected"), socket.socket()]
            with (
                self.subTest(error=errno.errorcode[number]),
                mock.patch(
                    "kumquatwalk.listener._bind_socket", side_effect=results
                ) as bind,
            ):
                await self.listener.bind()
                self.assertEqual(bind.call_count, 2)
            self.listener.close()

    # Guards against FAULT: a wait for a lack that does not pass was not bound,
    # and kept the event loop busy.
    async def test_lack_that_does_not_pass_ends_the_wait(self):
        patient = Listener(Address(HOST, self.port), 0.2)
        loop = asyncio.get_running_loop()
        error = OSError(errno.EADDRINUSE, "injected")
        with mock.patch.object(
            loop, "create_server", side_effect=error
        ) as tried:
            with self.assertRaises(OSError):
                await patient.listen(asyncio.Protocol, 1)
        self.assertLessEqual(tried.call_count, 6)

    # Guards against FAULT: a port that an outgoing connection had taken ended
    # the start at once.
    async def test_port_in_use_is_waited_for(self):
        ends = self.hold_port()
        binding = asyncio.create_task(self.listener.bind())
        await asyncio.sleep(0.2)
        self.assertFalse(binding.done())
        for sock in ends:
            sock.close()
        await binding
        server = await self.listener.listen(asyncio.Protocol, 1)
        self.assertTrue(await self.is_accepting())
        server.close()

    # Guards against FAULT: an outgoing connection took a port between the start
    # of the process and the start of its listener.
    async def test_bound_port_is_kept_from_connections(self):
        await self.listener.bind()
        with self.assertRaises(OSError):
            self.hold_port()

    async def test_bound_port_refuses_connections(self):
        await self.listener.bind()
        self.assertFalse(await self.is_accepting())

    # Guards against FAULT: of two processes that had bound a port, the one that
    # listened later ended.
    async def test_port_that_another_listens_on_meanwhile_is_waited_for(self):
        await self.listener.bind()
        other = Listener(Address(HOST, self.port))
        first = await other.listen(asyncio.Protocol, 1)
        listening = asyncio.create_task(
            self.listener.listen(asyncio.Protocol, 1)
        )
        await asyncio.sleep(0.2)
        self.assertFalse(listening.done())
        first.close()
        await first.wait_closed()
        (await listening).close()

    # Guards against FAULT: a daemon began to serve without its listener, as the
    # loop of the deployed daemon does not raise the error of ``listen``.
    def test_port_that_another_listens_on_is_noticed_on_each_loop(self):
        for factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            with (
                self.subTest(factory.__module__),
                asyncio.Runner(loop_factory=factory) as runner,
            ):
                runner.run(self._listen_beside_another())

    async def _listen_beside_another(self) -> None:
        """Listen on a port on which another listens once it is bound."""
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((HOST, 0))
            address = Address(HOST, other.getsockname()[1])
            listener = Listener(address, wait_s=0.1)
            await listener.bind()
            other.listen()
            with self.assertRaises(OSError):
                await listener.listen(asyncio.Protocol, 1)

    async def test_port_that_stays_in_use_is_an_error(self):
        self.hold_port()
        listener = Listener(Address(HOST, self.port), wait_s=0.1)
        with self.assertRaises(OSError):
            await listener.bind()

    async def test_closed_listener_gives_its_port_up(self):
        await self.listener.bind()
        self.listener.close()
        self.hold_port()


if __name__ == "__main__":
    unittest.main()
