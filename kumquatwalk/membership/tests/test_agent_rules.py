"""Tests of kumquatwalk.membership.agent: single rules of one node."""

import dataclasses
import random
import unittest

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.agent import Agent
from kumquatwalk.membership.broadcast import Broadcast
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.codec import decode
from kumquatwalk.membership.codec import encode
from kumquatwalk.membership.dissemination import LEAVING_FACTOR
from kumquatwalk.membership.dissemination import count_transmissions
from kumquatwalk.membership.flush import FLUSH_GAP_S
from kumquatwalk.membership.item_codec import Item
from kumquatwalk.membership.item_codec import encode_item
from kumquatwalk.membership.kind import MessageKind
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.message import Message
from kumquatwalk.membership.record import MemberRecord
from kumquatwalk.membership.table import BUCKET_COUNT
from kumquatwalk.membership.timing import Timing

OWN = Member("own", 5, 0, "zone-1", "127.0.0.1", 1, 7)
OTHER = Member("other", 1, 0, "zone-1", "127.0.0.2", 1, 7)
THIRD = Member("third", 1, 0, "zone-1", "127.0.0.3", 1, 7)
SOURCE = Address("127.0.0.2", 7)
STALL_S = 60.0


class AgentRulesTest(unittest.TestCase):
    """One agent and hand-made messages."""

    def setUp(self):
        self.now = 10.0
        self.conflicts: list[Member] = []
        callbacks = MembershipCallbacks(
            on_identity_conflict=self.conflicts.append
        )
        self.agent = Agent(OWN, Timing(), callbacks, random.Random(1), self.now)

    def _hear(self, *items: Item) -> None:
        data = b"".join(map(encode_item, items))
        message = Message(MessageKind.GOSSIP, 1, "other", 1, items=data)
        self.agent.receive(encode(message), SOURCE, self.now)

    def _drain(self) -> list[Message]:
        return [decode(datagram.data) for datagram in self.agent.drain()]

    def _state(self, member: Member) -> MemberState:
        return self.agent.table.get(member.node_id).state

    def _start_probe(self) -> None:
        while MessageKind.PING not in [m.kind for m in self._drain()]:
            self.now = self.agent.due_at
            self.agent.tick(self.now)

    def test_unanswered_probe_raises_suspicion(self):
        self._hear(MemberRecord(OTHER))
        self._start_probe()
        self.now += 1.1
        self.agent.tick(self.now)
        self.assertEqual(MemberState.SUSPECT, self._state(OTHER))

    def test_stalled_node_does_not_suspect_for_missed_answers(self):
        self._hear(MemberRecord(OTHER))
        self._start_probe()
        self.now += STALL_S
        self.agent.tick(self.now)
        self.assertEqual(MemberState.ALIVE, self._state(OTHER))

    def test_stalled_node_gives_suspects_their_time(self):
        self._hear(MemberRecord(OTHER))
        self._hear(StateClaim("other", 1, 0, MemberState.SUSPECT))
        self.now += STALL_S
        self.agent.tick(self.now)
        self.assertEqual(MemberState.SUSPECT, self._state(OTHER))

    def test_suspicion_of_own_is_refuted_by_a_higher_version(self):
        self._hear(MemberRecord(OTHER))
        self._hear(StateClaim("own", 5, 0, MemberState.SUSPECT))
        self.assertEqual(1, self.agent.own.version)
        self._hear(StateClaim("own", 5, 0, MemberState.DEAD))
        self._hear(StateClaim("own", 4, 9, MemberState.DEAD))
        self.assertEqual(1, self.agent.own.version)

    def test_own_leave_that_comes_back_is_not_refuted(self):
        self.agent.leave(self.now)
        self._hear(MemberRecord(self.agent.own))
        self._hear(StateClaim("own", 5, 1, MemberState.DEAD))
        self.assertEqual(MemberState.LEFT, self.agent.own.state)
        self.assertEqual(1, self.agent.own.version)

    def test_second_process_with_this_id_is_reported(self):
        second = dataclasses.replace(OWN, incarnation=6)
        self._hear(MemberRecord(second))
        self.assertEqual([second], self.conflicts)
        self.assertEqual(OWN, self.agent.own)

    def test_death_by_hearsay_is_verified(self):
        self._hear(MemberRecord(OTHER), MemberRecord(THIRD))
        self._drain()
        self._hear(StateClaim("third", 1, 0, MemberState.DEAD))
        self.assertEqual(MemberState.ALIVE, self._state(THIRD))
        self.agent.tick(self.now)
        pings = [m for m in self._drain() if m.kind == MessageKind.PING]
        self.assertTrue(pings)
        claim = encode_item(StateClaim("third", 1, 0, MemberState.DEAD))
        self.assertTrue(any(claim in ping.items for ping in pings))
        self.now += 1.1
        self.agent.tick(self.now)
        self.assertEqual(MemberState.SUSPECT, self._state(THIRD))

    def _flood(self, messages: list[Message]) -> int:
        """Receive many messages in one second; return the bytes sent."""
        sent = 0
        for message in messages:
            self.now += 1.0 / len(messages)
            self.agent.receive(encode(message), SOURCE, self.now)
            sent += sum(len(datagram.data) for datagram in self.agent.drain())
        return sent

    def _ask_for_all(self, count: int) -> list[Message]:
        buckets = bytes(range(BUCKET_COUNT))
        digests = (0,) * BUCKET_COUNT
        return [
            Message(
                MessageKind.SYNC, n, "x", 1, buckets=buckets, digests=digests
            )
            for n in range(count)
        ]

    def test_floods_of_questions_stay_within_the_budget(self):
        self._hear(MemberRecord(OTHER), MemberRecord(THIRD))
        timing = Timing()
        bound = timing.burst_bytes + timing.bytes_per_s
        pings = [Message(MessageKind.PING, n, "x", 1) for n in range(2000)]
        joins = [Message(MessageKind.JOIN, n, "x", 1) for n in range(2000)]
        for flood in (pings, joins, self._ask_for_all(2000)):
            self.setUp()
            self.assertLessEqual(self._flood(flood), bound)
        self.assertGreater(self.agent.counters.dropped_budget, 0)

    def test_bulk_transfers_leave_room_for_answers_to_probes(self):
        self._flood(self._ask_for_all(2000))
        ping = Message(MessageKind.PING, 9, "other", 1)
        for _ in range(50):
            self.agent.receive(encode(ping), SOURCE, self.now)
        kinds = [message.kind for message in self._drain()]
        self.assertEqual(50, kinds.count(MessageKind.ACK))

    def test_leave_is_sent_when_other_gossip_has_used_its_share(self):
        self._hear(MemberRecord(OTHER), MemberRecord(THIRD))
        joins = [Message(MessageKind.JOIN, n, "x", 1) for n in range(2000)]
        self._flood(joins)
        for number in range(3):
            kind = BroadcastKind.CRASH_REPORT
            self._hear(Broadcast(number, kind, bytes((number,)) * 900))
        self.agent.leave(self.now)
        record = encode_item(MemberRecord(self.agent.own))
        sent = 0
        for _ in range(20):
            self.now += FLUSH_GAP_S
            for join in joins[:20]:
                self.agent.receive(encode(join), SOURCE, self.now)
            self.agent.tick(self.now)
            for message in self._drain():
                gossip = message.kind == MessageKind.GOSSIP
                sent += gossip and record in message.items
        self.assertEqual(count_transmissions(LEAVING_FACTOR, 2), sent)

    def test_own_datagram_that_comes_back_is_ignored(self):
        message = Message(MessageKind.PING, 1, "own", 5)
        self.agent.receive(encode(message), SOURCE, self.now)
        self.assertEqual([], self._drain())


if __name__ == "__main__":
    unittest.main()
