"""Tests of a link whose own process pauses while it is being opened."""

import asyncio
import dataclasses
import socket
import threading
import time
import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import uvloop

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.mesh.callbacks import PeerCallbacks
from kumquatwalk.mesh.clock_offset import ALLOWANCE_MAX_S
from kumquatwalk.mesh.codec import FrameReader
from kumquatwalk.mesh.codec import decode
from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.codec import make_frame
from kumquatwalk.mesh.message import CallFrame
from kumquatwalk.mesh.message import Hello
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.mesh.peer_link import CONNECT_TIMEOUT_S
from kumquatwalk.mesh.peer_link import PeerLink
from kumquatwalk.mesh.tests.test_link_silence import DONE
from kumquatwalk.mesh.tests.test_link_silence import make_call
from kumquatwalk.mesh.tests.test_link_silence import make_hello
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState

HANG_S = 20.0
# Shorter than the pause.
WAIT_S = CONNECT_TIMEOUT_S
PAUSE_S = CONNECT_TIMEOUT_S + 0.05
SHORT_PAUSE_S = 0.3
LOOP_FACTORIES = (asyncio.new_event_loop, uvloop.new_event_loop)


class Peer:
    """Peer that runs while the process under test, an event loop, pauses.

    Args:
        before_hello: Called before it answers the first message of a
            connection.
        get_clock: Returns the clock that the peer tells.
    """

    def __init__(
        self,
        before_hello: Callable[[], None],
        get_clock: Callable[[], float] = lambda: 0.0,
    ):
        self._before_hello = before_hello
        self._get_clock = get_clock
        self.frames: list[CallFrame] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.connections: list[socket.socket] = []
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close all sockets."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self.connections:
            connection.close()

    def _accept(self) -> None:
        try:
            while True:
                connection, _ = self._listener.accept()
                self.connections.append(connection)
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()
        except OSError:
            pass  # closed

    def _serve(self, connection: socket.socket) -> None:
        reader = FrameReader()
        try:
            while data := connection.recv(65536):
                for payload in reader.feed(data):
                    self._handle(connection, decode(payload))
        except OSError:
            pass  # closed, or reset by the link

    def _handle(self, connection: socket.socket, message) -> None:
        match message:
            case Hello():
                self._before_hello()
                answer = dataclasses.replace(
                    make_hello(), clock_s=self._get_clock()
                )
                hello = make_frame(encode(answer))
                status = make_frame(encode(TargetStatus(TargetState.READY)))
                connection.sendall(hello + status)
            case CallFrame():
                self.frames.append(message)
                reply = ReplyFrame(message.call_id, 0, 0, DONE)
                connection.sendall(make_frame(encode(reply)))


def open_link(peer: Peer) -> PeerLink:
    """Return a link to a peer, which it has begun to open."""
    ignore = PeerCallbacks(*(lambda *_: None for _ in range(4)))
    view = TargetView("gate-1", "z1", "web")
    link = PeerLink(peer.address, view, make_hello, ignore, Partition())
    link.start()
    return link


async def call_when_usable(link: PeerLink) -> Reply:
    """Return the reply to a call that waits for the link."""
    await link.wait_until_usable(HANG_S)
    return await link.call(make_call())


def make_pause(pause_s: float = PAUSE_S) -> Callable[[], None]:
    """Return a function that begins a pause of the running event loop.

    It is called in another thread, and does nothing from the second time on.
    """
    loop = asyncio.get_running_loop()
    has_begun = threading.Event()

    def pause() -> None:
        has_begun.set()
        time.sleep(pause_s)

    def begin() -> None:
        if not has_begun.is_set():
            loop.call_soon_threadsafe(pause)
            has_begun.wait()

    return begin


async def pause_before_answer() -> tuple[int, Reply]:
    """Pause while the peer answers; return its connections and a reply."""
    peer = Peer(make_pause())
    link = open_link(peer)
    reply = await call_when_usable(link)
    link.close()
    peer.close()
    return len(peer.connections), reply


async def pause_while_connecting() -> tuple[int, Reply]:
    """Pause while the connection is made; return as above."""
    peer = Peer(lambda: None)
    link = open_link(peer)
    calling = asyncio.create_task(call_when_usable(link))
    for _ in range(2):
        await asyncio.sleep(0)
    time.sleep(PAUSE_S)
    reply = await calling
    link.close()
    peer.close()
    return len(peer.connections), reply


async def wait_in_pause() -> bool:
    """Return whether the link is usable to one who waits within a pause."""
    peer = Peer(make_pause())
    link = open_link(peer)
    is_usable = await link.wait_until_usable(WAIT_S)
    link.close()
    peer.close()
    return is_usable


async def call_after_pause() -> float:
    """Return how far the time limit of a call is off, in seconds.

    The call is the first on a link whose peer answered in a pause.
    """
    begin_pause = make_pause(SHORT_PAUSE_S)
    peer = Peer(begin_pause, get_clock=read_now)
    link = open_link(peer)
    await link.wait_until_usable(HANG_S)
    call = make_call()
    await link.call(call)
    link.close()
    peer.close()
    return peer.frames[0].call.deadline - call.deadline


class OwnPauseTest(unittest.TestCase):

    def check_on_each(
        self, expected, make_work: Callable[[], Awaitable]
    ) -> None:
        """Compare the result on the event loops of CPython and of uvloop."""
        for factory in LOOP_FACTORIES:
            with self.subTest(factory.__module__):
                with asyncio.Runner(loop_factory=factory) as runner:
                    self.assertEqual(runner.run(make_work()), expected)

    # Guards against LOST: a process that was not scheduled while a peer
    # answered closed the link, and ended the calls that were sent on it.
    def test_link_that_is_answered_in_a_pause_is_kept(self):
        self.check_on_each((1, DONE), pause_before_answer)

    def test_connection_that_is_made_in_a_pause_is_kept(self):
        self.check_on_each((1, DONE), pause_while_connecting)

    # Guards against LOST: the time for which the first message of a link had
    # waited was taken off the time limits of the calls sent next, so their runs
    # ended before their callers' limits.
    def test_pause_does_not_shorten_the_time_of_calls(self):
        for factory in LOOP_FACTORIES:
            with self.subTest(factory.__module__):
                with asyncio.Runner(loop_factory=factory) as runner:
                    off_s = runner.run(call_after_pause())
                self.assertGreater(off_s, -SHORT_PAUSE_S / 2.0)
                self.assertLessEqual(off_s, ALLOWANCE_MAX_S)

    # Guards against requests that are refused, or end as unknown, although the
    # link for which they wait is open.
    def test_link_that_is_answered_in_a_pause_is_usable(self):
        self.check_on_each(True, wait_in_pause)


if __name__ == "__main__":
    unittest.main()
