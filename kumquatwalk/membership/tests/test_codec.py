"""Tests of kumquatwalk.membership.codec and item_codec."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kumquatwalk.exception import MembershipError
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.agent import Agent
from kumquatwalk.membership.broadcast import MAX_PAYLOAD_BYTES
from kumquatwalk.membership.broadcast import Broadcast
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.codec import MAX_DATAGRAM_BYTES
from kumquatwalk.membership.codec import decode
from kumquatwalk.membership.codec import encode
from kumquatwalk.membership.codec import measure_overhead
from kumquatwalk.membership.item_codec import decode_items
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.membership.message import Message
from kumquatwalk.membership.record import MemberRecord
from kumquatwalk.membership.timing import Timing

TARGET = TargetInfo("payments", 120, 800, TargetState.READY)
MEMBER = Member(
    "node-1", 5, 2, "zone-1", "127.0.0.1", 9, 7, MemberState.SUSPECT, TARGET, 4
)
ITEMS = [
    MemberRecord(MEMBER, 17),
    StateClaim("node-2", 3, 9, MemberState.DEAD),
    Broadcast(2**64 - 1, BroadcastKind.CRASH_REPORT, b"y" * MAX_PAYLOAD_BYTES),
]
DATA = b"".join(map(encode_item, ITEMS))
MESSAGE = Message(
    MessageKind.SYNC,
    2**32 - 1,
    "node-1",
    2**63,
    7,
    2**64 - 1,
    Address("10.0.0.1", 65535),
    bytes(range(128)),
    tuple(range(128)),
    DATA[:100],
)
SOURCE = Address("127.0.0.9", 9)


class CodecTest(unittest.TestCase):
    """Round trips and bad input."""

    def test_message_round_trip(self):
        self.assertEqual(MESSAGE, decode(encode(MESSAGE)))

    def test_items_round_trip(self):
        self.assertEqual(ITEMS, decode_items(DATA))

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.text("node-\u00e9", min_size=1, max_size=40),
        strategies.integers(0, 300),
    )
    def test_overhead_bounds_the_size(self, sender, size):
        target = Address("255.255.255.255", 65535)
        for address in (None, target):
            message = Message(
                MessageKind.PING,
                1,
                sender,
                1,
                target=address,
                items=b"x" * size,
            )
            bound = measure_overhead(sender, address) + size
            self.assertLessEqual(len(encode(message)), bound)

    def test_oversize_is_refused_on_both_ways(self):
        message = Message(MessageKind.PING, 1, "a", 1, items=b"x" * 1200)
        with self.assertRaises(MembershipError):
            encode(message)
        with self.assertRaises(MembershipError):
            decode(bytes(MAX_DATAGRAM_BYTES + 8))

    def test_foreign_message_is_refused(self):
        datagram = bytearray(encode(MESSAGE))
        datagram[16] ^= 1
        with self.assertRaisesRegex(MembershipError, "datagram_foreign"):
            decode(bytes(datagram))

    def test_cut_off_items_are_refused(self):
        for item in ITEMS:
            data = encode_item(item)
            for size in range(1, len(data)):
                with self.assertRaises(MembershipError, msg=f"{size} bytes"):
                    decode_items(data[:size])

    def test_bad_fields_are_refused(self):
        good = encode_item(ITEMS[0])
        for offset, value in ((0, 9), (21, 9), (22, 9), (25, 0), (37, 101)):
            bad = bytearray(good)
            bad[offset] = value
            if offset == 25:
                bad[26] = 0
            with self.assertRaises(MembershipError, msg=f"offset {offset}"):
                decode_items(bytes(bad))

    @settings(derandomize=True, deadline=None)
    @given(strategies.binary(max_size=300))
    def test_random_items_raise_only_the_documented_error(self, data):
        try:
            decode_items(data)
        except MembershipError:
            pass

    def test_one_bad_item_drops_the_whole_datagram(self):
        own = Member("own", 1, 0, "zone-1", "127.0.0.1", 1, 7)
        agent = self._make_agent(own)
        items = encode_item(MemberRecord(MEMBER)) + b"\xff"
        bad = Message(MessageKind.GOSSIP, 1, "node-2", 1, items=items)
        agent.receive(encode(bad), SOURCE, 1.0)
        self.assertEqual(1, agent.counters.dropped_malformed)
        self.assertEqual({"own"}, set(agent.table.members))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        strategies.binary(max_size=400)
        | strategies.lists(
            strategies.tuples(
                strategies.integers(0, 1100), strategies.integers(0, 255)
            ),
            max_size=8,
        )
    )
    def test_random_datagrams_never_raise(self, noise):
        datagram = bytearray(encode(MESSAGE))
        if isinstance(noise, bytes):
            datagram = bytearray(noise)
        else:
            for offset, value in noise:
                datagram[offset % len(datagram)] = value
        agent = self._make_agent(MEMBER)
        agent.receive(bytes(datagram), SOURCE, 1.0)
        agent.receive(bytes(datagram[:-8]), SOURCE, 1.0)
        agent.tick(1.5)

    def _make_agent(self, own: Member) -> Agent:
        callbacks = MembershipCallbacks()
        return Agent(own, Timing(), callbacks, random.Random(1), 1.0)


if __name__ == "__main__":
    unittest.main()
