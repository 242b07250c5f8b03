"""Tests of outside requests that must run at most once."""

import time
import unittest

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.idempotency.request_table import RequestTable
from kumquatwalk.idempotency.ticket_issuer import TicketIssuer
from kumquatwalk.link.forward import Forward
from kumquatwalk.link.identity import Identity
from kumquatwalk.link.peer import Peer
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.reply import measure_reply
from kumquatwalk.membership.member import Member
from kumquatwalk.node.once import OnceRequests
from kumquatwalk.outcome import Outcome

ENTRY = Entry(
    "pay", "o", "money", Importance.HIGH, False, Limits(1, 1.0, 1, 5000)
)
DONE = Reply(Outcome.DONE, "", 200)


class RecordingLinks:
    """Links that answer every request and keep where it went."""

    def __init__(self):
        self.peers: list[Peer] = []

    def request(self, peer: Peer, _: Forward) -> Reply:
        """Return an answer."""
        self.peers.append(peer)
        return DONE


class OnceRequestsTest(unittest.TestCase):

    def setUp(self):
        self.links = RecordingLinks()
        self.members: dict[str, Member] = {}
        self.once = OnceRequests(
            Identity("here", 1, "127.0.0.1"),
            self.members.get,
            None,
            TicketIssuer("here", 1, "127.0.0.1", 7000),
            RequestTable(measure_reply),
            None,
            self.links,
        )
        self.ticket = TicketIssuer("there", 5, "10.9.9.9", 1).mint(1.0)

    def _serve(self) -> Reply:
        headers = {b"Kumquat-Ticket": self.ticket.encode()}
        request = HttpRequest("POST", b"/pay", headers, b"1")
        return self.once.serve(request, ENTRY, time.monotonic() + 60.0)

    def test_ticket_of_a_member_goes_to_that_member_s_own_address(self):
        member = Member("there", 5, 1, "z", "127.0.0.7", 7001, 7002)
        self.members["there"] = member
        self.assertEqual(self._serve(), DONE)
        self.assertEqual(self.links.peers, [Peer("there", "127.0.0.7", 7001)])

    def test_address_in_a_ticket_of_no_member_is_not_connected_to(self):
        self.assertIs(self._serve().outcome, Outcome.UNKNOWN)
        self.assertEqual(self.links.peers, [])

    def test_ticket_of_an_earlier_incarnation_is_not_sent(self):
        member = Member("there", 6, 1, "z", "127.0.0.7", 7001, 7002)
        self.members["there"] = member
        self.assertIs(self._serve().outcome, Outcome.UNKNOWN)
        self.assertEqual(self.links.peers, [])
