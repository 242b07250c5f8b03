"""Tests that a pause of the own process is not taken for the target's."""

import asyncio
import contextlib
import selectors
import socket
import time
import unittest

from kumquatwalk.address import Address
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.response_match import match_any
from kumquatwalk.targets.client import CONNECT_TIMEOUT_S
from kumquatwalk.targets.client import LISTENING_TIMEOUT_S
from kumquatwalk.targets.client import LISTENING_WATCH_S
from kumquatwalk.targets.client import SETTLING_S
from kumquatwalk.targets.client import TargetClient


async def answer(reader, writer):
    """Answer one request."""
    with contextlib.suppress(EOFError, ConnectionError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await reader.read()


class OwnPauseTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = TargetClient(Address("127.0.0.1", port))

    async def pause(self, task, pause_s):
        """Block the event loop while the connection is made; await a task."""
        for _ in range(3):
            await asyncio.sleep(0)
        time.sleep(pause_s)
        return await task

    # Guards against a request that counts as one that crashes targets, as its
    # node was not scheduled.
    async def test_target_that_listens_is_seen_after_a_pause(self):
        task = asyncio.create_task(self.client.is_listening())
        self.assertTrue(await self.pause(task, LISTENING_TIMEOUT_S + 0.05))

    # Guards against queued calls that are all refused, as their node was not
    # scheduled.
    async def test_target_is_reached_after_a_pause(self):
        task = asyncio.create_task(
            self.client.exchange(
                b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                False,
                True,
                match_any,
            )
        )
        try:
            response = await self.pause(task, CONNECT_TIMEOUT_S + 0.05)
        except ExchangeError as error:
            self.fail(f"{error.code}, sent: {error.sent}")
        self.assertEqual(response.status, 200)


def pause_in_wait(selector, timeout_s, in_pause):
    """Let a process be stopped in its next wait of at most some time.

    As when a signal ends a poll whose timeout has passed, the selector then
    returns no events, whatever has come.

    Args:
        selector: Selector of the event loop.
        timeout_s: Longest timeout of that wait, in seconds.
        in_pause: Called while the process is stopped.
    """
    select = selector.select

    def stop(timeout=None):
        if not 0 < (timeout or 0) <= timeout_s:
            return select(timeout)
        selector.select = select
        in_pause()
        time.sleep(timeout_s)
        return []

    selector.select = stop


class TargetEndsInPauseTest(unittest.TestCase):

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.accepted = []

    def end_target(self):
        """Close the sockets of the target, as when its process ends."""
        for sock in (*self.accepted, self.listener):
            sock.close()

    async def check(self, selector, timeout_s, has_run):
        """Return the result of a check in which the target ends."""
        client = TargetClient(Address(*self.listener.getsockname()))
        if has_run:
            request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
            run = asyncio.create_task(
                client.exchange(request, False, True, match_any)
            )
            loop = asyncio.get_running_loop()
            peer, _ = await loop.sock_accept(self.listener)
            await loop.sock_recv(peer, len(request))
            self.accepted.append(peer)
        pause_in_wait(selector, timeout_s, self.end_target)
        is_listening = await client.is_listening()
        if has_run:
            with self.assertRaises(ExchangeError):
                await run
        return is_listening

    def check_with_pause(self, timeout_s, has_run):
        """Return the result of a check with a pause in a wait of a length."""
        selector = selectors.DefaultSelector()
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            result = runner.run(self.check(selector, timeout_s, has_run))
        self.assertEqual(self.listener.fileno(), -1)
        return result

    # Guards against a crash that is not seen, so that its request goes on to
    # crash targets: the node was stopped while it watched other runs.
    def test_end_of_a_target_with_runs_is_seen_after_a_pause(self):
        self.assertFalse(self.check_with_pause(SETTLING_S, has_run=True))

    # Guards against the same while it watched a new connection.
    def test_end_of_a_target_without_runs_is_seen_after_a_pause(self):
        self.assertFalse(
            self.check_with_pause(LISTENING_WATCH_S, has_run=False)
        )


if __name__ == "__main__":
    unittest.main()
