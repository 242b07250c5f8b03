"""Tests that an aborted link knows what may have left this process."""

import asyncio
import socket
import threading
import time
import unittest

import uvloop

from kumquatwalk.mesh.codec import FrameReader
from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.outcome import Outcome

MESSAGES = 40
BODY = b"x" * 500_000


def ignore(*_):
    """Ignore what a link reports."""


class Peer:
    """Reads nothing until told to, then all frames of one connection."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.may_read = threading.Event()
        self.frames = 0
        self.thread = threading.Thread(target=self._read)

    def _read(self):
        reader = FrameReader()
        connection, _ = self.listener.accept()
        with connection:
            self.may_read.wait()
            while data := connection.recv(1 << 20):
                self.frames += sum(1 for _ in reader.feed(data))


class LinkAbortTest(unittest.TestCase):

    # Guards against "not run" for a call that the event loop still sends
    # between the abort and the close of its connection.
    def test_nothing_that_counts_as_unsent_leaves_after_an_abort(self):
        for make_loop in (uvloop.new_event_loop, asyncio.new_event_loop):
            with self.subTest(make_loop=make_loop):
                with asyncio.Runner(loop_factory=make_loop) as runner:
                    runner.run(self.check())

    async def check(self):
        """Compare what the peer gets with what may have left."""
        peer = Peer()
        self.addCleanup(peer.listener.close)
        peer.thread.start()
        link = LinkProtocol(ignore, ignore, ignore)
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: link, *peer.listener.getsockname())
        frame = ReplyFrame(1, 0, 0, Reply(Outcome.DONE, status=200, body=BODY))
        ends = []
        for _ in range(MESSAGES):
            link.send_payload(encode(frame))
            ends.append(link.end)
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        # The socket becomes writable again before the loop's next turn.
        peer.may_read.set()
        time.sleep(0.1)
        link.abort()
        left = sum(map(link.may_have_left, ends))
        await asyncio.sleep(0.05)
        await loop.run_in_executor(None, peer.thread.join)
        self.assertLess(left, MESSAGES)
        self.assertLessEqual(peer.frames, left)


if __name__ == "__main__":
    unittest.main()
