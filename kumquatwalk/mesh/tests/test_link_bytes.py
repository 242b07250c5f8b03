"""Tests that bytes waiting on a link count in the budget exactly once."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.mesh.codec import encode
from kumquatwalk.mesh.codec import make_frame
from kumquatwalk.mesh.link_protocol import UNCOUNTED_BYTES_MAX
from kumquatwalk.mesh.link_protocol import LinkProtocol
from kumquatwalk.mesh.message import ReplyFrame
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.partition import Partition
from kumquatwalk.outcome import Outcome

ANSWER = ReplyFrame(
    1, 0, 0, Reply(Outcome.DONE, status=200, body=b"x" * 100_000)
)
FRAME = make_frame(encode(ANSWER))


class FakeTransport:
    """Transport whose bytes leave when the test says so."""

    def __init__(self, protocol):
        self._protocol = protocol
        self.unsent = 0
        self._is_closing = False
        self._is_paused = False

    def set_write_buffer_limits(self, high):
        """Check that the transport reports when the bytes have been sent."""
        assert high == UNCOUNTED_BYTES_MAX

    def get_extra_info(self, _name):
        """Return None: there is no socket."""

    def get_write_buffer_size(self):
        """Return the number of unsent bytes."""
        return self.unsent

    def is_closing(self):
        """Return whether the connection was aborted."""
        return self._is_closing

    def write(self, data):
        """Add bytes that are not sent yet."""
        self.unsent += len(data)
        self._is_paused |= self.unsent > UNCOUNTED_BYTES_MAX

    def drain(self, size):
        """Send some bytes."""
        self.unsent = max(0, self.unsent - size)
        if self._is_paused and self.unsent <= UNCOUNTED_BYTES_MAX // 4:
            self._is_paused = False
            self._protocol.resume_writing()

    def pause_reading(self):
        """Do nothing: the test decides what is received."""

    def resume_reading(self):
        """Do nothing: the test decides what is received."""

    def abort(self):
        """Close the connection and drop the unsent bytes."""
        self._is_closing = True


def _open_link(budget: ByteBudget) -> tuple[LinkProtocol, FakeTransport]:
    link = LinkProtocol(_ignore, lambda _l, _m: None, _ignore, budget)
    transport = FakeTransport(link)
    link.connection_made(transport)
    return link, transport


def _ignore(_link) -> None:
    pass


class LinkBytesTest(unittest.TestCase):

    def setUp(self):
        self.budget = ByteBudget(1000)

    # Guards against LOST: replies to a peer that does not read fill the memory
    # and no bound counts them.
    def test_reply_is_counted_until_it_is_sent(self):
        link, transport = _open_link(self.budget)
        link.send(ANSWER)
        self.assertEqual(self.budget.used, len(FRAME))
        transport.drain(len(FRAME))
        self.assertEqual(self.budget.used, 0)

    def test_frame_is_counted_while_it_is_received(self):
        link, _ = _open_link(self.budget)
        link.data_received(FRAME[:70_000])
        self.assertEqual(self.budget.used, 70_000)
        link.data_received(FRAME[70_000:])
        self.assertEqual(self.budget.used, 0)

    def test_nothing_is_counted_after_the_link_was_lost(self):
        link, _ = _open_link(self.budget)
        link.send(ANSWER)
        link.data_received(FRAME[:70_000])
        link.abort()
        link.connection_lost(None)
        link.send(ANSWER)
        self.assertEqual(self.budget.used, 0)

    def test_frames_behind_a_partition_are_counted(self):
        link, transport = _open_link(self.budget)
        partition = Partition()
        link.attach_partition(partition, "10.0.0.1")
        partition.set_prefixes(("10.0.0.1",))
        link.send(ANSWER)
        self.assertEqual((transport.unsent, self.budget.used), (0, len(FRAME)))
        partition.set_prefixes(())
        self.assertEqual(self.budget.used, len(FRAME))
        transport.drain(len(FRAME))
        self.assertEqual(self.budget.used, 0)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.just(("send", 0)),
                st.tuples(st.just("drain"), st.integers(1, 250_000)),
                st.tuples(st.just("receive"), st.integers(1, 250_000)),
                st.just(("lose", 0)),
            ),
            max_size=25,
        )
    )
    def test_bytes_are_counted_once_whatever_happens(self, steps):
        budget = ByteBudget(1000)
        link, transport = _open_link(budget)
        stream, received = FRAME * 40, 0
        for step, size in steps:
            match step:
                case "send":
                    link.send(ANSWER)
                case "drain":
                    transport.drain(size)
                case "receive" if not transport.is_closing():
                    link.data_received(stream[received : received + size])
                    received += size
                case "lose":
                    transport.abort()
                    transport.unsent = 0
                    link.connection_lost(None)
            partial = 0 if transport.is_closing() else received % len(FRAME)
            waiting = transport.unsent + partial
            self.assertGreaterEqual(budget.used, partial)
            if transport.is_closing():
                self.assertEqual(budget.used, 0)
            # What was sent since the last event may count a while longer.
            self.assertGreaterEqual(budget.used + UNCOUNTED_BYTES_MAX, waiting)
        link.abort()
        link.connection_lost(None)
        self.assertEqual(budget.used, 0)


if __name__ == "__main__":
    unittest.main()
