"""Tests of issuing and validating tickets."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.idempotency import ExpiredTicket
from kumquatwalk.idempotency import ForeignTicket
from kumquatwalk.idempotency import ForgedTicket
from kumquatwalk.idempotency import OwnTicket
from kumquatwalk.idempotency import TicketIssuer
from kumquatwalk.idempotency.ticket import TICKET_TTL_S


def make_issuer(node_id="n1", incarnation=5):
    """Return an issuer with a secret of its own."""
    return TicketIssuer(node_id, incarnation)


class TicketIssuerTest(unittest.TestCase):

    def test_own_ticket_is_valid_until_it_expires(self):
        issuer = make_issuer()
        text = issuer.issue(10.0)
        fresh = issuer.check(text, 10.0 + TICKET_TTL_S)
        stale = issuer.check(text, 10.1 + TICKET_TTL_S)
        self.assertIsInstance(fresh, OwnTicket)
        self.assertIsInstance(stale, ExpiredTicket)

    def test_ticket_names_its_issuer(self):
        text = make_issuer().issue(10.0)
        result = make_issuer("n2").check(text, 11.0)
        self.assertIsInstance(result, ForeignTicket)
        self.assertEqual(result.ticket.node_id, "n1")

    def test_ticket_of_an_earlier_incarnation_is_not_accepted(self):
        text = make_issuer().issue(10.0)
        result = make_issuer(incarnation=6).check(text, 11.0)
        self.assertIsInstance(result, ExpiredTicket)

    def test_ticket_of_another_process_is_rejected(self):
        text = make_issuer().issue(10.0)
        self.assertEqual(make_issuer().check(text, 11.0), ForgedTicket())

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.integers(0, 500), st.characters(codec="ascii"))
    def test_modified_ticket_is_never_accepted(self, index, character):
        issuer = make_issuer()
        text = issuer.issue(10.0)
        index %= len(text)
        modified = text[:index] + character + text[index + 1 :]
        result = issuer.check(modified, 11.0)
        if modified != text:
            self.assertNotIsInstance(result, OwnTicket)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.one_of(st.text(max_size=600), st.from_regex(r"[A-Za-z0-9_-]*")))
    def test_arbitrary_text_is_rejected_as_forged(self, text):
        self.assertEqual(make_issuer().check(text, 1.0), ForgedTicket())


if __name__ == "__main__":
    unittest.main()
